//! Whether a failure domain can be reached from here.
//!
//! The load it answers: a domain is cut off for seconds, and its engines fall silent one after the
//! other, as they are asked. A layout for those that were not asked yet breaks the chains that serve
//! inside the domain, once the orders arrive there.

use super::Engine;

/// Share of the engines of a domain that may be silent. Engines that are dead leave the list after a
/// few heartbeats, so more at once are rather out of reach.
const MOST_SILENT: f64 = 0.34;

/// Silent engines that are no sign of a cut, however few engines there are.
const FEW: usize = 2;

/// Returns whether layers may be placed in a domain, given all engines that are listed there. Those
/// that leave are silent at the end anyway.
pub fn is_reachable(engines: &[&Engine]) -> bool {
    let staying = engines.iter().filter(|engine| engine.ready);
    let silent = staying.clone().filter(|engine| engine.silent).count();
    !is_partitioned(silent, staying.count())
}

/// Returns whether a domain is rather cut off than without some engines, where `silent` of the
/// `staying` ones do not answer.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::pipeline::is_partitioned;
///
/// assert!(!is_partitioned(2, 3));
/// assert!(is_partitioned(5, 12));
/// ```
pub fn is_partitioned(silent: usize, staying: usize) -> bool {
    silent > FEW && silent as f64 > staying as f64 * MOST_SILENT
}
