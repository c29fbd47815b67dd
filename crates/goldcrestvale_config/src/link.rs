//! References and reservations of a body, determined alike by every version of the software.
//!
//! The rules name top-level fields, not types: `customer` names a customer, `model` a model, and
//! `target` a model or a service, in every kind and every major version. An instance that cannot
//! parse a body therefore still accepts and rejects the same changes as the others.

use std::{fmt, sync::Arc};

use serde_json::{Map, Value};
use smallvec::SmallVec;

use crate::record::Kind;

/// The kind and name of an entity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntityKey {
    /// Kind of the entity.
    pub kind: Kind,
    /// Its name.
    pub name: Arc<str>,
}

impl EntityKey {
    /// Creates a key.
    pub fn new(kind: Kind, name: &str) -> Self {
        Self { kind, name: name.into() }
    }
}

impl fmt::Display for EntityKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.kind, self.name)
    }
}

/// References and reservation of a body.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Links {
    /// Entities that must exist.
    pub(crate) references: SmallVec<[EntityKey; 2]>,
    /// Text that no other entity may reserve.
    pub(crate) reservation: Option<Arc<str>>,
}

impl Links {
    /// Parses the links of a stored body.
    pub(crate) fn parse(kind: &Kind, text: &str) -> Self {
        let body = serde_json::from_str(text).expect("bodies are stored as JSON objects");
        Self::of(kind, &body)
    }

    /// Extracts the links of a body.
    pub(crate) fn of(kind: &Kind, body: &Map<String, Value>) -> Self {
        let mut references = SmallVec::new();
        let text = |field: &str| body.get(field).and_then(Value::as_str);
        if let Some(name) = text("customer") {
            references.push(EntityKey::new(Kind::Customer, name));
        }
        if let Some(name) = text("model") {
            references.push(EntityKey::new(Kind::Model, name));
        }
        let target = body.get("target");
        for (field, kind) in [("model", Kind::Model), ("service", Kind::Service)] {
            if let Some(name) = target.and_then(|target| target.get(field)).and_then(Value::as_str)
            {
                references.push(EntityKey::new(kind, name));
            }
        }
        Self { reservation: reservation(kind, body, &references), references }
    }
}

fn reservation(
    kind: &Kind,
    body: &Map<String, Value>,
    references: &[EntityKey],
) -> Option<Arc<str>> {
    match kind {
        Kind::Customer => {
            let credential = body.get("credential")?.as_str()?.to_ascii_lowercase();
            Some(format!("credential {credential}").into())
        }
        Kind::Binding | Kind::Limit => {
            let endpoints: Vec<_> = references.iter().map(ToString::to_string).collect();
            Some(format!("{kind} of {}", endpoints.join(" to ")).into())
        }
        _ => None,
    }
}
