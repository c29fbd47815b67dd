//! Reads of the directory by all instances of a failure domain, on virtual time: few calls at rest
//! and in an outage, and updates for every instance while one of them can read.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_member::read_schedule::{Pace, Position, ReadSchedule};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const PACE: Pace =
    Pace { interval: Duration::from_millis(900), update_interval: Duration::from_millis(900) };
const STEP: Duration = Duration::from_millis(10);

/// The state of an instance and of its path to the directory.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Path {
    Open,
    Rejected,
    /// The instance neither reads nor receives anything, and does not count as live.
    Down,
}

struct Domain {
    members: Vec<(ReadSchedule, Path)>,
    /// Time of the newest update of each member.
    known_at: Vec<Instant>,
    now: Instant,
    calls: u32,
    rng: StdRng,
}

impl Domain {
    fn new(members: usize) -> Self {
        Self {
            members: vec![(ReadSchedule::default(), Path::Open); members],
            known_at: vec![Instant(0); members],
            now: Instant(1_000_000),
            calls: 0,
            rng: StdRng::seed_from_u64(7),
        }
    }

    /// Sets the path of the members with the given ranks.
    fn set(&mut self, ranks: impl IntoIterator<Item = usize>, path: Path) {
        for rank in ranks {
            self.members[rank].1 = path;
        }
    }

    /// Runs for a time and returns the number of calls to the directory.
    fn run(&mut self, time: Duration) -> u32 {
        let calls = self.calls;
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
        self.calls - calls
    }

    fn step(&mut self) {
        let live: Vec<usize> =
            (0..self.members.len()).filter(|&i| self.members[i].1 != Path::Down).collect();
        for (rank, &index) in live.iter().enumerate() {
            let (schedule, path) = &mut self.members[index];
            schedule.set_position(Position { rank, members: live.len() });
            if schedule.due(PACE) > self.now {
                continue;
            }
            self.calls += 1;
            if *path == Path::Rejected {
                schedule.record_failure(self.now, self.rng.random());
                continue;
            }
            schedule.record_read(self.now, self.now);
            for &other in &live {
                self.known_at[other] = self.now;
                if other != index {
                    self.members[other].0.record_update(self.now, index < other);
                }
            }
        }
    }

    /// Returns the age of the oldest update that a live member has.
    fn max_age(&self) -> Duration {
        let live = (0..self.members.len()).filter(|&i| self.members[i].1 != Path::Down);
        live.map(|index| self.now.since(self.known_at[index])).max().unwrap_or_default()
    }
}

#[test]
fn calls_do_not_grow_with_instances() {
    for members in [1, 2, 24, 60] {
        let mut domain = Domain::new(members);
        domain.run(Duration::from_secs(10));
        let calls = domain.run(Duration::from_secs(90));
        assert!((90..=105).contains(&calls), "{members} instances, {calls} calls in 90 s");
    }
}

#[test]
fn outage_costs_few_calls() {
    let mut domain = Domain::new(24);
    domain.run(Duration::from_secs(10));
    domain.set(0..24, Path::Rejected);
    let calls = domain.run(Duration::from_secs(20));
    assert!(calls < 120, "{calls} calls in 20 s");
    domain.set(0..24, Path::Open);
    domain.run(Duration::from_secs(2));
    assert!(domain.max_age() < Duration::from_secs(1), "{:?}", domain.max_age());
}

#[test]
fn rejected_reader_is_replaced() {
    let mut domain = Domain::new(24);
    domain.run(Duration::from_secs(10));
    domain.set([0], Path::Rejected);
    for _ in 0..100 {
        domain.run(Duration::from_millis(100));
        assert!(domain.max_age() < PACE.interval * 2, "{:?}", domain.max_age());
    }
    // The first instance reads again once it is accepted, and the substitute stops.
    domain.set([0], Path::Open);
    domain.run(Duration::from_secs(5));
    let calls = domain.run(Duration::from_secs(9));
    assert!(calls <= 11, "{calls} calls in 9 s");
}

