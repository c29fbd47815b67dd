//! Errors in a settings file.

use std::fmt;

use ini::Properties;

use super::field::FIELDS;

/// Maximum edit distance at which a known name is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// An error in a settings file: its location, the problem and what is expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub path: String,
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// The problem.
    pub problem: String,
    /// What is expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, section, key, problem, expected } = self;
        write!(f, "{path}: [{section}] {key}: {problem}; expected {expected}")
    }
}

/// Describes the problem with a value, without printing a secret.
pub(super) fn describe(key: &str, value: &str, detail: &str) -> String {
    let secret = key.contains("secret") || key.contains("token");
    if secret && !value.is_empty() {
        return format!("the value {detail}");
    }
    format!("{value:?} {detail}")
}

/// Formats the errors, one per line.
pub(super) fn join(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

pub(super) fn unknown(path: &str, section: &str, key: &str) -> Fault {
    let known_section = FIELDS.iter().any(|field| field.section == section);
    let (problem, word, candidates): (_, _, Vec<&str>) = if known_section {
        let keys = FIELDS.iter().filter(|field| field.section == section);
        ("no such key", key, keys.map(|field| field.key).collect())
    } else {
        ("no such section", section, FIELDS.iter().map(|field| field.section).collect())
    };
    Fault {
        path: path.to_owned(),
        section: section.to_owned(),
        key: key.to_owned(),
        problem: problem.to_owned(),
        expected: suggest(word, candidates),
    }
}

fn suggest(word: &str, mut candidates: Vec<&str>) -> String {
    candidates.dedup();
    let near = candidates.iter().min_by_key(|known| strsim::levenshtein(word, known));
    match near {
        Some(known) if strsim::levenshtein(word, known) <= MAX_EDIT_DISTANCE => {
            format!("a known name; did you mean {known:?}?")
        }
        _ => format!("one of {}", candidates.join(", ")),
    }
}

pub(super) fn missing(path: &str, section: &str, key: &str, expected: &str) -> Fault {
    Fault {
        path: path.to_owned(),
        section: section.to_owned(),
        key: key.to_owned(),
        problem: "is missing".to_owned(),
        expected: expected.to_owned(),
    }
}

/// Returns an error for each key that appears more than once in a section.
pub(super) fn duplicates(path: &str, section: &str, keys: &Properties) -> Vec<Fault> {
    let mut names: Vec<&str> = keys.iter().map(|(key, _)| key).collect();
    names.sort_unstable();
    let mut duplicates: Vec<&str> =
        names.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0]).collect();
    duplicates.dedup();
    let fault = |key: &str| Fault {
        path: path.to_owned(),
        section: section.to_owned(),
        key: key.to_owned(),
        problem: "appears more than once".to_owned(),
        expected: "one value".to_owned(),
    };
    duplicates.into_iter().map(fault).collect()
}
