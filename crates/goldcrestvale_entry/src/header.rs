//! Names of the headers that callers and this system exchange.

use http::HeaderName;

/// Names the customer; the credential in `Authorization` proves it.
pub const CUSTOMER: HeaderName = HeaderName::from_static("goldcrestvale-customer");

/// Priority of the request, 0 to 255; higher goes first.
pub const PRIORITY: HeaderName = HeaderName::from_static("goldcrestvale-priority");

/// Time in milliseconds within which the caller needs the whole answer.
pub const DEADLINE: HeaderName = HeaderName::from_static("goldcrestvale-deadline-ms");

/// Identity of the request, in every answer and towards upstreams.
pub const REQUEST: HeaderName = HeaderName::from_static("goldcrestvale-request");

/// Whether the request may have run: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: HeaderName = HeaderName::from_static("goldcrestvale-verdict");

/// Idempotency key of a call, a version 7 UUID.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
