//! The schema versions that this software supports, and their conversion.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::record::Kind;

/// The result of converting a body.
pub type Result<T> = std::result::Result<T, String>;

/// Converts a body of one major version to the form of this software's types.
pub type Converter = fn(Map<String, Value>) -> Result<Map<String, Value>>;

/// The first major version of every kind, in force from the first record.
pub const FIRST_MAJOR: u16 = 1;

/// The major versions that this software supports, by kind.
///
/// # Examples
///
/// ```
/// use goldcrestvale_config::{record::Kind, schema::Table};
///
/// let table = Table::default().with(Kind::Service, 2, Ok);
/// assert!(table.supports(&Kind::Service, 2));
/// assert!(!table.supports(&Kind::Model, 2));
/// ```
#[derive(Debug, Clone)]
pub struct Table {
    converters: BTreeMap<(Kind, u16), Converter>,
}

impl Default for Table {
    fn default() -> Self {
        let first = Kind::KNOWN.map(|kind| ((kind, FIRST_MAJOR), Ok as Converter));
        Self { converters: first.into() }
    }
}

impl Table {
    /// Adds a major version of a kind.
    pub fn with(mut self, kind: Kind, major: u16, converter: Converter) -> Self {
        self.converters.insert((kind, major), converter);
        self
    }

    /// Returns whether bodies of a kind and major version can be parsed.
    pub fn supports(&self, kind: &Kind, major: u16) -> bool {
        self.converters.contains_key(&(kind.clone(), major))
    }

    /// Returns, for every kind, the highest major version up to which all versions are supported.
    pub fn majors(&self) -> BTreeMap<Kind, u16> {
        let mut majors = BTreeMap::new();
        for (kind, major) in self.converters.keys() {
            let highest = majors.entry(kind.clone()).or_insert(0);
            if *major == *highest + 1 {
                *highest = *major;
            }
        }
        majors
    }

    /// Converts a body to the form of this software's types.
    ///
    /// # Errors
    ///
    /// Fails if the version is not supported or the body cannot be converted.
    pub fn try_convert(
        &self,
        kind: &Kind,
        major: u16,
        body: Map<String, Value>,
    ) -> Result<Map<String, Value>> {
        let converter = self.converters.get(&(kind.clone(), major));
        let converter =
            converter.ok_or_else(|| format!("major version {major} of {kind} is not read"))?;
        converter(body)
    }
}

/// Returns the major version in force before any [`SchemaUpgrade`](crate::change::SchemaUpgrade).
pub(crate) fn initial_major(kind: &Kind) -> u16 {
    match kind {
        Kind::Other(_) => 0,
        _ => FIRST_MAJOR,
    }
}
