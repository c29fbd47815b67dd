//! Authentication of callers.

use goldcrestvale_base::id::{Customer, Digest};
use goldcrestvale_config::snapshot::Snapshot;
use http::{HeaderMap, header::AUTHORIZATION};
use subtle::ConstantTimeEq;

use crate::{
    header,
    refusal::{Cause, Refusal, Result},
};

/// An authenticated customer, with the common headers of its request.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    /// The customer.
    pub(super) customer: Customer,
    /// Priority requested by the caller, if any.
    pub(super) priority: Option<u8>,
    /// Time within which the caller needs the complete answer, in milliseconds, if stated.
    pub(super) deadline_ms: Option<u64>,
}

/// Checks the customer's credential in constant time and reads the common headers.
pub(super) fn authenticate(headers: &HeaderMap, config: &Snapshot) -> Result<Caller> {
    let unauthorized =
        || Refusal::unsent(Cause::Credential, "the customer or its credential is wrong");
    let customer = text(headers, &header::CUSTOMER)?.ok_or_else(unauthorized)?;
    let customer: Customer = customer.parse().map_err(|_| unauthorized())?;
    let bearer = text(headers, &AUTHORIZATION)?
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(unauthorized)?;
    let provided = Digest::of(bearer.as_bytes());
    // The comparison is also made for an unknown customer, so that it takes as long as a wrong
    // credential.
    let entity = config.customers.get(&customer);
    let expected = entity.map_or(Digest([0; 32]), |entity| entity.body.credential);
    let matches = bool::from(provided.0.ct_eq(&expected.0));
    if !matches || entity.is_none() {
        return Err(unauthorized());
    }
    Ok(Caller {
        customer,
        priority: number(headers, &header::PRIORITY)?,
        deadline_ms: number(headers, &header::DEADLINE)?,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Result<Option<&'a str>> {
    let malformed = |_| Refusal::unsent(Cause::Malformed, format!("header {name} is not text"));
    headers.get(name).map(|value| value.to_str().map_err(malformed)).transpose()
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &http::HeaderName) -> Result<Option<T>> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    let parsed = value.parse().map_err(|_| {
        let detail = format!("header {name} holds {value:?}, which is not a number in its range");
        Refusal::unsent(Cause::Malformed, detail)
    })?;
    Ok(Some(parsed))
}
