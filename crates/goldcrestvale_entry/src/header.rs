//! Names of the headers that callers and this system exchange.

use http::HeaderName;

/// Name of the customer, authenticated by the credential in `Authorization`.
pub const CUSTOMER: HeaderName = HeaderName::from_static("goldcrestvale-customer");

/// Priority of the request, 0 to 255; a higher one is served first.
pub const PRIORITY: HeaderName = HeaderName::from_static("goldcrestvale-priority");

/// Time in milliseconds within which the caller needs the complete answer.
pub const DEADLINE: HeaderName = HeaderName::from_static("goldcrestvale-deadline-ms");

/// Identifier of the request, in every answer and in requests to upstreams.
pub const REQUEST: HeaderName = HeaderName::from_static("goldcrestvale-request");

/// Whether the request may have run: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: HeaderName = HeaderName::from_static("goldcrestvale-verdict");

/// Idempotency key of a call, a version 7 UUID.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
