//! Measures how long changes take to reach every node when only one node reads the log.
//!
//! Every node offers its state to a few random peers each second, as with heartbeats; messages
//! take 50 ms. Time is virtual.
//!
//! ```sh
//! cargo run --release -p goldcrestvale_config --example spread_time
//! ```
#![allow(clippy::print_stdout, reason = "prints its figures")]

use goldcrestvale_base::{
    id::{Incarnation, Offset, RecordId},
    time::Instant,
};
use goldcrestvale_config::{
    change::{Change, Schema},
    fold::Fold,
    record::Kind,
    sync::{Answer, Decision, Offer, Request, Sync},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Virtual time of one step and of one message, in milliseconds.
const STEP_MS: u64 = 50;
/// Time between a node's offers, in milliseconds.
const OFFER_MS: u64 = 1_000;
/// Time during which changes are made, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Maximum duration of a run, in milliseconds.
const END_MS: u64 = 600_000;
/// Size of an offer in a heartbeat: version, short digest, two field headers, in bytes.
const OFFER_BYTES: usize = 20;

enum Message {
    Offer(Offer),
    Request(Request),
    Answer(Answer),
}

struct Node {
    fold: Fold,
    sync: Sync,
    phase: u64,
    bytes: usize,
}

fn change(fold: &Fold, n: u64) -> String {
    let name = format!("s{}", n % 200);
    let body = json!({"pool": name, "timeout_ms": n + 1, "methods": [
        {"method": "GET", "path": "/", "idempotent": true}]});
    let change = Change {
        schema: Schema::CURRENT,
        kind: Kind::Service,
        base: fold.head(&Kind::Service, &name),
        name,
        body: body.as_object().cloned(),
        operator: "measure".to_owned(),
    };
    serde_json::to_string(&change).expect("JSON")
}

fn size(message: &Message) -> usize {
    match message {
        Message::Offer(_) => OFFER_BYTES,
        Message::Request(request) => serde_json::to_vec(request).map_or(0, |text| text.len()),
        Message::Answer(answer) => serde_json::to_vec(answer).map_or(0, |text| text.len()),
    }
}

/// Runs one case and returns the maximum time from a change until all nodes have it, and the bytes
/// that the busiest node sent.
fn run(count: usize, fan_out: usize, changes_per_minute: u64, seed: u64) -> (u64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let node = |_| Node {
        fold: Fold::new(),
        sync: Sync::default(),
        phase: rng.random_range(0..OFFER_MS / STEP_MS) * STEP_MS,
        bytes: 0,
    };
    let mut nodes: Vec<Node> = (0..count).map(node).collect();
    // Time of each change by offset, and the number of changes that every node has.
    let (mut created_at, mut reached) = (Vec::new(), 0);
    let mut in_transit: Vec<(usize, usize, Message)> = Vec::new();
    let (mut longest, mut busiest) = (0, 0);
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        let before = created_at.len() as u64;
        let due = if now < RUN_MS { (now + STEP_MS) * changes_per_minute / 60_000 } else { before };
        for n in before..due.max(before) {
            let data = change(&nodes[0].fold, n);
            let id = RecordId { incarnation: Incarnation(1), sequence: n };
            nodes[0].fold.apply(Offset(n), id, &data);
            created_at.push(now);
        }
        let clock = Instant(now * 1_000);
        let mut sent = Vec::new();
        for (to, from, message) in std::mem::take(&mut in_transit) {
            let node = &mut nodes[to];
            let reply = match message {
                Message::Offer(offer) => match node.sync.evaluate(clock, &mut node.fold, &offer) {
                    Decision::Ask(request) => Some(Message::Request(request)),
                    _ => None,
                },
                Message::Request(request) => {
                    Some(Message::Answer(node.sync.answer(&node.fold, &request)))
                }
                Message::Answer(answer) => {
                    node.sync.receive(clock, &mut node.fold, answer).map(Message::Request)
                }
            };
            sent.extend(reply.map(|reply| (to, from, reply)));
        }
        for (index, node) in nodes.iter().enumerate() {
            if now % OFFER_MS == node.phase {
                for _ in 0..fan_out {
                    let to = (index + rng.random_range(1..count)) % count;
                    sent.push((index, to, Message::Offer(node.fold.offer())));
                }
            }
        }
        for (from, to, message) in sent {
            nodes[from].bytes += size(&message);
            in_transit.push((to, from, message));
        }
        if now == RUN_MS {
            busiest = nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
        }
        let min_version = nodes.iter().map(|node| node.fold.version()).min().unwrap_or_default();
        for at in created_at.iter().take(min_version.0 as usize).skip(reached) {
            longest = longest.max(now - at);
        }
        reached = min_version.0 as usize;
        if now > RUN_MS && min_version == nodes[0].fold.version() {
            break;
        }
    }
    let digest = nodes[0].fold.digest();
    assert!(nodes.iter().all(|node| node.fold.digest() == digest), "all nodes agree");
    (longest, busiest)
}

fn main() {
    println!("nodes,fan_out,changes_per_minute,longest_ms,busiest_node_bytes_per_s");
    for changes_per_minute in [53, 530] {
        for (count, fan_out) in [(12, 1), (12, 3), (100, 3), (340, 3), (340, 5)] {
            let runs = (1..=3).map(|seed| run(count, fan_out, changes_per_minute, seed));
            let worst = runs.fold((0, 0), |a, b| (a.0.max(b.0), a.1.max(b.1)));
            let rate = worst.1 as u64 * 1_000 / RUN_MS;
            println!("{count},{fan_out},{changes_per_minute},{},{rate}", worst.0);
        }
    }
}
