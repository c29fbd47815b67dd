//! Retries only after "not run", at another upstream, within the budget and the deadline.

use goldcrestvale_base::{exchange::Exchange, id::Upstream, time::Instant, verdict::Verdict};
use goldcrestvale_route::retry::{Attempts, Budget, Refusal};

fn upstream(name: &str) -> Upstream {
    name.parse().expect("a valid name")
}

#[test]
fn rules() {
    let not_run = || Exchange::new().refuse();
    let table = [
        ("not run", Instant(0), not_run(), 1, Ok(())),
        ("may have run", Instant(0), Verdict::MayHaveRun, 1, Err(Refusal::MayHaveRun)),
        ("ran", Instant(0), Verdict::Ran, 1, Err(Refusal::MayHaveRun)),
        ("at the deadline", Instant(100), not_run(), 1, Err(Refusal::Deadline)),
        ("third attempt", Instant(0), not_run(), 3, Err(Refusal::Exhausted)),
        ("late and run", Instant(100), Verdict::MayHaveRun, 1, Err(Refusal::MayHaveRun)),
    ];
    for (case, now, verdict, attempt_count, expected) in table {
        let budget = Budget::new(0, 1);
        let mut attempts = Attempts::new(Instant(100), 3);
        for number in 0..attempt_count {
            attempts.start(&upstream(&format!("u{number}")), &budget);
        }
        assert_eq!(attempts.retry(now, verdict, &budget), expected, "{case}");
        let remaining = u32::from(expected.is_err());
        assert_eq!(budget.remaining(), remaining, "{case}: a refused retry costs nothing");
    }
}

#[test]
fn budget_bounds_retries() {
    let budget = Budget::new(100, 5);
    let mut retries = 0;
    for _ in 0..10_000 {
        let mut attempts = Attempts::new(Instant(1), 10);
        attempts.start(&upstream("a"), &budget);
        while attempts.retry(Instant(0), Exchange::new().refuse(), &budget).is_ok() {
            attempts.start(&upstream("b"), &budget);
            retries += 1;
        }
    }
    // A tenth of the first attempts, and the five retries of a full budget.
    assert!((1_000..=1_005).contains(&retries), "{retries} retries");
}
