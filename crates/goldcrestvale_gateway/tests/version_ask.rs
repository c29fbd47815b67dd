//! Limit of the requests for a configuration.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_gateway::ConfigRequestLimiter;

const START: Instant = Instant(1_000_000);

#[test]
fn each_version_is_requested_once() {
    // Thirty peers offer each of ten versions within a heartbeat.
    let mut limiter = ConfigRequestLimiter::default();
    let requests = (0..300_u64).filter(|offer| {
        let now = START + Duration::from_millis(*offer);
        limiter.try_request(1 + offer / 30, now)
    });
    assert_eq!(requests.count(), 10);
}

#[test]
fn lost_answer_is_requested_again() {
    let mut limiter = ConfigRequestLimiter::default();
    assert!(limiter.try_request(1, START));
    assert!(!limiter.try_request(1, START + Duration::from_millis(300)));
    assert!(limiter.try_request(1, START + Duration::from_millis(500)));
}

#[test]
fn older_version_waits() {
    // A lagging peer offers an older version than the requested one.
    let mut limiter = ConfigRequestLimiter::default();
    assert!(limiter.try_request(5, START));
    assert!(!limiter.try_request(4, START + Duration::from_millis(10)));
}

#[test]
fn own_domain_is_preferred() {
    let after = |millis| START + Duration::from_millis(millis);
    let mut limiter = ConfigRequestLimiter::default();
    assert!(!limiter.try_far_request(1, START));
    assert!(limiter.try_request(1, after(300)));
    // Nobody of the own domain offers the next version.
    assert!(!limiter.try_far_request(2, after(600)));
    assert!(!limiter.try_far_request(2, after(1_200)));
    assert!(limiter.try_far_request(2, after(1_700)));
}
