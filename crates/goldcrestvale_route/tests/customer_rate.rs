//! The rate limit of one customer under a changing share.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::limit::Bucket;

fn at(millis: u64) -> Instant {
    Instant(0) + Duration::from_millis(millis)
}

#[test]
fn rate_holds() {
    let mut bucket = Bucket::new(50.0, at(0));
    let taken = (0..100_000).filter(|&tick| bucket.try_take(at(tick / 10), 1.0).is_ok()).count();
    // 10 s at 50 a second, and the burst of one second.
    assert!((549..=551).contains(&taken), "{taken} taken");
}

#[test]
fn time_to_come_back() {
    let mut bucket = Bucket::new(4.0, at(0));
    while bucket.try_take(at(0), 1.0).is_ok() {}
    let after = bucket.try_take(at(0), 1.0).expect_err("an empty bucket");
    assert!(bucket.try_take(at(0) + after - Duration::from_millis(1), 1.0).is_err());
    assert!(bucket.try_take(at(0) + after, 1.0).is_ok());
}

#[test]
fn share_changes() {
    let mut bucket = Bucket::new(100.0, at(0));
    bucket.set_rate(at(0), 10.0);
    let burst = (0..100).filter(|_| bucket.try_take(at(0), 1.0).is_ok()).count();
    assert_eq!(burst, 10, "what was saved up shrinks with the rate");
    bucket.set_rate(at(0), 0.0);
    assert_eq!(bucket.try_take(at(60_000), 1.0), Err(Duration::MAX));
}

#[test]
fn large_amounts() {
    let mut bucket = Bucket::new(10.0, at(0));
    assert!(bucket.try_take(at(0), 100.0).is_ok(), "a full bucket serves any amount");
    assert!(bucket.try_take(at(8_000), 1.0).is_err(), "and owes the rest");
    assert!(bucket.try_take(at(10_100), 1.0).is_ok());
}
