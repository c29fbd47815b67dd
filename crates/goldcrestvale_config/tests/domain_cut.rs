//! Failure domains partitioned from each other and from the platform, reconnected in any order.

mod support;

use goldcrestvale_base::id::{Digest, Offset};
use goldcrestvale_config::{
    fold::Fold,
    prelude::*,
    sync::{Answer, Decision, Offer, REQUEST_TIMEOUT},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use support::*;

const DOMAINS: usize = 3;
const NODES: usize = 6;

/// The reachability of the platform and of other domains, by domain.
struct Links {
    platform: [bool; DOMAINS],
    between: [[bool; DOMAINS]; DOMAINS],
}

impl Links {
    fn all_up() -> Self {
        Self { platform: [true; DOMAINS], between: [[true; DOMAINS]; DOMAINS] }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let (a, b) = (a % DOMAINS, b % DOMAINS);
        a == b || (self.between[a][b] && self.between[b][a])
    }
}

/// Runs one round: nodes that reach the log read it, and every connected pair exchanges offers.
fn round(log: &Log, nodes: &mut [Node], links: &Links, rng: &mut ChaCha8Rng) {
    for (index, node) in nodes.iter_mut().enumerate() {
        if links.platform[index % DOMAINS] {
            log.read_into(&mut node.fold);
        }
    }
    let mut pairs: Vec<_> = (0..NODES).flat_map(|a| (0..NODES).map(move |b| (a, b))).collect();
    pairs.shuffle(rng);
    for (a, b) in pairs {
        if a != b && links.connected(a, b) {
            let (a, b) = pair(nodes, a, b);
            synchronise(a, b);
        }
    }
    nodes.iter_mut().for_each(Node::check_monotonic);
}

fn write(log: &mut Log, reference: &mut Fold, rng: &mut ChaCha8Rng, sequence: &mut u64) {
    for _ in 0..rng.random_range(0..8) {
        let kind = Kind::KNOWN[rng.random_range(0..7)].clone();
        let name = ["a", "m", "s", "z"][rng.random_range(0..4)];
        let base = reference.head(&kind, name).map(|version| version.0);
        let body = match rng.random_bool(0.2) {
            true => serde_json::Value::Null,
            false => valid(&kind, rng.random_range(0..5)),
        };
        *sequence += 1;
        log.append(id(1, *sequence), &put(kind, name, base, body));
        log.read_into(reference);
    }
}

#[test]
fn partitions_end_in_any_order_and_no_state_reverts() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut log = Log::default();
        let mut reference = seeded(&mut log);
        let mut nodes: Vec<_> = (0..NODES).map(|_| Node::new(Fold::new())).collect();
        let mut sequence = 0;
        for _ in 0..12 {
            let links = Links {
                platform: std::array::from_fn(|_| rng.random_bool(0.4)),
                between: std::array::from_fn(|_| std::array::from_fn(|_| rng.random_bool(0.6))),
            };
            write(&mut log, &mut reference, &mut rng, &mut sequence);
            round(&log, &mut nodes, &links, &mut rng);
            // Every node has the newest state that any node reachable from it has.
            round(&log, &mut nodes, &links, &mut rng);
            round(&log, &mut nodes, &links, &mut rng);
            for a in 0..NODES {
                for b in 0..NODES {
                    if links.connected(a, b) {
                        assert_eq!(nodes[a].fold.digest(), nodes[b].fold.digest(), "seed {seed}");
                    }
                }
            }
        }
        round(&log, &mut nodes, &Links::all_up(), &mut rng);
        for node in &nodes {
            assert_same(&node.fold, &reference, &format!("seed {seed}"));
            assert!(!node.fold.alarms().any(), "seed {seed}");
        }
    }
}

