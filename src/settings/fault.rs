//! Faults of a settings file.

use std::fmt;

use ini::Properties;

use super::field::FIELDS;

/// Distance up to which a known word counts as what was meant.
const NEAR: usize = 3;

/// One fault: where it is, what is wrong, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub path: String,
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is wrong.
    pub wrong: String,
    /// What would be right.
    pub right: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, section, key, wrong, right } = self;
        write!(f, "{path}: [{section}] {key}: {wrong}; expected {right}")
    }
}

/// States what is wrong with a value, without repeating a secret.
pub(super) fn wrong(key: &str, value: &str, detail: &str) -> String {
    let secret = key.contains("secret") || key.contains("token");
    if secret && !value.is_empty() {
        return format!("the value {detail}");
    }
    format!("{value:?} {detail}")
}

/// Writes one fault a line.
pub(super) fn join(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

pub(super) fn unknown(path: &str, section: &str, key: &str) -> Fault {
    let known_section = FIELDS.iter().any(|field| field.section == section);
    let (wrong, word, candidates): (_, _, Vec<&str>) = if known_section {
        let keys = FIELDS.iter().filter(|field| field.section == section);
        ("no such key", key, keys.map(|field| field.key).collect())
    } else {
        ("no such section", section, FIELDS.iter().map(|field| field.section).collect())
    };
    Fault {
        path: path.to_owned(),
        section: section.to_owned(),
        key: key.to_owned(),
        wrong: wrong.to_owned(),
        right: nearest(word, candidates),
    }
}

fn nearest(word: &str, mut candidates: Vec<&str>) -> String {
    candidates.dedup();
    let near = candidates.iter().min_by_key(|known| strsim::levenshtein(word, known));
    match near {
        Some(known) if strsim::levenshtein(word, known) <= NEAR => {
            format!("a known name; did you mean {known:?}?")
        }
        _ => format!("one of {}", candidates.join(", ")),
    }
}

pub(super) fn missing(path: &str, section: &str, key: &str, right: &str) -> Fault {
    Fault {
        path: path.to_owned(),
        section: section.to_owned(),
        key: key.to_owned(),
        wrong: "is missing".to_owned(),
        right: right.to_owned(),
    }
}

/// Returns a fault for each key that a section holds more than once.
pub(super) fn repeated(path: &str, section: &str, keys: &Properties) -> Vec<Fault> {
    let mut names: Vec<&str> = keys.iter().map(|(key, _)| key).collect();
    names.sort_unstable();
    let mut repeats: Vec<&str> =
        names.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0]).collect();
    repeats.dedup();
    let fault = |key: &str| Fault {
        path: path.to_owned(),
        section: section.to_owned(),
        key: key.to_owned(),
        wrong: "stands more than once".to_owned(),
        right: "one value".to_owned(),
    };
    repeats.into_iter().map(fault).collect()
}
