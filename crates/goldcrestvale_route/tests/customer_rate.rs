//! Tests the rate limit of a customer whose share changes.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::limit::Bucket;

fn at(millis: u64) -> Instant {
    Instant(0) + Duration::from_millis(millis)
}

#[test]
fn rate_and_burst_are_limited() {
    let mut bucket = Bucket::new(50.0, at(0));
    let taken = (0..100_000).filter(|&tick| bucket.try_take(at(tick / 10), 1.0).is_ok()).count();
    // 10 s at 50 per second, plus a burst of 1 s.
    assert!((549..=551).contains(&taken), "{taken} taken");
}

#[test]
fn succeeds_at_returned_retry_time() {
    let mut bucket = Bucket::new(4.0, at(0));
    while bucket.try_take(at(0), 1.0).is_ok() {}
    let retry_after = bucket.try_take(at(0), 1.0).expect_err("an empty bucket");
    assert!(bucket.try_take(at(0) + retry_after - Duration::from_millis(1), 1.0).is_err());
    assert!(bucket.try_take(at(0) + retry_after, 1.0).is_ok());
}

#[test]
fn rate_change_limits_burst() {
    let mut bucket = Bucket::new(100.0, at(0));
    bucket.set_rate(at(0), 10.0);
    let burst = (0..100).filter(|_| bucket.try_take(at(0), 1.0).is_ok()).count();
    assert_eq!(burst, 10, "the burst shrinks with the rate");
    bucket.set_rate(at(0), 0.0);
    assert_eq!(bucket.try_take(at(60_000), 1.0), Err(Duration::MAX));
}

#[test]
fn full_bucket_allows_overdraft() {
    let mut bucket = Bucket::new(10.0, at(0));
    assert!(bucket.try_take(at(0), 100.0).is_ok(), "a full bucket allows any amount");
    assert!(bucket.try_take(at(8_000), 1.0).is_err(), "the bucket must refill after an overdraft");
    assert!(bucket.try_take(at(10_100), 1.0).is_ok());
}
