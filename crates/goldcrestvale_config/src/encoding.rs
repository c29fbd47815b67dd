//! The encoding of the state in a checkpoint.

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
    outcome::FoldedRecord,
    record::Kind,
    slot::{Revision, Slot},
};

/// The result of restoring a part of the state.
type Result<T> = std::result::Result<T, Error>;

/// Why a part of the state cannot be restored.
pub(crate) enum Error {
    /// A body is not JSON.
    Malformed(serde_json::Error),
    /// A body in force cannot be parsed, with the reason.
    Unread(EntityKey, String),
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error)
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct EncodedState {
    majors: Vec<(Kind, u16)>,
    entities: Vec<EncodedSlot>,
    incarnations: Vec<Incarnation>,
    records: Vec<EncodedRecord>,
}

/// Offset, index of the incarnation in the list, sequence number, outcome.
#[derive(serde::Serialize, serde::Deserialize)]
struct EncodedRecord(Offset, usize, u64, EncodedOutcome);

#[derive(serde::Serialize, serde::Deserialize)]
struct EncodedSlot {
    kind: Kind,
    name: String,
    now: Option<EncodedRevision>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    held: Vec<EncodedRevision>,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct EncodedRevision {
    version: Offset,
    schema: Schema,
    body: Option<Box<RawValue>>,
}

domain! {
    value
    /// An outcome; to save space, the accepted ones, which are the majority, are encoded as `true`.
    #[serde(untagged)]
    enum EncodedOutcome {
        Accepted(bool),
        Other(Option<Outcome>),
    }
}

impl EncodedState {
    /// Encodes the state of a fold.
    pub(crate) fn of(fold: &Fold) -> Self {
        let majors = fold.state.majors().iter().map(|(kind, major)| (kind.clone(), *major));
        let (incarnations, records) = encode_records(fold);
        Self {
            majors: majors.collect(),
            entities: fold.state.slots().map(encode_slot).collect(),
            incarnations,
            records,
        }
    }

    /// Restores the state into an empty fold.
    pub(crate) fn try_restore(self, fold: &mut Fold) -> Result<()> {
        for (kind, major) in self.majors {
            fold.state.set_major(kind, major, &mut fold.set_digest);
        }
        for slot in self.entities {
            restore_slot(fold, slot)?;
        }
        for EncodedRecord(offset, index, sequence, outcome) in self.records {
            // An index out of range leads to another digest, which the caller verifies.
            let incarnation = self.incarnations.get(index).copied().unwrap_or(Incarnation(0));
            let id = RecordId { incarnation, sequence };
            let outcome = restore_outcome(offset, outcome);
            fold.window.push(FoldedRecord { offset, id, outcome }, &mut fold.set_digest);
        }
        Ok(())
    }
}

fn encode_slot((key, slot): (&EntityKey, &Slot)) -> EncodedSlot {
    EncodedSlot {
        kind: key.kind.clone(),
        name: key.name.as_ref().to_owned(),
        now: slot.current.as_ref().map(encode_revision),
        held: slot.pending.iter().map(encode_revision).collect(),
    }
}

fn encode_revision(revision: &Revision) -> EncodedRevision {
    let raw = |text: &Arc<str>| {
        RawValue::from_string(text.as_ref().to_owned()).expect("bodies are stored as JSON objects")
    };
    EncodedRevision {
        version: revision.version,
        schema: revision.schema,
        body: revision.body.as_ref().map(raw),
    }
}

fn encode_records(fold: &Fold) -> (Vec<Incarnation>, Vec<EncodedRecord>) {
    let mut incarnations: indexmap::IndexSet<Incarnation> = indexmap::IndexSet::new();
    let mut records = Vec::new();
    for FoldedRecord { offset, id, outcome } in fold.window.iter() {
        let (index, _) = incarnations.insert_full(id.incarnation);
        let outcome = match outcome {
            Some(Outcome::Accepted { .. }) => EncodedOutcome::Accepted(true),
            other => EncodedOutcome::Other(other.clone()),
        };
        records.push(EncodedRecord(*offset, index, id.sequence, outcome));
    }
    (incarnations.into_iter().collect(), records)
}

fn restore_outcome(offset: Offset, outcome: EncodedOutcome) -> Option<Outcome> {
    match outcome {
        EncodedOutcome::Accepted(_) => Some(Outcome::Accepted { version: offset }),
        EncodedOutcome::Other(outcome) => outcome,
    }
}

fn restore_slot(fold: &mut Fold, encoded: EncodedSlot) -> Result<()> {
    let key = EntityKey::new(encoded.kind, &encoded.name);
    let mut current = None;
    if let Some(revision) = encoded.now {
        let (revision, body) = restore_revision(revision)?;
        let body = body.map(|body| {
            let parsed = Body::try_parse(&fold.table, &key.kind, revision.schema.major, body);
            parsed.map_err(|reason| Error::Unread(key.clone(), reason))
        });
        fold.put_in_force(&key, revision.version, body.transpose()?);
        current = Some(revision);
    }
    let pending = encoded.held.into_iter().map(restore_revision);
    let pending =
        pending.map(|restored| restored.map(|(revision, _)| revision)).collect::<Result<_>>()?;
    fold.state.edit(&key, &mut fold.set_digest, |slot| *slot = Slot { current, pending });
    Ok(())
}

fn restore_revision(encoded: EncodedRevision) -> Result<(Revision, Option<Map<String, Value>>)> {
    let EncodedRevision { version, schema, body } = encoded;
    let Some(raw) = body else { return Ok((Revision { version, schema, body: None }, None)) };
    let body = serde_json::from_str(raw.get())?;
    Ok((Revision { version, schema, body: Some(raw.get().into()) }, Some(body)))
}