#[test]
fn a_domain_without_the_platform_follows_another_within_one_exchange() {
    for lag in [1, 200, 900, 1_500] {
        let mut log = Log::default();
        let fold = seeded(&mut log);
        let mut behind = Node::new(fold.clone());
        let mut ahead = Node::new(fold);
        for sequence in 0..lag {
            let base = ahead.fold.head(&Kind::Service, "s").map(|version| version.0);
            let data = put(Kind::Service, "s", base, service(sequence + 1));
            log.append(id(1, sequence), &data);
            log.read_into(&mut ahead.fold);
        }
        let answers = synchronise(&mut ahead, &mut behind);
        assert!(answers > 0);
        assert_same(&behind.fold, &ahead.fold, &format!("lag {lag}"));
    }
}

#[test]
fn a_large_state_is_transferred_in_chunks_while_it_changes() {
    let (mut log, mut ahead) = large_state();
    let mut behind = Node::new(Fold::new());
    let Decision::Ask(mut request) = behind.evaluate(&ahead.fold.offer()) else {
        panic!("the state is newer");
    };
    let chunks = ahead.fold.checkpoint().chunks().len() as u64;
    assert!(chunks > 2);
    // A change between any two chunks does not restart the transfer.
    for sequence in 10_000..10_000 + chunks {
        assert_eq!(behind.fold.version(), Offset(0));
        let answer = ahead.sync.answer(&ahead.fold, &request);
        let Answer::Chunk(chunk) = &answer else { panic!("{answer:?}") };
        assert!(chunk.text.len() <= goldcrestvale_config::chunk::CHUNK_BYTES);
        let base = ahead.fold.head(&Kind::Service, "s").map(|version| version.0);
        log.append(id(1, sequence), &put(Kind::Service, "s", base, service(sequence)));
        log.read_into(&mut ahead.fold);
        request = behind.receive(answer).expect("another request");
    }
    assert!(behind.fold.version() > Offset(0), "the last chunk completes the state");
    assert_eq!(request.chunk, None);
    synchronise(&mut ahead, &mut behind);
    assert_same(&behind.fold, &ahead.fold, "the two nodes");
}

#[test]
fn older_late_and_diverged_answers_change_nothing() {
    let mut log = Log::default();
    let mut early = Node::new(seeded(&mut log));
    let mut node = Node::new(early.fold.clone());
    log.append(id(1, 1), &put(Kind::Service, "s", Some(2), service(50)));
    log.read_into(&mut node.fold);
    let digest = node.fold.digest();
    let offers = [
        ("older", early.fold.offer(), Decision::Older, 0),
        ("same", node.fold.offer(), Decision::Same, 0),
        ("older, other digest", Offer { version: Offset(3), digest }, Decision::Diverged, 1),
        (
            "same, other digest",
            Offer { version: Offset(4), digest: Digest::of(b"") },
            Decision::Diverged,
            2,
        ),
    ];
    for (name, offer, decision, divergences) in offers {
        assert_eq!(node.evaluate(&offer), decision, "{name}");
        assert_eq!(node.fold.alarms().divergences, divergences, "{name}");
        assert_eq!(node.fold.digest(), digest, "{name}");
    }
    // An answer to a request that was sent before the state advanced.
    let Decision::Ask(request) = early.evaluate(&node.fold.offer()) else {
        panic!("the state is newer");
    };
    let answer = node.sync.answer(&node.fold, &request);
    log.read_into(&mut early.fold);
    assert_eq!(early.receive(answer), None);
    assert_eq!(early.fold.checkpoint(), node.fold.checkpoint());
    assert!(!early.fold.alarms().any());
    // Records on top of a state that this instance never had.
    let mut other = Node::new(Fold::new());
    other.fold.apply(Offset(0), id(5, 5), "{}");
    let answer = Answer::Records { base: Digest::of(b"other"), records: Vec::new() };
    assert_eq!(other.receive(answer), None);
    let request = goldcrestvale_config::sync::Request { version: Offset(1), chunk: None };
    let answer = node.sync.answer(&node.fold, &request);
    let before = other.fold.digest();
    assert_eq!(other.receive(answer), None);
    assert_eq!((other.fold.digest(), other.fold.alarms().divergences), (before, 1));
}

