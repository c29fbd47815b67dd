//! Anti-entropy: instances bring each other up to the newest state that any of them has.
//!
//! An [`Offer`] names a state by version and digest. An instance that lags [asks](Request), and gets
//! the records behind its version, or a checkpoint in chunks where the peer no longer has them.
//! State is applied only upwards.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    domain,
    id::{Digest, Offset},
    time::Instant,
};

pub use crate::offer::{Comparison, Offer, short_digest};
use crate::{
    chunk::{Assembler, Chunk, ChunkSet},
    fold::Fold,
    tail::LogRecord,
};

/// Most records in one answer.
pub const MAX_RECORDS: usize = 256;

/// Size of the records after which an answer takes no more, in bytes of their data.
pub const RECORDS_BYTES: usize = 65_536;

/// Time after an ask within which no other offer is followed, unless the answer comes.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

domain! {
    copy
    /// What an instance lacks.
    pub struct Request {
        /// Version that it has.
        pub version: Offset,
        /// The chunk that it lacks of a checkpoint.
        pub chunk: Option<ChunkRef>,
    }

    /// A chunk that an instance lacks.
    pub struct ChunkRef {
        /// The checkpoint.
        pub set: ChunkSet,
        /// Place of the chunk, from 0.
        pub index: u32,
    }
}

domain! {
    record
    /// The answer to an [`Request`].
    #[serde(rename_all = "kebab-case")]
    pub enum Answer {
        /// Records after the version that was asked from.
        Records {
            /// Digest of the answering instance's state at that version.
            base: Digest,
            /// The records, without gaps.
            records: Vec<LogRecord>,
        },
        /// A part of a checkpoint.
        Chunk(Chunk),
        /// The answering instance has nothing newer.
        Nothing,
    }

    /// What to do about an offer.
    #[serde(rename_all = "kebab-case")]
    pub enum Decision {
        /// Both have the same state.
        Same,
        /// The offered state is newer: ask for it.
        Ask(Request),
        /// The offered state is newer, and another ask waits for its answer.
        Wait,
        /// The offered state is older: ignore it, and offer the own one.
        Older,
        /// The versions are equal and the digests are not: an alarm, which was counted.
        Diverged,
    }
}

domain! {
    record
    /// What instances send each other.
    #[serde(rename_all = "kebab-case")]
    pub enum Frame {
        /// Asks for state.
        Ask(Request),
        /// Answers an ask.
        Answer(Answer),
    }
}

/// The anti-entropy of one instance.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_config::{fold::Fold, sync::{Sync, Decision}};
///
/// let (mut sync, mut fold) = (Sync::default(), Fold::new());
/// let offer = fold.offer();
/// assert_eq!(sync.evaluate(Instant(0), &mut fold, &offer), Decision::Same);
/// ```
#[derive(Debug, Default)]
pub struct Sync {
    gather: Assembler,
    asked: Option<Instant>,
    given: Option<(ChunkSet, Arc<[Chunk]>)>,
}

impl Sync {
    /// Weighs the offer of another instance.
    pub fn evaluate(&mut self, now: Instant, fold: &mut Fold, offer: &Offer) -> Decision {
        let compared = fold.compare(offer.version, |digest| digest == offer.digest);
        self.follow(now, fold, compared)
    }

    /// Weighs an offer of which only the first bytes of the digest are told.
    pub fn evaluate_short(
        &mut self,
        now: Instant,
        fold: &mut Fold,
        version: Offset,
        brief: u64,
    ) -> Decision {
        let compared = fold.compare(version, |digest| short_digest(&digest) == brief);
        self.follow(now, fold, compared)
    }

