//! Streams leave a chain at a pace that the chains taking them can read at.

use std::time::Duration;

use goldcrestvale_route::pipeline::paced_count;
use proptest::prelude::*;

const PERIOD: Duration = Duration::from_millis(100);

proptest! {
    // All have moved by the end of the window, and no round moves many more than an even share.
    #[test]
    fn all_move_evenly(count in 1_usize..200, rounds in 1_u32..20) {
        let window = PERIOD * rounds;
        let mut left = count;
        let mut largest = 0;
        for round in 0..rounds {
            let moved = paced_count(left, PERIOD * round, window, PERIOD);
            largest = largest.max(moved);
            left -= moved.min(left);
        }
        prop_assert_eq!(left, 0);
        prop_assert!(largest <= count.div_ceil(rounds as usize) + 1);
    }
}

#[test]
fn late_look_moves_all() {
    assert_eq!(paced_count(7, PERIOD * 9, PERIOD * 3, PERIOD), 7);
}
