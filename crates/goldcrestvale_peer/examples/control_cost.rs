//! Measures what the membership costs a node: bytes, processor time, memory, detection time.
//!
//! `cargo run --release -p goldcrestvale_peer --example control_cost`
//!
//! Bytes are counted from the frames that members on virtual time would send; processor time
//! comes from real peers over loopback in one process with one thread.
#![allow(clippy::print_stdout, clippy::unwrap_used)]

#[path = "../../goldcrestvale_member/tests/cluster/mod.rs"]
mod cluster;
#[path = "../tests/mesh/mod.rs"]
mod mesh;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cluster::{Cluster, MS, SECOND, mark};
use goldcrestvale_base::id::Offset;
use goldcrestvale_member::{
    in_flight::UpstreamWork,
    message::Message,
    prelude::{Config, Event, Notice, Parts, Settings, Source, Status},
};
use goldcrestvale_peer::convert;
use goldcrestvale_wire::frame::OVERHEAD_BYTES;

/// Virtual time that is counted, in seconds.
const COUNTED: u32 = 60;

/// Bytes of a TCP segment's headers over IPv4 with timestamps, and of its share of pure acks.
const SEGMENT_BYTES: usize = 52 + 26;

/// Number of instances and of failure domains.
const SIZES: [(usize, usize); 4] = [(4, 3), (12, 3), (100, 10), (340, 28)];

#[derive(Debug, Default)]
struct Kind {
    frames: usize,
    bytes: usize,
}

fn same(settings: Settings) -> Settings {
    settings
}

/// Starts instances that have a configuration to tell of.
fn start(seed: u64, size: usize, domains: usize) -> Cluster {
    let names: Vec<String> = (0..size).map(|n| format!("domain-{:02}", n % domains)).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::start(seed, &names, same);
    let config = Some(Config { version: Offset(5_000_000), digest: 1 << 60 });
    for place in 0..size {
        cluster.feed(place, Event::Status(Status { config, schema: 1, ..Status::default() }));
    }
    cluster
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat(_) => "heartbeat",
        Message::Goodbye(_) => "goodbye",
        Message::Members(_) => "gossip",
        Message::Leaving(_) => "leaving",
        Message::Use(_) => "limits",
        Message::InFlight(_) => "sends",
        Message::Silent(_) => "silent",
    }
}

/// Lets every node send work, four customers press against their limits, and one upstream leave
/// every ten seconds.
fn work(cluster: &mut Cluster, second: u32) {
    let size = cluster.nodes.len();
    for place in 0..size {
        let sent = (0..40).map(|n| UpstreamWork {
            upstream: cluster::upstream(&format!("engine-{n}")),
            units: second * 7 % 50 + n,
        });
        cluster.feed(place, Event::WorkInProgress(sent.collect()));
        for n in 0..4 {
            let customer = format!("customer-{n}").parse().unwrap();
            let parts = Parts(if place % 4 == n { 900_000 } else { 1_000 });
            cluster.feed(place, Event::Demand { customer, parts });
        }
    }
    if second.is_multiple_of(10) {
        let name = format!("engine-{second}");
        let place = second as usize % size;
        let mark = mark(&name, Some("a1"), Source::Report, cluster.now);
        cluster.feed(place, Event::Leaving(mark));
    }
}

