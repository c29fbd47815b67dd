//! Statuses that an answer may end a request with.

use http::StatusCode;

/// Returns whether a status ends a request: one from 200 to 599.
///
/// No request here asks for another protocol, so 101 would end the protocol of the connection that
/// it is passed on to. Statuses outside 100 to 599 are invalid (RFC 9110, 15).
///
/// # Examples
///
/// ```
/// use goldcrestvale_upstream::status::is_final;
/// use http::StatusCode;
///
/// assert!(is_final(StatusCode::IM_A_TEAPOT));
/// assert!(!is_final(StatusCode::SWITCHING_PROTOCOLS));
/// assert!(!is_final(StatusCode::from_u16(600)?));
/// # Ok::<(), http::status::InvalidStatusCode>(())
/// ```
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
