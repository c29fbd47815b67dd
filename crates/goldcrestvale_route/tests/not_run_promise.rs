//! Answers that promise that a request did not run.

use goldcrestvale_route::promise::{Answer, is_promise};

/// The statuses after which callers send a request again that may run only once.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Guards against a promise that no one has made: the caller would repeat a request that ran.
#[test]
fn promise_needs_a_statement() {
    for status in 200..600 {
        assert_eq!(is_promise(status), PROMISES.contains(&status), "{status}");
        for (states_not_run, is_idempotent) in
            [(false, false), (false, true), (true, false), (true, true)]
        {
            let answer = Answer { status, states_not_run, is_idempotent };
            let expected = states_not_run || is_idempotent || !PROMISES.contains(&status);
            assert_eq!(answer.may_be_forwarded(), expected, "{answer:?}");
        }
    }
}
