//! The secrets shared by entry instances.

use std::{fmt, str::FromStr};

use snafu::Snafu;

/// The result of parsing a secret.
pub type Result<T> = std::result::Result<T, Error>;

/// Length of a secret, in bytes.
pub const SECRET_BYTES: usize = 32;

/// Length of a secret as hexadecimal text, in characters.
const SECRET_DIGITS: usize = 2 * SECRET_BYTES;

/// An error in the text of a secret. Its message never contains the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a shared secret must have {SECRET_DIGITS} hexadecimal digits"))]
pub struct Error;

/// A shared secret.
///
/// # Examples
///
/// ```
/// use goldcrestvale_wire::key::Secret;
///
/// let secret: Secret = "07".repeat(32).parse()?;
/// assert_eq!(secret, Secret::new([7; 32]));
/// assert_eq!(format!("{secret:?}"), "Secret(..)");
/// # Ok::<(), goldcrestvale_wire::key::Error>(())
/// ```
#[derive(Clone)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    pub(crate) fn derive(&self, context: &str) -> [u8; SECRET_BYTES] {
        blake3::derive_key(context, &self.0)
    }
}

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        // `blake3::Hash` compares in constant time.
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl Eq for Secret {}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl FromStr for Secret {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Error)?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// The secrets of an instance: one to sign with, and optionally another that is also accepted.
///
/// To rotate the secret, every instance first accepts the new one, then signs with it, then drops
/// the old one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keyring {
    /// The secret that signs what this instance sends; also accepted.
    pub primary: Secret,
    /// A second accepted secret, during a rotation.
    pub secondary: Option<Secret>,
}

impl Keyring {
    /// Creates a keyring with one secret.
    pub fn new(primary: Secret) -> Self {
        Self { primary, secondary: None }
    }

    /// Accepts a second secret.
    #[must_use]
    pub fn accept(self, secondary: Secret) -> Self {
        Self { secondary: Some(secondary), ..self }
    }

    pub(crate) fn secrets(&self) -> impl Iterator<Item = &Secret> {
        std::iter::once(&self.primary).chain(&self.secondary)
    }
}
