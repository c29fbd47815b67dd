//! How often peers are asked for a configuration.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_gateway::ConfigRequestLimiter;

const START: Instant = Instant(1_000_000);

#[test]
fn one_of_many_offers_is_taken() {
    // Thirty peers offer each of ten versions within a heartbeat.
    let mut asked = ConfigRequestLimiter::default();
    let asks = (0..300_u64).filter(|offer| {
        let now = START + Duration::from_millis(*offer);
        asked.try_request(1 + offer / 30, now)
    });
    assert_eq!(asks.count(), 10);
}

#[test]
fn lost_answer_is_asked_for_again() {
    let mut asked = ConfigRequestLimiter::default();
    assert!(asked.try_request(1, START));
    assert!(!asked.try_request(1, START + Duration::from_millis(300)));
    assert!(asked.try_request(1, START + Duration::from_millis(500)));
}

#[test]
fn older_version_waits() {
    // A peer that lags offers less than what was asked for.
    let mut asked = ConfigRequestLimiter::default();
    assert!(asked.try_request(5, START));
    assert!(!asked.try_request(4, START + Duration::from_millis(10)));
}
