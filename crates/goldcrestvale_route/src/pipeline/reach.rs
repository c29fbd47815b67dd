//! Detects failure domains that cannot be reached from this instance.
//!
//! When a domain is cut off for seconds, its engines are found silent one after the other, as they
//! are queried. A layout for those that were not queried yet would break the chains that still
//! serve inside the domain, once the orders arrive there.

use super::Engine;

/// Maximum share of the engines of a domain that may be silent. Dead engines leave the list after a
/// few heartbeats, so a larger share at once is more likely out of reach.
const MAX_SILENT_SHARE: f64 = 0.34;

/// Maximum number of silent engines that does not indicate a partition, however few engines there
/// are.
const MAX_SILENT_COUNT: usize = 2;

/// Returns whether a domain can be reached, so that layers may be placed there, given all engines
/// that are listed in it. Engines that are leaving are not counted, since they end up silent
/// anyway.
pub fn is_reachable(engines: &[&Engine]) -> bool {
    let staying = engines.iter().filter(|engine| engine.ready);
    let silent = staying.clone().filter(|engine| engine.silent).count();
    !is_partitioned(silent, staying.count())
}

/// Returns whether a domain is more likely cut off than missing some engines, if `silent` of the
/// `staying` engines do not respond.
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
    silent > MAX_SILENT_COUNT && silent as f64 > staying as f64 * MAX_SILENT_SHARE
}
