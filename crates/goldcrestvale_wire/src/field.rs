//! Conversions between message fields and domain types.

use std::{net::SocketAddr, str::FromStr};

use bytes::Bytes;
use goldcrestvale_base::id::{Digest, Incarnation, Key};
use snafu::{OptionExt, Snafu};
use uuid::Uuid;

/// The result of decoding a field.
pub type Result<T> = std::result::Result<T, Error>;

/// An error: a field has an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("field {field} of a message is malformed"))]
pub struct Error {
    /// Name of the field.
    pub field: &'static str,
}

/// Parses a name or another type with a text form.
///
/// # Errors
///
/// Fails if the text does not parse.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Instance;
/// use goldcrestvale_wire::field;
///
/// assert!(field::text::<Instance>("instance", "yeka-1").is_ok());
/// assert!(field::text::<Instance>("instance", "").is_err());
/// ```
pub fn text<T: FromStr>(field: &'static str, text: &str) -> Result<T> {
    text.parse().ok().context(Snafu { field })
}

/// Parses an address, `IP:port`.
///
/// # Errors
///
/// Fails if the text is not an address.
pub fn parse_address(text: &str) -> Result<SocketAddr> {
    self::text("address", text)
}

/// Decodes an incarnation.
///
/// # Errors
///
/// Fails if the length is not 16 bytes.
pub fn decode_incarnation(bytes: &Bytes) -> Result<Incarnation> {
    let field = "incarnation";
    let bits = <[u8; 16]>::try_from(bytes.as_ref()).ok().context(Snafu { field })?;
    Ok(Incarnation(u128::from_be_bytes(bits)))
}

/// Encodes an incarnation.
pub fn encode_incarnation(incarnation: Incarnation) -> Bytes {
    Bytes::copy_from_slice(&incarnation.0.to_be_bytes())
}

/// Decodes a digest.
///
/// # Errors
///
/// Fails if the length is not 32 bytes.
pub fn decode_digest(bytes: &Bytes) -> Result<Digest> {
    let field = "digest";
    Ok(Digest(<[u8; 32]>::try_from(bytes.as_ref()).ok().context(Snafu { field })?))
}

/// Encodes a digest.
pub fn encode_digest(digest: Digest) -> Bytes {
    Bytes::copy_from_slice(&digest.0)
}

/// Decodes an idempotency key.
///
/// # Errors
///
/// Fails if the length is not 16 bytes.
pub fn decode_key(bytes: &Bytes) -> Result<Key> {
    let bits = <[u8; 16]>::try_from(bytes.as_ref()).ok().context(Snafu { field: "key" })?;
    Ok(Key(Uuid::from_bytes(bits)))
}

/// Encodes an idempotency key.
pub fn encode_key(key: Key) -> Bytes {
    Bytes::copy_from_slice(key.0.as_bytes())
}