/// Returns a log with many customers, and a node that has read it.
fn large_state() -> (Log, Node) {
    let mut log = Log::default();
    let mut ahead = Node::new(seeded(&mut log));
    for n in 0..1_500 {
        log.append(id(1, n), &put(Kind::Customer, &format!("c{n}"), None, customer(n)));
    }
    log.read_into(&mut ahead.fold);
    (log, ahead)
}

#[test]
fn a_transfer_continues_from_an_older_peer() {
    let (mut log, mut older) = large_state();
    let mut newer = Node::new(older.fold.clone());
    log.append(id(2, 1), &put(Kind::Service, "t", None, service(1)));
    log.read_into(&mut newer.fold);
    let mut behind = Node::new(Fold::new());
    let Decision::Ask(request) = behind.evaluate(&newer.fold.offer()) else {
        panic!("the state is newer");
    };
    let answer = newer.sync.answer(&newer.fold, &request);
    assert!(behind.receive(answer).is_some());
    drop(newer);
    let chunks = older.fold.checkpoint().chunks().len();
    let Decision::Ask(mut request) = behind.evaluate(&older.fold.offer()) else {
        panic!("the state is newer");
    };
    for _ in 0..=chunks {
        let answer = older.sync.answer(&older.fold, &request);
        match behind.receive(answer) {
            Some(next) => request = next,
            None => break,
        }
    }
    assert_same(&behind.fold, &older.fold, "the two nodes");
}

#[test]
fn several_instances_request_from_one_peer_concurrently() {
    let (mut log, mut ahead) = large_state();
    let chunks = ahead.fold.checkpoint().chunks().len();
    let mut behind: Vec<_> = (0..4).map(|_| Node::new(Fold::new())).collect();
    let mut requests: Vec<_> = vec![None; 4];
    for round in 0..8 * chunks {
        let node = &mut behind[round % 4];
        if round % 4 <= round / 4 && node.fold.version() == Offset(0) {
            let request = match requests[round % 4].take() {
                Some(request) => request,
                None => match node.evaluate(&ahead.fold.offer()) {
                    Decision::Ask(request) => request,
                    other => panic!("{other:?}"),
                },
            };
            let answer = ahead.sync.answer(&ahead.fold, &request);
            requests[round % 4] = node.receive(answer);
        }
        let base = ahead.fold.head(&Kind::Service, "s").map(|version| version.0);
        let sequence = round as u64;
        log.append(id(3, sequence), &put(Kind::Service, "s", base, service(sequence + 1)));
        log.read_into(&mut ahead.fold);
    }
    for node in &mut behind {
        assert!(node.fold.version() > Offset(0), "a transfer did not complete");
        synchronise(&mut ahead, node);
        assert_same(&node.fold, &ahead.fold, "the two nodes");
    }
}

#[test]
fn a_second_request_waits_for_the_answer_to_the_first() {
    let (_, mut ahead) = large_state();
    let offer = ahead.fold.offer();
    let mut node = Node::new(Fold::new());
    let evaluate = |node: &mut Node, now| node.sync.evaluate(now, &mut node.fold, &offer);
    let start = goldcrestvale_base::time::Instant(1);
    let Decision::Ask(request) = evaluate(&mut node, start) else { panic!("the state is newer") };
    let short = REQUEST_TIMEOUT / 2;
    assert_eq!(evaluate(&mut node, start + short), Decision::Wait);
    // The peer does not answer in time: the next offer causes another request.
    assert!(matches!(evaluate(&mut node, start + REQUEST_TIMEOUT), Decision::Ask(_)));
    // The answer arrives: the transfer continues, and no other is started.
    node.now = start + REQUEST_TIMEOUT + short;
    let answer = ahead.sync.answer(&ahead.fold, &request);
    assert!(node.receive(answer).is_some());
    let later = node.now + short;
    assert_eq!(evaluate(&mut node, later), Decision::Wait);
    // A peer with nothing newer allows the next request immediately.
    assert_eq!(node.receive(Answer::Nothing), None);
    assert!(matches!(evaluate(&mut node, later), Decision::Ask(_)));
}
