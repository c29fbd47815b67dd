//! Retries stay a share of first attempts over any span, also when every request fails.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::retry::Window;
use proptest::prelude::*;

const SPAN: Duration = Duration::from_secs(10);

proptest! {
    // For any sequence of first attempts and retries, no span of that length has more retries than
    // the floor and a share of the first attempts of that span and of an equally long one before
    // it.
    #[test]
    fn any_span_is_bounded(
        steps in prop::collection::vec((1_u64..400, 0_u32..6, 0_u32..30), 1..200),
        ratio in 0.0_f64..0.5,
        floor in 0.0_f64..20.0,
    ) {
        let mut window = Window::new(SPAN, ratio, floor);
        let mut now = Instant(0);
        let mut events: Vec<(Instant, bool)> = Vec::new();
        for (millis, first_attempts, requested_retries) in steps {
            now = now + Duration::from_millis(millis);
            for _ in 0..first_attempts {
                window.count_first(now);
                events.push((now, true));
            }
            for _ in 0..requested_retries {
                if window.try_retry(now) {
                    events.push((now, false));
                }
            }
        }
        for &(end, _) in &events {
            let within = |span: Duration| {
                events.iter().filter(move |(at, _)| *at <= end && end.since(*at) < span)
            };
            let retries = within(SPAN).filter(|(_, first)| !first).count() as f64;
            let first_attempts = within(SPAN * 2).filter(|(_, first)| *first).count() as f64;
            prop_assert!(
                retries <= first_attempts * ratio + floor + 1e-9,
                "{retries} {first_attempts}"
            );
        }
    }
}

#[test]
fn instance_without_traffic_may_retry() {
    let mut window = Window::new(SPAN, 0.0, 3.0);
    let allowed = (0..10).filter(|_| window.try_retry(Instant(0))).count();
    assert_eq!(allowed, 3);
    assert!(window.try_retry(Instant(0) + SPAN * 2));
}

#[test]
fn floor_follows_instance_count() {
    let mut window = Window::new(SPAN, 0.0, 1.0);
    assert!(window.try_retry(Instant(0)));
    assert!(!window.try_retry(Instant(0)));
    window.set_floor(2.0);
    assert!(window.try_retry(Instant(0)));
}
