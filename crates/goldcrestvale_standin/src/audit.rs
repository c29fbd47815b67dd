//! Checks over the runs of all engines that each layer ran once per position, in order.

use std::collections::BTreeMap;

use goldcrestvale_base::id::Request;

use crate::engine::counts::Run;

/// Ranges of positions, by request, attempt and layer.
type Ranges = BTreeMap<(Request, u32, u32), Vec<(u32, u32)>>;

/// Returns the violations found in the combined runs of several engines.
///
/// Within one attempt, no layer may run a position twice, on any engine.
/// `complete` lists the answered requests, each with its number of positions: in the last attempt
/// of such a request every layer must reach that position without a gap, and positions that the
/// attempt did not run itself must have been run by earlier attempts.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Request;
/// use goldcrestvale_standin::{audit, engine::counts::Run};
///
/// let request: Request = "01890000-0000-7000-8000-000000000001".parse()?;
/// let run = |layer, from, to| Run { request, attempt: 1, layer, from, to };
/// let runs = [run(0, 0, 3), run(1, 0, 3)];
/// assert!(audit::check(runs, 2, &[(request, 3)]).is_empty());
/// assert_eq!(audit::check([runs[0], runs[0], runs[1]], 2, &[(request, 3)]).len(), 1);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
pub fn check(
    runs: impl IntoIterator<Item = Run>,
    depth: u32,
    complete: &[(Request, u32)],
) -> Vec<String> {
    let mut by_layer: Ranges = BTreeMap::new();
    for run in runs {
        let ranges = by_layer.entry((run.request, run.attempt, run.layer)).or_default();
        ranges.push((run.from, run.to));
    }
    let mut violations = Vec::new();
    for ((request, attempt, layer), ranges) in &mut by_layer {
        ranges.sort_unstable();
        for pair in ranges.windows(2) {
            let fault = match pair[1].0.cmp(&pair[0].1) {
                std::cmp::Ordering::Less => "repeats",
                std::cmp::Ordering::Equal => continue,
                std::cmp::Ordering::Greater => "skips",
            };
            violations.push(format!(
                "request {request} attempt {attempt} layer {layer} {fault}: {}..{}, {}..{}",
                pair[0].0, pair[0].1, pair[1].0, pair[1].1
            ));
        }
    }
    for &(request, positions) in complete {
        for layer in 0..depth {
            violations.extend(find_missing(&by_layer, request, layer, positions));
        }
    }
    violations
}

/// Returns a violation if positions of one layer of an answered request were not run.
fn find_missing(by_layer: &Ranges, request: Request, layer: u32, positions: u32) -> Option<String> {
    let attempts = by_layer.range((request, 0, 0)..=(request, u32::MAX, u32::MAX));
    let attempts = attempts.filter(|((_, _, run_layer), _)| *run_layer == layer);
    let mut needed = positions;
    for (_, ranges) in attempts.rev() {
        let (Some(first), Some(last)) = (ranges.first(), ranges.last()) else { continue };
        if last.1 >= needed {
            needed = first.0.min(needed);
        } else if needed == positions {
            break;
        }
    }
    (needed > 0).then(|| {
        format!("request {request} layer {layer}: positions below {needed} of {positions} missing")
    })
}
