//! One entity as the fold stores it: what is in force, and what waits for a schema version.

use std::sync::Arc;

use goldcrestvale_base::id::Offset;

use crate::{change::Schema, link::Links, record::Kind};

/// An accepted change; without a body, it deletes the entity.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Step {
    pub(crate) version: Offset,
    pub(crate) schema: Schema,
    /// The body as canonical JSON; its links are read from it when they are needed.
    pub(crate) body: Option<Arc<str>>,
}

/// One entity.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Slot {
    /// What is in force; always with a body.
    pub(crate) now: Option<Step>,
    /// Accepted changes that wait for a major version, oldest first.
    pub(crate) held: Vec<Step>,
}

impl Slot {
    /// Returns the version that the next change must be based on.
    pub(crate) fn head(&self) -> Option<Offset> {
        let last = self.held.last().or(self.now.as_ref())?;
        last.body.is_some().then_some(last.version)
    }

    /// Returns whether others may refer to the entity.
    pub(crate) fn is_referable(&self) -> bool {
        self.now.is_some() && self.head().is_some()
    }

    /// Returns the links of all bodies.
    pub(crate) fn links(&self, kind: &Kind) -> impl Iterator<Item = Links> {
        let steps = self.now.iter().chain(&self.held);
        steps.filter_map(|step| step.body.as_ref()).map(|text| Links::read(kind, text))
    }

    /// Returns whether nothing is left of the entity.
    pub(crate) fn is_empty(&self) -> bool {
        self.now.is_none() && self.held.is_empty()
    }
}
