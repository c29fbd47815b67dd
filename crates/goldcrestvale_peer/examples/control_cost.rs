//! Measures the cost of the membership per instance: bytes, CPU time, memory and detection time.
//!
//! `cargo run --release -p goldcrestvale_peer --example control_cost`
//!
//! Bytes are counted from the frames that simulated members would send in virtual time. CPU time is
//! that of real peers over loopback in one process with one thread.
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

/// Virtual time over which bytes are counted, in seconds.
const MEASURED_SECONDS: u32 = 60;

/// Bytes of the IPv4 and TCP headers of a segment with timestamps, plus its share of pure
/// acknowledgements.
const SEGMENT_BYTES: usize = 52 + 26;

/// Numbers of instances and of failure domains.
const SIZES: [(usize, usize); 4] = [(4, 3), (12, 3), (100, 10), (340, 28)];

#[derive(Debug, Default)]
struct KindTotal {
    frames: usize,
    bytes: usize,
}

fn unchanged(settings: Settings) -> Settings {
    settings
}

/// Starts instances whose heartbeats carry a configuration.
fn start(seed: u64, size: usize, domains: usize) -> Cluster {
    let names: Vec<String> = (0..size).map(|n| format!("domain-{:02}", n % domains)).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::start(seed, &names, unchanged);
    let config = Some(Config { version: Offset(5_000_000), digest: 1 << 60 });
    for index in 0..size {
        cluster.feed(index, Event::Status(Status { config, schema: 1, ..Status::default() }));
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
        Message::CustomerLoad(_) => "customers",
        Message::Silent(_) => "silent",
        Message::Evidence(_) => "evidence",
        Message::ChainLimits(_) => "chain limits",
        Message::RetryLoans(_) => "retry loans",
    }
}

/// Applies one second of load: every node sends work, four customers reach their limits, and one
/// upstream leaves every ten seconds.
fn apply_load(cluster: &mut Cluster, second: u32) {
    let size = cluster.nodes.len();
    for index in 0..size {
        let sent = (0..40).map(|n| UpstreamWork {
            upstream: cluster::upstream(&format!("engine-{n}")),
            units: second * 7 % 50 + n,
            tokens: Some((second * 7 % 50 + n) * 900),
        });
        cluster.feed(index, Event::WorkInProgress(sent.collect()));
        for n in 0..4 {
            let customer = format!("customer-{n}").parse().unwrap();
            let parts = Parts(if index % 4 == n { 900_000 } else { 1_000 });
            cluster.feed(index, Event::Demand { customer, parts });
        }
    }
    if second.is_multiple_of(10) {
        let name = format!("engine-{second}");
        let index = second as usize % size;
        let mark = mark(&name, Some("a1"), Source::Report, cluster.now);
        cluster.feed(index, Event::Leaving(mark));
    }
}

fn measure_bytes(size: usize, domains: usize, busy: bool) {
    let mut cluster = start(1, size, domains);
    cluster.run(20 * SECOND);
    let totals: Rc<RefCell<BTreeMap<&str, KindTotal>>> = Rc::default();
    let recorded = Rc::clone(&totals);
    cluster.on_send = Box::new(move |_, _, message| {
        let bytes = OVERHEAD_BYTES + convert::encode(message).body_len();
        let mut totals = recorded.borrow_mut();
        let total = totals.entry(kind(message)).or_default();
        total.frames += 1;
        total.bytes += bytes;
    });
    let started = Instant::now();
    for second in 0..MEASURED_SECONDS {
        if busy {
            apply_load(&mut cluster, second);
        }
        cluster.run(SECOND);
    }
    let wall = started.elapsed().as_secs_f64();
    let node_seconds = size as f64 * f64::from(MEASURED_SECONDS);
    let totals = totals.borrow();
    let links = (0..size).map(|index| cluster.links_of(index)).sum::<usize>() as f64 / size as f64;
    let total: usize = totals.values().map(|total| total.bytes).sum();
    // Messages sent to one peer at the same time share a segment. Each heartbeat starts one, as do
    // gossip and leaving upstreams.
    let segments: usize = ["heartbeat", "gossip", "leaving"]
        .iter()
        .filter_map(|kind| totals.get(kind))
        .map(|total| total.frames)
        .sum();
    let on_wire = (total + segments * SEGMENT_BYTES) as f64 / node_seconds;
    let state = if busy { "busy" } else { "idle" };
    print!(
        "| {size} | {domains} | {state} | {links:.1} | {:.0} | {on_wire:.0} | ",
        total as f64 / node_seconds
    );
    println!("{:.4} % |", wall / node_seconds * 100.0);
    for (kind, KindTotal { frames, bytes }) in totals.iter() {
        let (frames, bytes) = (*frames as f64 / node_seconds, *bytes as f64 / node_seconds);
        println!("    {kind}: {frames:.2} frames/s, {bytes:.0} B/s");
    }
}

fn measure_detection(size: usize, domains: usize) {
    let mut times = Vec::new();
    for seed in 0..20 {
        let mut cluster = start(seed, size, domains);
        cluster.run(10 * SECOND + MS * (seed as u32 * 53));
        cluster.kill(0);
        let (at, before) = (cluster.now, cluster.notices.len());
        cluster.run(6 * SECOND);
        let dead = cluster.notices[before..].iter().filter(
            |emitted| matches!(&emitted.notice, Notice::Dead(name) if *name == cluster.name(0)),
        );
        times.extend(dead.map(|emitted| emitted.at.since(at).as_secs_f64()));
    }
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("| {size} | {} | {:.2} s | {:.2} s |", times.len(), at(0.5), at(1.0));
}

/// Returns the CPU time of this thread so far.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Returns the resident memory of this process, in kB.
fn resident_memory_kb() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or_default()
}

/// Measures the memory of the members and the simulator together.
fn measure_memory(size: usize, domains: usize) {
    let before = resident_memory_kb();
    let mut cluster = start(1, size, domains);
    for second in 0..60 {
        apply_load(&mut cluster, second);
        cluster.run(SECOND);
    }
    println!("{size} instances: {} kB each", (resident_memory_kb() - before) / size);
}

async fn measure_real_peers(count: usize) {
    let peers = mesh::mesh_with(count, Duration::from_secs(1)).await;
    let (started, cpu_before) = (Instant::now(), cpu_time());
    let bytes_out = |peers: &[mesh::Peer]| -> u64 {
        peers.iter().map(|peer| peer.handle.counts().bytes_out).sum()
    };
    let before = bytes_out(&peers);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let elapsed = started.elapsed().as_secs_f64();
    let share = (cpu_time() - cpu_before).as_secs_f64() / elapsed / count as f64 * 100.0;
    let sent = (bytes_out(&peers) - before) as f64 / elapsed / count as f64;
    println!("| {count} | {} | {sent:.0} | {share:.3} % |", count - 1);
}

fn main() {
    println!("Memory of a simulated member under load");
    measure_memory(340, 28);
    println!("Bytes sent per instance, in virtual time");
    println!(
        "| instances | domains | load | links | frame B/s | with TCP/IP B/s | simulated CPU |"
    );
    for (size, domains) in SIZES {
        measure_bytes(size, domains, false);
        measure_bytes(size, domains, true);
    }
    println!("Time from a crash to its detection, over all observers");
    println!("| instances | notices | median | longest |");
    for (size, domains) in SIZES {
        measure_detection(size, domains);
    }
    println!("Real peers over loopback, idle, one thread");
    println!("| instances | links | frame B/s | CPU per instance |");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for count in [4, 18] {
        runtime.block_on(measure_real_peers(count));
    }
}
