//! The rules by which a record changes the state.

use std::sync::Arc;

use goldcrestvale_base::id::{Offset, Upstream};
use serde_json::{Map, Value};

use crate::{
    body::Body,
    canonical::to_canonical_json,
    change::{Change, Data, SchemaUpgrade},
    fold::{Fold, Outcome, Stop},
    link::{EntityKey, Links},
    record::Kind,
    slot::Revision,
};

/// The result of a check; the error is the reason of the rejection.
type Result<T> = std::result::Result<T, String>;

/// Maximum size of a body, in bytes of JSON.
pub const MAX_BODY_BYTES: usize = 65_536;

/// Maximum number of changes of one entity that wait for a schema version.
pub const MAX_PENDING: usize = 64;

impl Fold {
    /// Evaluates one record against the state before it.
    pub(crate) fn evaluate(&mut self, offset: Offset, data: &str) -> Option<Outcome> {
        match serde_json::from_str(data) {
            Ok(Data::Raise { raise }) => {
                self.upgrade(raise);
                None
            }
            Ok(Data::Change(change)) => match self.try_change(offset, change) {
                Ok(outcome) => outcome,
                Err(reason) => Some(Outcome::rejected(reason)),
            },
            Err(_) => Some(Outcome::rejected("the record is neither a change nor a raise")),
        }
    }

    /// Validates a change independently of the state: an instance that accepts changes from
    /// operators appends only what every instance that supports the schema version can parse.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the envelope or the body breaks a rule, or if this software does
    /// not support the schema version.
    pub fn try_validate(&self, change: &Change) -> Result<()> {
        check_envelope(change)?;
        let Some(body) = &change.body else { return Ok(()) };
        try_encode(body)?;
        Body::try_parse(&self.table, &change.kind, change.schema.major, body.clone()).map(drop)
    }

    fn try_change(&mut self, offset: Offset, change: Change) -> Result<Option<Outcome>> {
        check_envelope(&change)?;
        let key = EntityKey::new(change.kind, &change.name);
        let (head, pending_count) =
            self.state.slot(&key).map_or((None, 0), |slot| (slot.head(), slot.pending.len()));
        if change.base != head {
            return Ok(Some(Outcome::Conflict { now: head }));
        }
        let mut revision = Revision { version: offset, schema: change.schema, body: None };
        let major = change.schema.major;
        let is_pending = pending_count > 0 || major > self.state.major(&key.kind);
        let mut parsed = None;
        match change.body {
            None if head.is_none() => return Err(format!("{key} does not exist")),
            None => self.state.try_unlink(&key)?,
            Some(body) => {
                let text = try_encode(&body)?;
                self.state.try_link(&key, &Links::of(&key.kind, &body))?;
                revision.body = Some(text);
                if !is_pending {
                    if !self.table.supports(&key.kind, major) {
                        self.stop = Some(Stop::Unread { kind: key.kind, major });
                        return Ok(None);
                    }
                    parsed = Some(Body::try_parse(&self.table, &key.kind, major, body)?);
                }
            }
        }
        if pending_count >= MAX_PENDING {
            return Err(format!(
                "{key} has {pending_count} changes that wait for a schema version"
            ));
        }
        if !is_pending {
            self.put_in_force(&key, offset, parsed);
        }
        self.state.edit(&key, &mut self.set_digest, |slot| match is_pending {
            true => slot.pending.push(revision),
            false => slot.current = revision.body.is_some().then_some(revision),
        });
        Ok(Some(Outcome::Accepted { version: offset }))
    }

    fn upgrade(&mut self, upgrade: SchemaUpgrade) {
        let SchemaUpgrade { kind, major } = upgrade;
        let current = self.state.major(&kind);
        if major <= current {
            return;
        }
        if let Some(major) = (current + 1..=major).find(|&major| !self.table.supports(&kind, major))
        {
            self.stop = Some(Stop::Unread { kind, major });
            return;
        }
        self.state.set_major(kind.clone(), major, &mut self.set_digest);
        for (key, revision) in self.take_activated(&kind, major) {
            self.activate(&key, revision);
        }
    }

    /// Removes and returns the pending revisions that a major version activates, in log order.
    fn take_activated(&mut self, kind: &Kind, major: u16) -> Vec<(EntityKey, Revision)> {
        let waiting =
            self.state.slots().filter(|(key, slot)| key.kind == *kind && !slot.pending.is_empty());
        let keys: Vec<_> = waiting.map(|(key, _)| key.clone()).collect();
        let mut activated = Vec::new();
        for key in keys {
            let revisions = self.state.edit(&key, &mut self.set_digest, |slot| {
                let waits =
                    |revision: &Revision| revision.body.is_some() && revision.schema.major > major;
                let count = slot.pending.iter().position(waits).unwrap_or(slot.pending.len());
                slot.pending.drain(..count).collect::<Vec<_>>()
            });
            activated.extend(revisions.into_iter().map(|revision| (key.clone(), revision)));
        }
        activated.sort_by_key(|(_, revision)| revision.version);
        activated
    }

    fn activate(&mut self, key: &EntityKey, revision: Revision) {
        let version = revision.version;
        let parsed = revision.body.as_ref().map(|text| {
            let body: Map<String, Value> =
                serde_json::from_str(text).map_err(|error| error.to_string())?;
            Body::try_parse(&self.table, &key.kind, revision.schema.major, body)
        });
        match parsed.transpose() {
            Ok(body) => {
                self.put_in_force(key, version, body);
                self.state.edit(key, &mut self.set_digest, |slot| {
                    slot.current = revision.body.is_some().then_some(revision);
                });
            }
            Err(e) => self.window.revise(version, Outcome::rejected(e), &mut self.set_digest),
        }
    }
}

fn check_envelope(change: &Change) -> Result<()> {
    if change.schema.major == 0 {
        return Err("major version 0 does not exist".to_owned());
    }
    change.name.parse::<Upstream>().map(drop).map_err(|error| error.to_string())
}

fn try_encode(body: &Map<String, Value>) -> Result<Arc<str>> {
    let text = to_canonical_json(body);
    if text.len() > MAX_BODY_BYTES {
        return Err(format!("the body has {} bytes, allowed are {MAX_BODY_BYTES}", text.len()));
    }
    Ok(text.into())
}
