//! Instances that write checkpoints to one stream, on virtual time.

use std::time::Duration;

use goldcrestvale_base::{id::Incarnation, time::Instant};
use goldcrestvale_config::{
    chunk::Chunk,
    fold::Fold,
    writer::{Schedule, Writer},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub const SCHEDULE: Schedule = Schedule {
    interval: Duration::from_secs(3_600),
    spread: Duration::from_secs(600),
    claim_timeout: Duration::from_secs(120),
};

/// Time from an append until the others have read it.
pub const READ_DELAY: Duration = Duration::from_secs(1);

pub struct CheckpointWriters {
    pub now: Instant,
    pub writers: Vec<Writer>,
    pub alive: Vec<bool>,
    /// The stream, with the writer of each chunk.
    pub stream: Vec<(Incarnation, Chunk)>,
    /// Whether the log is available.
    pub available: bool,
    /// Number of chunks that each writer may still append.
    pub allowance: Vec<usize>,
    read_count: usize,
    rng: ChaCha8Rng,
}

impl CheckpointWriters {
    pub fn new(count: u32, seed: u64) -> Self {
        Self::with_schedule(SCHEDULE, count, seed)
    }

    pub fn with_schedule(schedule: Schedule, count: u32, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let writer = |index: u32| {
            Writer::new(incarnation(index as usize), schedule, Instant(0), count, &mut rng)
        };
        Self {
            now: Instant(0),
            writers: (0..count).map(writer).collect(),
            alive: vec![true; count as usize],
            stream: Vec::new(),
            available: true,
            allowance: vec![usize::MAX; count as usize],
            read_count: 0,
            rng,
        }
    }

    /// Advances time; every writer has the state of `fold`.
    pub fn run(&mut self, time: Duration, fold: &Fold) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + READ_DELAY;
            if self.available {
                self.read_all();
                self.poll_all(fold);
            }
        }
    }

    /// Returns the number of checkpoints that were started.
    pub fn started_count(&self) -> usize {
        self.stream.iter().filter(|(_, chunk)| chunk.index == 0).count()
    }

    fn read_all(&mut self) {
        let count = u32::try_from(self.writers.len()).expect("few");
        for (writer, chunk) in &self.stream[self.read_count..] {
            for reader in &mut self.writers {
                reader.receive(self.now, *writer, chunk.clone(), count, &mut self.rng);
            }
        }
        self.read_count = self.stream.len();
    }

    fn poll_all(&mut self, fold: &Fold) {
        let count = u32::try_from(self.writers.len()).expect("few");
        for (index, writer) in self.writers.iter_mut().enumerate() {
            if !self.alive[index] {
                continue;
            }
            for chunk in writer.poll(self.now, fold, count, &mut self.rng) {
                if self.allowance[index] > 0 {
                    self.allowance[index] -= 1;
                    self.stream.push((incarnation(index), chunk));
                }
            }
        }
    }
}

pub fn incarnation(index: usize) -> Incarnation {
    Incarnation(index as u128 + 1)
}
