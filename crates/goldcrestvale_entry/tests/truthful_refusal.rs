//! The statuses of refusals beside their verdicts.

use goldcrestvale_base::{id::Request, verdict::Verdict};
use goldcrestvale_entry::refusal::{Cause, Refusal};
use uuid::Uuid;

const CAUSES: [Cause; 23] = [
    Cause::Malformed,
    Cause::Oversized,
    Cause::SlowBody,
    Cause::Credential,
    Cause::NotBound,
    Cause::Unknown,
    Cause::Method,
    Cause::Busy,
    Cause::Memory,
    Cause::Limit,
    Cause::Deadline,
    Cause::NoUpstream,
    Cause::Quarantined,
    Cause::KeyMissing,
    Cause::KeyInvalid,
    Cause::KeyReused,
    Cause::KeyClaimed,
    Cause::LogOut,
    Cause::Upstream,
    Cause::Starting,
    Cause::Stopping,
    Cause::Cancelled,
    Cause::Internal,
];

/// Guards against a refusal of a request that may have run with a status that promises the opposite,
/// as of a draft that finds no other chain after it was sent to one.
#[test]
fn refusal_promises_no_more_than_its_verdict() {
    let request = Request(Uuid::nil());
    for cause in CAUSES {
        let status = Refusal::unsent(cause, "").respond(request).status();
        let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        for verdict in [Verdict::MayHaveRun, Verdict::Ran] {
            let refusal = Refusal::new(verdict, cause, "");
            let expected = if promises { 502 } else { status.as_u16() };
            assert_eq!(refusal.respond(request).status(), expected, "{cause:?}");
            let problem = serde_json::to_value(refusal.problem(request)).expect("JSON");
            assert_eq!(problem["status"], expected, "{cause:?}");
        }
    }
}
