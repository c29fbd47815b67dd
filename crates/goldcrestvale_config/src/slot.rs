//! The stored form of an entity: the revision in force and those that wait for a schema version.

use std::sync::Arc;

use goldcrestvale_base::id::Offset;

use crate::{change::Schema, link::Links, record::Kind};

/// An accepted change of an entity; without a body, it deletes the entity.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Revision {
    pub(crate) version: Offset,
    pub(crate) schema: Schema,
    /// The body as canonical JSON; links are parsed from it on demand.
    pub(crate) body: Option<Arc<str>>,
}

/// The revisions of one entity.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Slot {
    /// The revision in force; always with a body.
    pub(crate) current: Option<Revision>,
    /// Accepted revisions that wait for a major version, oldest first.
    pub(crate) pending: Vec<Revision>,
}

impl Slot {
    /// Returns the version on which the next change must be based.
    pub(crate) fn head(&self) -> Option<Offset> {
        let last = self.pending.last().or(self.current.as_ref())?;
        last.body.is_some().then_some(last.version)
    }

    /// Returns whether other entities may refer to this one.
    pub(crate) fn is_referable(&self) -> bool {
        self.current.is_some() && self.head().is_some()
    }

    /// Iterates over the links of all bodies.
    pub(crate) fn links(&self, kind: &Kind) -> impl Iterator<Item = Links> {
        let revisions = self.current.iter().chain(&self.pending);
        revisions.filter_map(|revision| revision.body.as_ref()).map(|text| Links::parse(kind, text))
    }

    /// Returns whether the entity has no revisions.
    pub(crate) fn is_empty(&self) -> bool {
        self.current.is_none() && self.pending.is_empty()
    }
}
