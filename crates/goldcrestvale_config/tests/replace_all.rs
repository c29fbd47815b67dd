//! Every instance is replaced repeatedly while the log is trimmed.

mod support;

use std::time::Duration;

use goldcrestvale_base::{
    id::{Incarnation, Offset},
    time::Instant,
};
use goldcrestvale_config::{
    fold::{Fold, Stop},
    prelude::*,
    start,
    writer::Writer,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    checkpoint_writers::{CheckpointWriters, SCHEDULE},
    *,
};

const NODES: usize = 4;

/// A platform and the instances that use it.
struct Simulation {
    log: Log,
    reference: Fold,
    checkpoint_writers: CheckpointWriters,
    nodes: Vec<Option<Node>>,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut log = Log::default();
        let reference = seeded(&mut log);
        let nodes = (0..NODES).map(|_| Some(Node::new(reference.clone()))).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            log,
            reference,
            checkpoint_writers: CheckpointWriters::new(4, seed),
            nodes,
            rng,
            sequence: 0,
        }
    }

    fn change(&mut self, count: usize) {
        for _ in 0..count {
            let kind = Kind::KNOWN[self.rng.random_range(0..7)].clone();
            let name = ["a", "m", "s", "z", "y"][self.rng.random_range(0..5)];
            let base = self.reference.head(&kind, name).map(|version| version.0);
            let body = valid(&kind, self.rng.random_range(0..50));
            self.sequence += 1;
            self.log.append(id(1, self.sequence), &put(kind, name, base, body));
            self.log.read_into(&mut self.reference);
        }
    }

    /// Writes a checkpoint and trims the records that it covers, like a log with short retention.
    fn checkpoint(&mut self) {
        let max_wait = SCHEDULE.interval + SCHEDULE.spread + SCHEDULE.claim_timeout;
        self.checkpoint_writers.run(max_wait, &self.reference);
        let covered = self.writer().latest().expect("a checkpoint").version;
        self.log.trim(covered);
    }

    fn writer(&self) -> &Writer {
        &self.checkpoint_writers.writers[0]
    }

    /// Replaces an instance with a new one, which has only the streams of the platform.
    fn replace(&mut self, index: usize) -> start::Result<()> {
        let mut writer = Writer::new(Incarnation(99), SCHEDULE, Instant(0), 4, &mut self.rng);
        for (incarnation, chunk) in &self.checkpoint_writers.stream {
            writer.receive(Instant(0), *incarnation, chunk.clone(), 4, &mut self.rng);
        }
        let mut fresh = Node::new(Fold::new());
        fresh.read(&self.log, Some(&writer))?;
        self.nodes[index] = Some(fresh);
        Ok(())
    }

    fn check(&mut self) {
        let writer = &self.checkpoint_writers.writers[0];
        for node in self.nodes.iter_mut().flatten() {
            node.read(&self.log, Some(writer)).expect("the platform has the complete state");
            node.check_monotonic();
            assert_same(&node.fold, &self.reference, "a node");
        }
    }
}

#[test]
fn instances_are_replaced_one_by_one_and_all_at_once() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(seed);
        for round in 0..8 {
            simulation.change(30);
            if round % 2 == 0 {
                simulation.checkpoint();
            }
            simulation.change(5);
            for index in 0..NODES {
                if round % 3 == 0 || index == round % NODES {
                    simulation.replace(index).expect("the platform has the complete state");
                }
            }
            simulation.check();
        }
    }
}

#[test]
fn without_a_checkpoint_trimmed_records_prevent_a_start() {
    let mut simulation = Simulation::new(1);
    simulation.change(10);
    simulation.check();
    simulation.change(3);
    simulation.log.trim(Offset(5));
    assert!(matches!(simulation.replace(0), Err(start::Error::Trimmed { .. })));
    // A peer still has the state.
    let (mut fresh, mut peer) =
        (Node::new(Fold::new()), simulation.nodes[1].take().expect("present"));
    synchronise(&mut peer, &mut fresh);
    simulation.nodes[0] = Some(fresh);
    simulation.nodes[1] = Some(peer);
    simulation.check();
}

#[test]
fn a_paused_instance_lacks_trimmed_records() {
    let mut simulation = Simulation::new(4);
    simulation.change(10);
    simulation.check();
    simulation.change(10);
    let (before, end) = (simulation.reference.version(), simulation.log.end());
    simulation.log.trim(end);
    simulation.change(10);
    let mut paused = simulation.nodes[0].take().expect("present");
    let kept = paused.fold.checkpoint();
    let error = paused.read(&simulation.log, None).expect_err("records are missing");
    let text = format!("the log starts at offset {before}");
    assert!(error.to_string().starts_with(&text), "{error}");
    // Reading on nevertheless changes nothing, and reports the gap.
    simulation.log.read_into(&mut paused.fold);
    assert_eq!(paused.fold.stop(), Some(&Stop::Gap { found: before }));
    assert!(paused.fold.checkpoint() == kept);
    simulation.checkpoint();
    paused
        .read(&simulation.log, Some(simulation.writer()))
        .expect("the checkpoint covers the trimmed records");
    assert_same(&paused.fold, &simulation.reference, "the paused instance");
}

#[test]
fn a_day_of_replacements() {
    // 750 restarts per day of 340 instances, here of 4, with a checkpoint every hour.
    let mut simulation = Simulation::new(2);
    for hour in 0..24 {
        simulation.change(20);
        simulation.checkpoint();
        for restart in 0..750 / 24 {
            simulation
                .replace((hour + restart) % NODES)
                .expect("the platform has the complete state");
        }
        simulation.check();
    }
    let started = simulation.checkpoint_writers.started_count();
    assert!(started <= 24 * 5, "{started} checkpoints were started in 24 intervals");
    assert!(simulation.checkpoint_writers.now.since(Instant(0)) >= Duration::from_secs(24 * 3_600));
}