    fn follow(&mut self, now: Instant, fold: &Fold, compared: Comparison) -> Decision {
        match compared {
            Comparison::Same => Decision::Same,
            Comparison::Older => Decision::Older,
            Comparison::Diverged => Decision::Diverged,
            Comparison::Newer if self.asked.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT) => {
                Decision::Wait
            }
            Comparison::Newer => {
                self.asked = Some(now);
                Decision::Ask(self.ask(fold))
            }
        }
    }

    /// Answers another instance's ask.
    pub fn answer(&mut self, fold: &Fold, ask: &Request) -> Answer {
        if ask.version >= fold.version() {
            return Answer::Nothing;
        }
        if let Some(want) = ask.chunk
            && let Some((set, chunks)) = &self.given
            && *set == want.set
            && let Some(chunk) = chunks.get(want.index as usize)
        {
            return Answer::Chunk(chunk.clone());
        }
        if let Some(base) = fold.digest_at(ask.version) {
            let records = take_records(fold.tail.from(ask.version));
            if !records.is_empty() {
                return Answer::Records { base, records };
            }
        }
        self.give_checkpoint(fold)
    }

    /// Takes another instance's answer, and returns what to ask it next, if anything.
    pub fn receive(&mut self, now: Instant, fold: &mut Fold, answer: Answer) -> Option<Request> {
        let next = match answer {
            Answer::Nothing => None,
            Answer::Records { base, records } => self.take_records(fold, base, records),
            Answer::Chunk(chunk) => self.take_chunk(fold, chunk),
        };
        self.asked = next.map(|_| now);
        next
    }

    fn ask(&self, fold: &Fold) -> Request {
        let newer = self.gather.latest().filter(|set| set.version > fold.version());
        Request { version: fold.version(), chunk: newer.and_then(|set| self.want(set)) }
    }

    fn want(&self, set: &ChunkSet) -> Option<ChunkRef> {
        self.gather.missing(set).map(|index| ChunkRef { set: *set, index })
    }

    fn take_records(
        &mut self,
        fold: &mut Fold,
        base: Digest,
        records: Vec<LogRecord>,
    ) -> Option<Request> {
        let first = records.first()?.offset;
        // A late answer is still sound if the digest at its base is the one that this fold had.
        match fold.digest_at(first) {
            Some(digest) if digest == base => {}
            Some(_) => {
                fold.alarms.divergences += 1;
                return None;
            }
            None => return None,
        }
        let before = fold.version();
        for read in records.iter().filter(|read| read.offset >= before) {
            fold.apply(read.offset, read.id, &read.data);
        }
        (fold.version() > before).then(|| self.ask(fold))
    }

    fn take_chunk(&mut self, fold: &mut Fold, chunk: Chunk) -> Option<Request> {
        let set = chunk.set;
        if set.version <= fold.version() {
            return None;
        }
        match self.gather.add(chunk) {
            // Goes on with the set that this peer has, which need not be the newest begun.
            None => {
                let want = self.want(&set)?;
                Some(Request { version: fold.version(), chunk: Some(want) })
            }
            Some(checkpoint) => {
                let advanced = fold.try_advance(&checkpoint).is_ok_and(|advanced| advanced);
                advanced.then(|| self.ask(fold))
            }
        }
    }

    fn give_checkpoint(&mut self, fold: &Fold) -> Answer {
        // A checkpoint serves until the records behind it are no longer kept.
        let given = self.given.as_ref().and_then(|(set, _)| fold.digest_at(set.version));
        if given.is_none() {
            let checkpoint = fold.checkpoint();
            self.given = Some((checkpoint.chunk_set(), checkpoint.chunks().into()));
        }
        let first = self.given.as_ref().and_then(|(_, chunks)| chunks.first());
        first.map_or(Answer::Nothing, |chunk| Answer::Chunk(chunk.clone()))
    }
}

fn take_records<'a>(reads: impl Iterator<Item = &'a LogRecord>) -> Vec<LogRecord> {
    let mut bytes = 0;
    let within = reads.take(MAX_RECORDS).take_while(|read| {
        let fits = bytes < RECORDS_BYTES;
        bytes += read.data.len();
        fits
    });
    within.cloned().collect()
}
