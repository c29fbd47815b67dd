//! Prints the resident memory used by live claims and the time needed to fold them.
//!
//! `cargo run --release -p goldcrestvale_ledger --example claim_memory`

#![allow(clippy::print_stdout, reason = "the table is the purpose of this program")]

use std::time::{Duration, Instant};

use goldcrestvale_base::{
    id::{Digest, Incarnation, Key, Offset, RecordId},
    time::Wall,
};
use goldcrestvale_ledger::{
    claim::{Fold, Intent, Kind, Record, Window},
    prefix::Prefix,
    record::View,
};

const START: u64 = 1_700_000_000_000;
/// Number of processes that own the claims.
const OWNERS: u64 = 340;

fn main() {
    println!("| live claims | bytes a claim | fold, µs a record | digest, ms |");
    println!("|---:|---:|---:|---:|");
    for count in [10_000, 100_000, 1_000_000] {
        let before = resident_bytes();
        let mut fold =
            Fold::new(Window { length: Duration::from_secs(86_400) }, Prefix::from_start());
        let mut fold_time = Duration::ZERO;
        for number in 0..count {
            let (id, data) = record(number);
            let view =
                View { offset: Offset(number), id, written: Wall(START + number), data: &data };
            let start = Instant::now();
            fold.apply(view).expect("offsets run without gaps");
            fold_time += start.elapsed();
        }
        assert_eq!(fold.len() as u64, count);
        let bytes_per_claim = resident_bytes().saturating_sub(before) / count;
        let start = Instant::now();
        fold.digest();
        let digest_ms = start.elapsed().as_secs_f64() * 1_000.0;
        let micros_per_record = fold_time.as_secs_f64() * 1e6 / count as f64;
        println!("| {count} | {bytes_per_claim} | {micros_per_record:.2} | {digest_ms:.1} |");
    }
}

fn record(number: u64) -> (RecordId, String) {
    let bits = u128::from(START + number) << 80 | 7 << 76 | 2 << 62 | u128::from(number);
    let intent = Intent {
        key: Key(uuid::Uuid::from_u128(bits)),
        customer: "customer-1".parse().expect("a name"),
        service: "booking".parse().expect("a name"),
        digest: Digest::of(&number.to_le_bytes()),
        instance: "entry-1".parse().expect("a name"),
    };
    let incarnation = Incarnation(u128::from(number % OWNERS));
    let id = RecordId { incarnation, sequence: number / OWNERS };
    (id, Record::new(Kind::Claim(intent)).to_json())
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or_default() * 1_024
}
