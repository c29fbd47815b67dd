//! An in-memory log and instances that share it, for failure tests.
#![allow(dead_code, unreachable_pub, reason = "each test uses only a part")]

pub mod checkpoint_writers;
pub mod cluster;

use goldcrestvale_base::{
    id::{Incarnation, Offset, RecordId},
    time::Instant,
};
use goldcrestvale_config::{
    change::{Change, Data, Schema, SchemaUpgrade},
    fold::Fold,
    record::Kind,
    start,
    sync::{Answer, Decision, Offer, REQUEST_TIMEOUT, Request, Sync},
    writer::Writer,
};
use serde_json::{Value, json};

pub const V1: Schema = Schema { major: 1, minor: 0 };
pub const V2: Schema = Schema { major: 2, minor: 0 };

/// An in-memory stream.
#[derive(Default)]
pub struct Log {
    pub records: Vec<(RecordId, String)>,
    pub oldest: usize,
}

impl Log {
    pub fn append(&mut self, id: RecordId, data: &str) -> Offset {
        self.records.push((id, data.to_owned()));
        Offset(self.records.len() as u64 - 1)
    }

    pub fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    pub fn trim(&mut self, oldest: Offset) {
        self.oldest = self.oldest.max(usize::try_from(oldest.0).expect("small"));
    }

    /// Applies every record from the version of the fold onwards.
    pub fn read_into(&self, fold: &mut Fold) {
        let from = usize::try_from(fold.version().0).expect("small").max(self.oldest);
        for (offset, (id, data)) in self.records.iter().enumerate().skip(from) {
            fold.apply(Offset(offset as u64), *id, data);
        }
    }
}

/// An instance.
pub struct Node {
    pub now: Instant,
    pub fold: Fold,
    pub sync: Sync,
    pub max_version: Offset,
}

impl Node {
    pub fn new(fold: Fold) -> Self {
        Self { now: Instant(0), max_version: fold.version(), fold, sync: Sync::default() }
    }

    /// Reads the log from the version of the fold, or from a checkpoint if records are trimmed.
    pub fn read(&mut self, log: &Log, writer: Option<&Writer>) -> start::Result<()> {
        let checkpoint = writer.and_then(Writer::latest);
        self.fold.try_resume(Offset(log.oldest as u64), checkpoint)?;
        log.read_into(&mut self.fold);
        Ok(())
    }

    /// Evaluates an offer, after earlier requests have timed out.
    pub fn evaluate(&mut self, offer: &Offer) -> Decision {
        self.now = self.now + REQUEST_TIMEOUT;
        self.sync.evaluate(self.now, &mut self.fold, offer)
    }

    pub fn receive(&mut self, answer: Answer) -> Option<Request> {
        self.sync.receive(self.now, &mut self.fold, answer)
    }

    /// Panics if the state reverted to an older one.
    pub fn check_monotonic(&mut self) {
        assert!(self.fold.version() >= self.max_version, "the state reverted");
        self.max_version = self.fold.version();
    }
}

/// Updates `to` to the state of `from`, as two connected instances do, and returns the number of
/// answers needed.
pub fn synchronise(from: &mut Node, to: &mut Node) -> usize {
    let offer = from.fold.offer();
    let Decision::Ask(mut request) = to.evaluate(&offer) else { return 0 };
    for answers in 1.. {
        let answer = from.sync.answer(&from.fold, &request);
        match to.receive(answer) {
            Some(next) => request = next,
            None => return answers,
        }
    }
    0
}

/// Panics if the states of two folds are not equal byte for byte.
pub fn assert_same(left: &Fold, right: &Fold, context: &str) {
    assert_eq!(left.offer(), right.offer(), "{context}");
    assert!(left.checkpoint() == right.checkpoint(), "{context}: the texts differ");
    assert!(left.snapshot() == right.snapshot(), "{context}: the snapshots differ");
}

/// Returns two elements of a slice.
pub fn pair<T>(items: &mut [T], a: usize, b: usize) -> (&mut T, &mut T) {
    let [a, b] = items.get_disjoint_mut([a, b]).expect("two elements");
    (a, b)
}

pub fn id(incarnation: u128, sequence: u64) -> RecordId {
    RecordId { incarnation: Incarnation(incarnation), sequence }
}

pub fn change(kind: Kind, name: &str, base: Option<u64>, body: Value) -> Change {
    let body = match body {
        Value::Object(body) => Some(body),
        _ => None,
    };
    let base = base.map(Offset);
    Change { schema: V1, kind, name: name.to_owned(), base, body, operator: "ana".to_owned() }
}

pub fn to_json(change: &Change) -> String {
    serde_json::to_string(change).expect("JSON")
}

pub fn put(kind: Kind, name: &str, base: Option<u64>, body: Value) -> String {
    to_json(&change(kind, name, base, body))
}

pub fn upgrade_to(kind: Kind, major: u16) -> String {
    serde_json::to_string(&Data::Raise { raise: SchemaUpgrade { kind, major } }).expect("JSON")
}

pub fn service(timeout_ms: u64) -> Value {
    json!({"pool": "desk", "timeout_ms": timeout_ms})
}

pub fn customer(credential: u64) -> Value {
    json!({"credential": format!("{credential:064x}"), "weight": 1, "max_in_flight": 8})
}

pub fn model(layers: u32) -> Value {
    json!({"layers": layers, "version": "1", "context_tokens": 4096, "activation_bytes": 8192})
}

pub fn placement(model: &str) -> Value {
    json!({"model": model, "layers": {"from": 0, "to": 4}, "version": "1"})
}

pub fn binding(customer: &str, service: &str) -> Value {
    json!({"customer": customer, "target": {"service": service}, "priority": 3})
}

pub fn limit(customer: &str, model: &str) -> Value {
    json!({"customer": customer, "target": {"model": model}, "tokens_per_second": 10})
}

pub fn engine_trait(delay: u64) -> Value {
    json!({"checks_sender": true, "honours_fencing": false, "order_delay_ms": delay})
}

/// Returns a valid body of a kind, which refers to customer `a`, model `m` and service `s`.
pub fn valid(kind: &Kind, variant: u64) -> Value {
    match kind {
        Kind::Customer => customer(variant),
        Kind::Service => service(variant + 1),
        Kind::Model => model(u32::try_from(variant).expect("small") + 1),
        Kind::Placement => placement("m"),
        Kind::Trait => engine_trait(variant),
        Kind::Binding => binding("a", "s"),
        Kind::Limit => limit("a", "m"),
        Kind::Other(_) => json!({"variant": variant}),
    }
}

/// Returns a fold with customer `a`, model `m` and service `s` from the first three records.
pub fn seeded(log: &mut Log) -> Fold {
    log.append(id(9, 1), &put(Kind::Customer, "a", None, customer(77)));
    log.append(id(9, 2), &put(Kind::Model, "m", None, model(8)));
    log.append(id(9, 3), &put(Kind::Service, "s", None, service(100)));
    let mut fold = Fold::new();
    log.read_into(&mut fold);
    fold
}
