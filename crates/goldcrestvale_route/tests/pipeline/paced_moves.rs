//! Streams leave a chain no faster than the chains that take them can prefill.

use std::time::Duration;

use goldcrestvale_route::pipeline::paced_count;
use proptest::prelude::*;

const PERIOD: Duration = Duration::from_millis(100);

proptest! {
    // All streams have moved by the end of the window, and no round moves much more than an even
    // share.
    #[test]
    fn all_move_evenly(count in 1_usize..200, rounds in 1_u32..20) {
        let window = PERIOD * rounds;
        let mut remaining = count;
        let mut largest = 0;
        for round in 0..rounds {
            let moved = paced_count(remaining, PERIOD * round, window, PERIOD);
            largest = largest.max(moved);
            remaining -= moved.min(remaining);
        }
        prop_assert_eq!(remaining, 0);
        prop_assert!(largest <= count.div_ceil(rounds as usize) + 1);
    }
}

#[test]
fn elapsed_window_moves_all() {
    assert_eq!(paced_count(7, PERIOD * 9, PERIOD * 3, PERIOD), 7);
}