#[test]
fn third_of_instances_rejected() {
    let mut domain = Domain::new(24);
    domain.run(Duration::from_secs(10));
    domain.set(0..8, Path::Rejected);
    domain.run(PACE.interval * 7);
    let calls = domain.run(Duration::from_secs(9));
    assert!(domain.max_age() <= PACE.interval * 2, "{:?}", domain.max_age());
    assert!(calls <= 40, "{calls} calls in 9 s");
}

#[test]
fn long_read_ends_with_its_cause() {
    // A long poll that started while the first instance was silent ends after its return.
    let millis = |millis| Instant(0) + Duration::from_millis(millis);
    let mut schedule = ReadSchedule::default();
    schedule.set_position(Position { rank: 3, members: 8 });
    schedule.record_update(millis(1_000), true);
    schedule.record_read(millis(500), millis(2_000));
    assert!(schedule.due(PACE) > millis(2_000) + PACE.interval);
    schedule.record_read(millis(5_000), millis(6_500));
    assert_eq!(schedule.due(PACE), millis(6_500) + PACE.interval);
}

proptest! {
    // While at least one live instance can read, no update is older than the longest wait of an
    // instance and its retry delay.
    #[test]
    fn updates_arrive_while_a_path_exists(
        members in 1_usize..30,
        events in prop::collection::vec((0_usize..30, 0_u8..3, 100_u64..3_000), 1..40),
    ) {
        let mut domain = Domain::new(members);
        domain.run(Duration::from_secs(5));
        for (rank, path, millis) in events {
            let path = [Path::Open, Path::Rejected, Path::Down][usize::from(path)];
            let rank = rank % members;
            if path == Path::Open && domain.members[rank].1 == Path::Down {
                domain.members[rank].0 = ReadSchedule::default();
            }
            domain.set([rank], path);
            domain.run(Duration::from_millis(millis));
        }
        let has_path = domain.members.iter().any(|(_, path)| *path == Path::Open);
        domain.run(PACE.interval * 20);
        if has_path {
            prop_assert!(domain.max_age() < PACE.interval * 2, "{:?}", domain.max_age());
        }
    }
}

#[test]
fn replaced_reader_reads_once_more() {
    // Guards against a hand-over that lengthens the time between two reads: the substitute stopped at
    // the first message of the returned reader, which was lost before its next read.
    let at = |millis| Instant(0) + Duration::from_millis(millis);
    let mut schedule = ReadSchedule::default();
    schedule.set_position(Position { rank: 1, members: 2 });
    schedule.record_read(at(0), at(0));
    assert!(schedule.is_reader());
    schedule.record_update(at(400), true);
    assert!(!schedule.is_reader());
    assert_eq!(schedule.due(PACE), at(900));
    // The read does not make it a substitute again: the reader that replaced it may be sound.
    schedule.record_read(at(900), at(900));
    assert!(!schedule.is_reader());
    assert_eq!(schedule.due(PACE), at(900) + PACE.update_interval.mul_f64(1.5));
}

/// Guards against a change that waits for the substitute of a single lost reader.
#[test]
fn two_readers_read_at_the_same_time() {
    let at = |millis| Instant(0) + Duration::from_millis(millis);
    let mut schedule = ReadSchedule::with_readers(2);
    schedule.record_update(at(0), true);
    schedule.record_read(at(0), at(0));
    schedule.record_update(at(500), true);
    for (rank, reads) in [(0, true), (1, true), (2, false)] {
        schedule.set_position(Position { rank, members: 28 });
        assert_eq!(schedule.is_reader(), reads);
        assert_eq!(schedule.due(PACE) <= at(900), reads, "rank {rank}");
    }
    // The third one waits no longer than the second one of a resource with one reader.
    assert_eq!(schedule.due(PACE), at(500) + PACE.update_interval.mul_f64(1.5));
}