fn bytes(size: usize, domains: usize, busy: bool) {
    let mut cluster = start(1, size, domains);
    cluster.run(20 * SECOND);
    let counted: Rc<RefCell<BTreeMap<&str, Kind>>> = Rc::default();
    let tap = Rc::clone(&counted);
    cluster.on_send = Box::new(move |_, message| {
        let bytes = OVERHEAD_BYTES + convert::encode(message).body_len();
        let mut counted = tap.borrow_mut();
        let kind = counted.entry(kind(message)).or_default();
        kind.frames += 1;
        kind.bytes += bytes;
    });
    let began = Instant::now();
    for second in 0..COUNTED {
        if busy {
            work(&mut cluster, second);
        }
        cluster.run(SECOND);
    }
    let wall = began.elapsed().as_secs_f64();
    let node_seconds = size as f64 * f64::from(COUNTED);
    let counted = counted.borrow();
    let links = (0..size).map(|place| cluster.links_of(place)).sum::<usize>() as f64 / size as f64;
    let total: usize = counted.values().map(|kind| kind.bytes).sum();
    // Messages of one beat to one peer share a segment: each heartbeat opens one, as do the
    // gossip and the leaving upstreams.
    let segments: usize = ["heartbeat", "gossip", "leaving"]
        .iter()
        .filter_map(|kind| counted.get(kind))
        .map(|kind| kind.frames)
        .sum();
    let on_wire = (total + segments * SEGMENT_BYTES) as f64 / node_seconds;
    let state = if busy { "busy" } else { "idle" };
    print!(
        "| {size} | {domains} | {state} | {links:.1} | {:.0} | {on_wire:.0} | ",
        total as f64 / node_seconds
    );
    println!("{:.4} % |", wall / node_seconds * 100.0);
    for (kind, Kind { frames, bytes }) in counted.iter() {
        let (frames, bytes) = (*frames as f64 / node_seconds, *bytes as f64 / node_seconds);
        println!("    {kind}: {frames:.2} frames/s, {bytes:.0} B/s");
    }
}

fn detection(size: usize, domains: usize) {
    let mut times = Vec::new();
    for seed in 0..20 {
        let mut cluster = start(seed, size, domains);
        cluster.run(10 * SECOND + MS * (seed as u32 * 53));
        cluster.kill(0);
        let (at, before) = (cluster.now, cluster.notices.len());
        cluster.run(6 * SECOND);
        let dead = cluster.notices[before..]
            .iter()
            .filter(|told| matches!(&told.notice, Notice::Dead(name) if *name == cluster.name(0)));
        times.extend(dead.map(|told| told.at.since(at).as_secs_f64()));
    }
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("| {size} | {} | {:.2} s | {:.2} s |", times.len(), at(0.5), at(1.0));
}

/// Returns the processor time of this thread so far.
fn processor() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Returns the resident memory of this process, in kilobytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or_default()
}

/// Measures the memory of members and simulator together.
fn memory(size: usize, domains: usize) {
    let before = resident();
    let mut cluster = start(1, size, domains);
    for second in 0..60 {
        work(&mut cluster, second);
        cluster.run(SECOND);
    }
    println!("{size} instances: {} kB each", (resident() - before) / size);
}

async fn real(count: usize) {
    let peers = mesh::mesh_with(count, Duration::from_secs(1)).await;
    let (began, used) = (Instant::now(), processor());
    let bytes = |peers: &[mesh::Peer]| -> u64 {
        peers.iter().map(|peer| peer.handle.counts().bytes_out).sum()
    };
    let sent = bytes(&peers);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let span = began.elapsed().as_secs_f64();
    let share = (processor() - used).as_secs_f64() / span / count as f64 * 100.0;
    let sent = (bytes(&peers) - sent) as f64 / span / count as f64;
    println!("| {count} | {} | {sent:.0} | {share:.3} % |", count - 1);
}

fn main() {
    println!("Memory of a simulated member under the busy load");
    memory(340, 28);
    println!("Bytes sent by a node, on virtual time");
    println!(
        "| instances | domains | load | links | frame B/s | with TCP/IP B/s | simulated CPU |"
    );
    for (size, domains) in SIZES {
        bytes(size, domains, false);
        bytes(size, domains, true);
    }
    println!("Time from a silent death to its notice, over all observers");
    println!("| instances | notices | median | longest |");
    for (size, domains) in SIZES {
        detection(size, domains);
    }
    println!("Real peers over loopback, idle, one thread");
    println!("| instances | links | frame B/s | CPU a node |");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for count in [4, 18] {
        runtime.block_on(real(count));
    }
}
