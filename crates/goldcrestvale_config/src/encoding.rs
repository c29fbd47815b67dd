//! The form of the state inside a checkpoint.

use std::sync::Arc;

use goldcrestvale_base::{
    domain,
    id::{Incarnation, Offset, RecordId},
};
use serde_json::{Map, Value, value::RawValue};

use crate::{
    body::Body,
    change::Schema,
    fold::{Fold, Outcome},
    link::EntityKey,
    outcome::Folded,
    record::Kind,
    slot::{Slot, Step},
};

/// The result of restoring a part of the state.
type Result<T> = std::result::Result<T, Fault>;

/// Why a part of the state is not restored.
pub(crate) enum Fault {
    /// A body is not JSON.
    Malformed(serde_json::Error),
    /// A body in force is not read, with the reason.
    Unread(EntityKey, String),
}

impl From<serde_json::Error> for Fault {
    fn from(fault: serde_json::Error) -> Self {
        Self::Malformed(fault)
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct Saved {
    majors: Vec<(Kind, u16)>,
    entities: Vec<SavedSlot>,
    incarnations: Vec<Incarnation>,
    records: Vec<SavedRecord>,
}

/// Offset, place of the incarnation in the list, sequence number, outcome.
#[derive(serde::Serialize, serde::Deserialize)]
struct SavedRecord(Offset, usize, u64, SavedOutcome);

#[derive(serde::Serialize, serde::Deserialize)]
struct SavedSlot {
    kind: Kind,
    name: String,
    now: Option<SavedStep>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    held: Vec<SavedStep>,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct SavedStep {
    version: Offset,
    schema: Schema,
    body: Option<Box<RawValue>>,
}

domain! {
    value
    /// An outcome; accepted ones, which are most, take one byte.
    #[serde(untagged)]
    enum SavedOutcome {
        Accepted(bool),
        Other(Option<Outcome>),
    }
}

impl Saved {
    /// Copies the state of a fold.
    pub(crate) fn of(fold: &Fold) -> Self {
        let majors = fold.state.raised().iter().map(|(kind, major)| (kind.clone(), *major));
        let (incarnations, records) = save_records(fold);
        Self {
            majors: majors.collect(),
            entities: fold.state.slots().map(save_slot).collect(),
            incarnations,
            records,
        }
    }

    /// Adds the state to a fold that holds none.
    pub(crate) fn try_restore(self, fold: &mut Fold) -> Result<()> {
        for (kind, major) in self.majors {
            fold.state.raise(kind, major, &mut fold.sum);
        }
        for slot in self.entities {
            restore_slot(fold, slot)?;
        }
        for SavedRecord(offset, index, sequence, outcome) in self.records {
            // An index out of range gives another digest, which the caller checks.
            let incarnation = self.incarnations.get(index).copied().unwrap_or(Incarnation(0));
            let id = RecordId { incarnation, sequence };
            let outcome = restore_outcome(offset, outcome);
            fold.window.push(Folded { offset, id, outcome }, &mut fold.sum);
        }
        Ok(())
    }
}

fn save_slot((address, slot): (&EntityKey, &Slot)) -> SavedSlot {
    SavedSlot {
        kind: address.kind.clone(),
        name: address.name.as_ref().to_owned(),
        now: slot.now.as_ref().map(save_step),
        held: slot.held.iter().map(save_step).collect(),
    }
}

fn save_step(step: &Step) -> SavedStep {
    let raw = |text: &Arc<str>| {
        RawValue::from_string(text.as_ref().to_owned()).expect("bodies are stored as JSON objects")
    };
    SavedStep { version: step.version, schema: step.schema, body: step.body.as_ref().map(raw) }
}

fn save_records(fold: &Fold) -> (Vec<Incarnation>, Vec<SavedRecord>) {
    let mut incarnations: indexmap::IndexSet<Incarnation> = indexmap::IndexSet::new();
    let mut records = Vec::new();
    for Folded { offset, id, outcome } in fold.window.iter() {
        let (index, _) = incarnations.insert_full(id.incarnation);
        let outcome = match outcome {
            Some(Outcome::Accepted { .. }) => SavedOutcome::Accepted(true),
            other => SavedOutcome::Other(other.clone()),
        };
        records.push(SavedRecord(*offset, index, id.sequence, outcome));
    }
    (incarnations.into_iter().collect(), records)
}

fn restore_outcome(offset: Offset, outcome: SavedOutcome) -> Option<Outcome> {
    match outcome {
        SavedOutcome::Accepted(_) => Some(Outcome::Accepted { version: offset }),
        SavedOutcome::Other(outcome) => outcome,
    }
}

fn restore_slot(fold: &mut Fold, saved: SavedSlot) -> Result<()> {
    let address = EntityKey::new(saved.kind, &saved.name);
    let mut now = None;
    if let Some(step) = saved.now {
        let (step, body) = restore_step(step)?;
        let body = body.map(|body| {
            let read = Body::try_read(&fold.table, &address.kind, step.schema.major, body);
            read.map_err(|reason| Fault::Unread(address.clone(), reason))
        });
        fold.put_in_force(&address, step.version, body.transpose()?);
        now = Some(step);
    }
    let held = saved.held.into_iter().map(restore_step);
    let held = held.map(|restored| restored.map(|(step, _)| step)).collect::<Result<_>>()?;
    fold.state.edit(&address, &mut fold.sum, |slot| *slot = Slot { now, held });
    Ok(())
}

fn restore_step(saved: SavedStep) -> Result<(Step, Option<Map<String, Value>>)> {
    let SavedStep { version, schema, body } = saved;
    let Some(raw) = body else { return Ok((Step { version, schema, body: None }, None)) };
    let body = serde_json::from_str(raw.get())?;
    Ok((Step { version, schema, body: Some(raw.get().into()) }, Some(body)))
}
