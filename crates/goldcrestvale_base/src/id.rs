//! Identifiers of instances, customers, requests and log records.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The result of parsing an identifier.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An error in the text of an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The name is empty or too long.
    #[snafu(display("a name has 1 to {MAX_NAME_BYTES} bytes, this one has {length}"))]
    Length {
        /// Length of the rejected name, in bytes.
        length: usize,
    },
    /// The name contains a character other than letters, digits, `-`, `_` and `.`.
    #[snafu(display("name {name:?} holds {found:?}; allowed are letters, digits, '-', '_', '.'"))]
    Character {
        /// The rejected name.
        name: String,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text of an incarnation, record id, key or digest cannot be parsed.
    #[snafu(display("{text:?} is not a valid {expected}"))]
    Syntax {
        /// The rejected text.
        text: String,
        /// The expected kind of identifier.
        expected: &'static str,
    },
}

fn check_name(name: &str) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return LengthSnafu { length: name.len() }.fail();
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name.chars().find(|&c| !allowed(c)) {
        Some(found) => CharacterSnafu { name, found }.fail(),
        None => Ok(()),
    }
}

macro_rules! name {
    ($($(#[$doc:meta])* $name:ident)+) => {$(
        $(#[$doc])*
        ///
        /// Cheap to clone. Parsing validates the length and the characters.
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use goldcrestvale_base::id::", stringify!($name), ";")]
        ///
        #[doc = concat!("let name: ", stringify!($name), " = \"yeka-1\".parse()?;")]
        /// assert_eq!(name.as_str(), "yeka-1");
        #[doc = concat!("assert!(\"a b\".parse::<", stringify!($name), ">().is_err());")]
        /// # Ok::<(), goldcrestvale_base::id::Error>(())
        /// ```
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(name: &str) -> Result<Self> {
                check_name(name)?;
                Ok(Self(name.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(name: String) -> Result<Self> {
                name.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )+};
}

name! {
    /// The name of a customer.
    Customer
    /// The name of a failure domain.
    Domain
    /// The name of an entry instance.
    Instance
    /// The name of a model.
    Model
    /// The name of a plain service.
    Service
    /// The name of an upstream instance: an engine or an instance of a plain service.
    Upstream
}

/// A position in a stream of the platform log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::id::Offset;
    ///
    /// assert_eq!(Offset(4).next(), Offset(5));
    /// ```
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The identity of one run of a process: 128 random bits generated at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(pub u128);

impl Incarnation {
    /// Generates a random incarnation.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bits = u128::from_str_radix(text, 16).ok().filter(|_| text.len() == 32);
        bits.map(Self).ok_or_else(|| Error::Syntax { text: text.into(), expected: "incarnation" })
    }
}

impl TryFrom<String> for Incarnation {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> Self {
        incarnation.to_string()
    }
}

/// The identity of a log record, by which a retried append is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RecordId {
    /// The process that wrote the record.
    pub incarnation: Incarnation,
    /// A sequence number, unique within this incarnation.
    pub sequence: u64,
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

impl FromStr for RecordId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let error = || Error::Syntax { text: text.into(), expected: "record id" };
        let (incarnation, sequence) = text.split_once('-').ok_or_else(error)?;
        let sequence = sequence.parse().map_err(|_| error())?;
        Ok(Self { incarnation: incarnation.parse()?, sequence })
    }
}

impl TryFrom<String> for RecordId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<RecordId> for String {
    fn from(id: RecordId) -> Self {
        id.to_string()
    }
}

macro_rules! unique {
    ($($(#[$doc:meta])* $name:ident)+) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub uuid::Uuid);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let id = uuid::Uuid::parse_str(text).map_err(|_| Error::Syntax {
                    text: text.into(),
                    expected: "UUID",
                })?;
                Ok(Self(id))
            }
        }
    )+};
}

unique! {
    /// An idempotency key: a version 7 UUID, which contains its time of issue.
    Key
    /// The identity of one request of a caller.
    Request
}

impl Key {
    /// Returns the time of issue, or `None` if the UUID is not of version 7.
    pub fn issued(&self) -> Option<crate::time::Wall> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = self.0.get_timestamp()?.to_unix();
        Some(crate::time::Wall(seconds * 1_000 + u64::from(nanos) / 1_000_000))
    }
}

/// A 256-bit digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of some bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::id::Digest;
    ///
    /// assert_eq!(Digest::of(b"a"), Digest::of(b"a"));
    /// assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
    /// ```
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Computes the digest of several pieces; the same bytes split elsewhere have another one.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::id::Digest;
    ///
    /// assert_ne!(Digest::of_pieces(&[b"ab", b"c"]), Digest::of_pieces(&[b"a", b"bc"]));
    /// ```
    pub fn of_pieces(pieces: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for piece in pieces {
            hasher.update(&(piece.len() as u64).to_le_bytes());
            hasher.update(piece);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the first 8 bytes of the digest as a number.
    pub fn short(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(first)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let hash = blake3::Hash::from_hex(text)
            .map_err(|_| Error::Syntax { text: text.into(), expected: "digest" })?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
