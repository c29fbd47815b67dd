//! Every instance is replaced, again and again, while the log forgets.

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
    scribes::{SETTING, Scribes},
    *,
};

const NODES: usize = 4;

/// The platform and the instances before it.
struct World {
    log: Log,
    reference: Fold,
    scribes: Scribes,
    nodes: Vec<Option<Node>>,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut log = Log::default();
        let reference = seeded(&mut log);
        let nodes = (0..NODES).map(|_| Some(Node::new(reference.clone()))).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { log, reference, scribes: Scribes::new(4, seed), nodes, rng, sequence: 0 }
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

    /// Writes a checkpoint and trims what it covers, as a log with short retention does.
    fn checkpoint(&mut self) {
        let whole = SETTING.interval + SETTING.spread + SETTING.claim_timeout;
        self.scribes.run(whole, &self.reference);
        let covered = self.writer().latest().expect("a checkpoint").version;
        self.log.trim(covered);
    }

    fn writer(&self) -> &Writer {
        &self.scribes.writers[0]
    }

    /// A new instance that knows nothing but the platform's streams.
    fn replace(&mut self, index: usize) -> start::Result<()> {
        let mut writer = Writer::new(Incarnation(99), SETTING, Instant(0), 4, &mut self.rng);
        for (incarnation, chunk) in &self.scribes.stream {
            writer.receive(Instant(0), *incarnation, chunk.clone(), 4, &mut self.rng);
        }
        let mut fresh = Node::new(Fold::new());
        fresh.read(&self.log, Some(&writer))?;
        self.nodes[index] = Some(fresh);
        Ok(())
    }

    fn check(&mut self) {
        let writer = &self.scribes.writers[0];
        for node in self.nodes.iter_mut().flatten() {
            node.read(&self.log, Some(writer)).expect("the platform proves the state");
            node.check_upwards();
            assert_same(&node.fold, &self.reference, "a node");
        }
    }
}

#[test]
fn one_by_one_and_all_at_once() {
    for seed in 0..6 {
        let mut world = World::new(seed);
        for round in 0..8 {
            world.change(30);
            if round % 2 == 0 {
                world.checkpoint();
            }
            world.change(5);
            for index in 0..NODES {
                if round % 3 == 0 || index == round % NODES {
                    world.replace(index).expect("the platform proves the state");
                }
            }
            world.check();
        }
    }
}

#[test]
fn without_a_checkpoint_it_says_that_it_cannot_prove_the_state() {
    let mut world = World::new(1);
    world.change(10);
    world.check();
    world.change(3);
    world.log.trim(Offset(5));
    assert!(matches!(world.replace(0), Err(start::Error::Trimmed { .. })));
    // A peer still has the state.
    let (mut fresh, mut peer) = (Node::new(Fold::new()), world.nodes[1].take().expect("lives"));
    gossip(&mut peer, &mut fresh);
    world.nodes[0] = Some(fresh);
    world.nodes[1] = Some(peer);
    world.check();
}

#[test]
fn a_paused_instance_that_the_log_has_left_behind() {
    let mut world = World::new(4);
    world.change(10);
    world.check();
    world.change(10);
    let (before, end) = (world.reference.version(), world.log.end());
    world.log.trim(end);
    world.change(10);
    let mut paused = world.nodes[0].take().expect("lives");
    let kept = paused.fold.checkpoint();
    let error = paused.read(&world.log, None).expect_err("records are missing");
    let text = format!("the log starts at offset {before}");
    assert!(error.to_string().starts_with(&text), "{error}");
    // Reading on all the same changes nothing and says why.
    world.log.read_into(&mut paused.fold);
    assert_eq!(paused.fold.stop(), Some(&Stop::Gap { found: before }));
    assert!(paused.fold.checkpoint() == kept);
    world.checkpoint();
    paused.read(&world.log, Some(world.writer())).expect("the checkpoint proves the state");
    assert_same(&paused.fold, &world.reference, "the paused instance");
}

#[test]
fn a_whole_day_of_replacements() {
    // 750 restarts a day among 340 instances, here among 4, with a checkpoint every hour.
    let mut world = World::new(2);
    for hour in 0..24 {
        world.change(20);
        world.checkpoint();
        for restart in 0..750 / 24 {
            world.replace((hour + restart) % NODES).expect("the platform proves the state");
        }
        world.check();
    }
    let begun = world.scribes.begun();
    assert!(begun <= 24 * 5, "{begun} checkpoints were begun in 24 intervals");
    assert!(world.scribes.now.since(Instant(0)) >= Duration::from_secs(24 * 3_600));
}
