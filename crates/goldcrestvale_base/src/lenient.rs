//! Entries of JSON lists that are decoded one by one.

use serde::{Deserialize, Deserializer, de::DeserializeOwned};
use serde_json::value::RawValue;

/// The result of decoding an entry.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// An entry of a JSON list. One that cannot be decoded does not fail the list.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::lenient::{self, Entry};
///
/// let entries: Vec<Entry<u8>> = serde_json::from_str(r#"[1, "odd", 3]"#)?;
/// let (numbers, errors) = lenient::split(entries);
/// assert_eq!((numbers, errors.len()), (vec![1, 3], 1));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug)]
pub struct Entry<T>(pub Result<T>);

impl<'de, T: DeserializeOwned> Deserialize<'de> for Entry<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let text = Box::<RawValue>::deserialize(deserializer)?;
        Ok(Self(serde_json::from_str(text.get())))
    }
}

/// Returns the entries that were decoded, in order, and the errors of the others.
pub fn split<T>(entries: impl IntoIterator<Item = Entry<T>>) -> (Vec<T>, Vec<serde_json::Error>) {
    let (mut decoded, mut errors) = (Vec::new(), Vec::new());
    for Entry(entry) in entries {
        match entry {
            Ok(entry) => decoded.push(entry),
            Err(e) => errors.push(e),
        }
    }
    (decoded, errors)
}
