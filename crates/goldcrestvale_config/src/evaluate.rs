//! The rules by which one record changes the state.

use std::sync::Arc;

use goldcrestvale_base::id::{Offset, Upstream};
use serde_json::{Map, Value};

use crate::{
    body::Body,
    canonical::canonical,
    change::{Change, Data, SchemaUpgrade},
    fold::{Fold, Outcome, Stop},
    link::{EntityKey, Links},
    record::Kind,
    slot::Step,
};

/// The result of a check; the error is the reason of the rejection.
type Result<T> = std::result::Result<T, String>;

/// Largest body, in bytes of JSON.
pub const MAX_BODY_BYTES: usize = 65_536;

/// Most changes of one entity that may wait for a schema version.
pub const MAX_PENDING: usize = 64;

impl Fold {
    /// Evaluates one record against the state before it.
    pub(crate) fn evaluate(&mut self, offset: Offset, data: &str) -> Option<Outcome> {
        match serde_json::from_str(data) {
            Ok(Data::Raise { raise }) => {
                self.raise(raise);
                None
            }
            Ok(Data::Change(change)) => match self.try_change(offset, change) {
                Ok(outcome) => outcome,
                Err(reason) => Some(Outcome::rejected(reason)),
            },
            Err(_) => Some(Outcome::rejected("the record is neither a change nor a raise")),
        }
    }

    /// Reads and checks a change by itself, without the state: an instance that takes changes
    /// from operators appends only what every instance that reads the schema version will read.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the envelope or the body breaks a rule, or if this software does
    /// not read the schema version.
    pub fn try_read(&self, change: &Change) -> Result<()> {
        check_envelope(change)?;
        let Some(body) = &change.body else { return Ok(()) };
        try_store(body)?;
        Body::try_read(&self.table, &change.kind, change.schema.major, body.clone()).map(drop)
    }

    fn try_change(&mut self, offset: Offset, change: Change) -> Result<Option<Outcome>> {
        check_envelope(&change)?;
        let address = EntityKey::new(change.kind, &change.name);
        let (head, queued) =
            self.state.slot(&address).map_or((None, 0), |slot| (slot.head(), slot.held.len()));
        if change.base != head {
            return Ok(Some(Outcome::Conflict { now: head }));
        }
        let mut step = Step { version: offset, schema: change.schema, body: None };
        let major = change.schema.major;
        let held = queued > 0 || major > self.state.major(&address.kind);
        let mut typed = None;
        match change.body {
            None if head.is_none() => return Err(format!("{address} does not exist")),
            None => self.state.try_unlink(&address)?,
            Some(body) => {
                let text = try_store(&body)?;
                self.state.try_link(&address, &Links::of(&address.kind, &body))?;
                step.body = Some(text);
                if !held {
                    if !self.table.supports(&address.kind, major) {
                        self.stop = Some(Stop::Unread { kind: address.kind, major });
                        return Ok(None);
                    }
                    typed = Some(Body::try_read(&self.table, &address.kind, major, body)?);
                }
            }
        }
        if queued >= MAX_PENDING {
            return Err(format!("{address} has {queued} changes that wait for a schema version"));
        }
        if !held {
            self.put_in_force(&address, offset, typed);
        }
        self.state.edit(&address, &mut self.sum, |slot| match held {
            true => slot.held.push(step),
            false => slot.now = step.body.is_some().then_some(step),
        });
        Ok(Some(Outcome::Accepted { version: offset }))
    }

    fn raise(&mut self, raise: SchemaUpgrade) {
        let SchemaUpgrade { kind, major } = raise;
        let current = self.state.major(&kind);
        if major <= current {
            return;
        }
        if let Some(major) = (current + 1..=major).find(|&major| !self.table.supports(&kind, major))
        {
            self.stop = Some(Stop::Unread { kind, major });
            return;
        }
        self.state.raise(kind.clone(), major, &mut self.sum);
        for (address, step) in self.release(&kind, major) {
            self.put_step(&address, step);
        }
    }

    /// Takes out the held changes that a major version puts in force, in log order.
    fn release(&mut self, kind: &Kind, major: u16) -> Vec<(EntityKey, Step)> {
        let waiting =
            self.state.slots().filter(|(at, slot)| at.kind == *kind && !slot.held.is_empty());
        let addresses: Vec<_> = waiting.map(|(address, _)| address.clone()).collect();
        let mut released = Vec::new();
        for address in addresses {
            let steps = self.state.edit(&address, &mut self.sum, |slot| {
                let waits = |step: &Step| step.body.is_some() && step.schema.major > major;
                let count = slot.held.iter().position(waits).unwrap_or(slot.held.len());
                slot.held.drain(..count).collect::<Vec<_>>()
            });
            released.extend(steps.into_iter().map(|step| (address.clone(), step)));
        }
        released.sort_by_key(|(_, step)| step.version);
        released
    }

    fn put_step(&mut self, address: &EntityKey, step: Step) {
        let version = step.version;
        let read = step.body.as_ref().map(|text| {
            let body: Map<String, Value> =
                serde_json::from_str(text).map_err(|fault| fault.to_string())?;
            Body::try_read(&self.table, &address.kind, step.schema.major, body)
        });
        match read.transpose() {
            Ok(body) => {
                self.put_in_force(address, version, body);
                self.state.edit(address, &mut self.sum, |slot| {
                    slot.now = step.body.is_some().then_some(step);
                });
            }
            Err(reason) => self.window.revise(version, Outcome::rejected(reason), &mut self.sum),
        }
    }
}

fn check_envelope(change: &Change) -> Result<()> {
    if change.schema.major == 0 {
        return Err("major version 0 does not exist".to_owned());
    }
    change.name.parse::<Upstream>().map(drop).map_err(|fault| fault.to_string())
}

fn try_store(body: &Map<String, Value>) -> Result<Arc<str>> {
    let text = canonical(body);
    if text.len() > MAX_BODY_BYTES {
        return Err(format!("the body has {} bytes, allowed are {MAX_BODY_BYTES}", text.len()));
    }
    Ok(text.into())
}
