//! Decides when a stream that stands still goes on at another chain although its own is complete.

use std::time::Duration;

use crate::forward::Level;

/// Multiple of the longest pause that is on time, after which a stream counts as stuck. Its answer
/// is late by then, and the caller waits several times as long again.
const GAP_FACTOR: u32 = 3;

/// Multiple of the target to the first event after which a stream without an event counts as stuck.
const TARGET_FACTOR: f64 = 1.5;

/// Returns the time without an event after which a stream of a service with these levels is stuck;
/// `None` if no route states a target for pauses.
///
/// This answers the load after engines were lost or moved: hundreds of streams got a new path at
/// once, and the engines on it read all their prompts again, or one of them has no memory left.
/// Their callers leave while other chains have capacity.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_route::{forward::Level, pipeline::stuck_timeout};
///
/// let target = Duration::from_millis(400);
/// let target_gap = Some(Duration::from_millis(250));
/// let timeout = stuck_timeout(&[Level { priority: 1, target, target_gap }]);
/// assert_eq!(timeout, Some(Duration::from_millis(750)));
/// ```
pub fn stuck_timeout(levels: &[Level]) -> Option<Duration> {
    let gap = levels.iter().filter_map(|level| level.target_gap).max()?;
    let target = levels.iter().map(|level| level.target).min()?;
    Some((gap * GAP_FACTOR).max(target.mul_f64(TARGET_FACTOR)))
}
