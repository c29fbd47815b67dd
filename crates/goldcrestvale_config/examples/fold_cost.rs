//! Measures the time and memory that the state, checkpoints and snapshots take at a given size.
//!
//! ```sh
//! cargo run --release -p goldcrestvale_config --example fold_cost
//! ```
#![allow(clippy::print_stdout, reason = "prints its figures")]

use std::{fs, sync::Arc, time::Instant};

use goldcrestvale_base::id::{Incarnation, Offset, RecordId};
use goldcrestvale_config::{
    change::{Change, Schema},
    fold::Fold,
    record::Kind,
    schema::Table,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const CUSTOMERS: u64 = 1_900;
const ENGINES: u64 = 12_000;
const MODELS: u64 = 5;
const SERVICES: u64 = 20;
const BINDINGS_PER_CUSTOMER: u64 = 3;
const CHANGES_PER_DAY: u64 = 77_000;
/// Size of a page of the memory report, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Generates accepted changes and folds them.
struct Generator {
    fold: Fold,
    records: Vec<(RecordId, String)>,
    keep_records: bool,
}

impl Generator {
    fn write(&mut self, kind: &Kind, name: &str, body: Value) {
        let Value::Object(body) = body else { return };
        let change = Change {
            schema: Schema::CURRENT,
            kind: kind.clone(),
            name: name.to_owned(),
            base: self.fold.head(kind, name),
            body: Some(body),
            operator: "measure".to_owned(),
        };
        let data = serde_json::to_string(&change).expect("JSON");
        let offset = self.fold.version();
        // Operators use many instances.
        let id =
            RecordId { incarnation: Incarnation(u128::from(offset.0 % 340)), sequence: offset.0 };
        let outcome = self.fold.apply(offset, id, &data);
        assert!(matches!(outcome, Some(goldcrestvale_config::fold::Outcome::Accepted { .. })));
        if self.keep_records {
            self.records.push((id, data));
        }
    }

    fn fill(&mut self) {
        for n in 0..CUSTOMERS {
            self.write(&Kind::Customer, &format!("customer-{n}"), customer(n, 1));
        }
        for n in 0..MODELS {
            self.write(&Kind::Model, &format!("model-{n}"), model());
        }
        for n in 0..SERVICES {
            self.write(&Kind::Service, &format!("service-{n}"), service(n, 800));
        }
        for n in 0..ENGINES {
            self.write(&Kind::Placement, &format!("engine-{n}"), placement(n, 1));
        }
        for n in 0..CUSTOMERS * BINDINGS_PER_CUSTOMER {
            let (customer, target) = (n / BINDINGS_PER_CUSTOMER, n % BINDINGS_PER_CUSTOMER);
            self.write(&Kind::Binding, &format!("binding-{n}"), binding(customer, target, 1));
        }
        for n in 0..CUSTOMERS {
            self.write(&Kind::Limit, &format!("limit-{n}"), limit(n, 50));
        }
    }

    fn edit(&mut self, rng: &mut ChaCha8Rng) {
        let amount = rng.random_range(1..100);
        match rng.random_range(0..10) {
            0 | 1 => {
                let n = rng.random_range(0..CUSTOMERS);
                self.write(&Kind::Customer, &format!("customer-{n}"), customer(n, amount));
            }
            2..=5 => {
                let n = rng.random_range(0..ENGINES);
                self.write(&Kind::Placement, &format!("engine-{n}"), placement(n, amount));
            }
            6 | 7 => {
                let n = rng.random_range(0..CUSTOMERS);
                self.write(&Kind::Limit, &format!("limit-{n}"), limit(n, amount));
            }
            _ => {
                let n = rng.random_range(0..CUSTOMERS * BINDINGS_PER_CUSTOMER);
                let (customer, target) = (n / BINDINGS_PER_CUSTOMER, n % BINDINGS_PER_CUSTOMER);
                self.write(
                    &Kind::Binding,
                    &format!("binding-{n}"),
                    binding(customer, target, amount),
                );
            }
        }
    }
}

fn customer(n: u64, weight: u64) -> Value {
    json!({"credential": format!("{n:064x}"), "weight": weight, "max_in_flight": 64})
}

fn model() -> Value {
    json!({"layers": 96, "version": "2026-11", "adapters": ["notices", "tributes"],
        "context_tokens": 32_768, "activation_bytes": 16_384})
}

fn service(n: u64, timeout: u64) -> Value {
    json!({"pool": format!("pool-{n}"), "timeout_ms": timeout,
        "methods": [{"method": "GET", "path": "/", "idempotent": true}]})
}

fn placement(n: u64, version: u64) -> Value {
    json!({"model": format!("model-{}", n % MODELS), "layers": {"from": 0, "to": 24},
        "version": format!("2026-{version}"), "adapters": ["notices"]})
}

fn binding(customer: u64, target: u64, priority: u64) -> Value {
    let target = match target {
        0 => json!({"model": "model-0"}),
        n => json!({"service": format!("service-{n}")}),
    };
    json!({"customer": format!("customer-{customer}"), "target": target, "priority": priority})
}

fn limit(customer: u64, tokens: u64) -> Value {
    json!({"customer": format!("customer-{customer}"), "target": {"model": "model-0"},
        "tokens_per_second": tokens})
}

fn resident_mib() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    (pages * PAGE_BYTES) as f64 / f64::from(1 << 20)
}

fn main() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let start = resident_mib();
    let mut generator = Generator { fold: Fold::new(), records: Vec::new(), keep_records: false };
    generator.fill();
    println!("entities,{}", generator.fold.version());
    println!("memory_after_fill_mib,{:.1}", resident_mib() - start);
    for _ in 0..CHANGES_PER_DAY {
        generator.edit(&mut rng);
    }
    println!("memory_after_a_day_mib,{:.1}", resident_mib() - start);

    let timer = Instant::now();
    let checkpoint = generator.fold.checkpoint();
    println!("checkpoint_write_ms,{:.1}", timer.elapsed().as_secs_f64() * 1e3);
    println!("checkpoint_bytes,{}", checkpoint.text.len());
    println!("checkpoint_chunks,{}", checkpoint.chunks().len());
    let timer = Instant::now();
    let restored = checkpoint.try_restore(Arc::new(Table::default())).expect("restores");
    println!("checkpoint_load_ms,{:.1}", timer.elapsed().as_secs_f64() * 1e3);
    assert_eq!(restored.digest(), generator.fold.digest());
    drop(restored);

    generator.keep_records = true;
    let mut replay = generator.fold.clone();
    for _ in 0..CHANGES_PER_DAY {
        generator.edit(&mut rng);
    }
    for published in [false, true] {
        let mut fold = replay.clone();
        let mut snapshot = fold.snapshot();
        let timer = Instant::now();
        for (offset, (id, data)) in (replay.version().0..).zip(&generator.records) {
            fold.apply(Offset(offset), *id, data);
            if published {
                snapshot = fold.snapshot();
            }
        }
        let time = timer.elapsed().as_secs_f64();
        assert_eq!(fold.digest(), generator.fold.digest());
        let name = if published { "a_snapshot_each" } else { "one_snapshot" };
        println!("day_of_changes_{name}_s,{time:.2}");
        println!("change_{name}_us,{:.1}", time * 1e6 / CHANGES_PER_DAY as f64);
        drop(snapshot);
    }
    replay.check_end(generator.fold.version());
}
