//! Anti-entropy: instances update each other to the newest state that any of them has.
//!
//! An [`Offer`] names a state by version and digest. An instance that lags behind sends a
//! [`Request`], and receives the records after its version, or a checkpoint in chunks if the peer
//! no longer has them. A state is only ever replaced with a newer one.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    domain,
    id::{Digest, Offset},
    time::Instant,
};

pub use crate::offer::{Comparison, Offer};
use crate::{
    chunk::{Assembler, Chunk, ChunkSet},
    fold::Fold,
    tail::LogRecord,
};

/// Maximum number of records in an answer.
pub const MAX_RECORDS: usize = 256;

/// Size of the record data after which no more records are added to an answer, in bytes.
pub const RECORDS_BYTES: usize = 65_536;

/// Time after a request within which no other request is sent, unless the answer arrives.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

domain! {
    copy
    /// A request for newer state.
    pub struct Request {
        /// Version of the requesting instance.
        pub version: Offset,
        /// The next chunk that it needs of a checkpoint.
        pub chunk: Option<ChunkRef>,
    }

    /// A reference to a chunk.
    pub struct ChunkRef {
        /// The checkpoint to which it belongs.
        pub set: ChunkSet,
        /// Index of the chunk, from 0.
        pub index: u32,
    }
}

domain! {
    record
    /// The answer to a [`Request`].
    #[serde(rename_all = "kebab-case")]
    pub enum Answer {
        /// Records after the requested version.
        Records {
            /// Digest of the answering instance's state at that version.
            base: Digest,
            /// The records, without gaps.
            records: Vec<LogRecord>,
        },
        /// A chunk of a checkpoint.
        Chunk(Chunk),
        /// The answering instance has nothing newer.
        Nothing,
    }

    /// What to do about an offer.
    #[serde(rename_all = "kebab-case")]
    pub enum Decision {
        /// Both have the same state.
        Same,
        /// The offered state is newer: request it.
        Ask(Request),
        /// The offered state is newer, but another request is waiting for its answer.
        Wait,
        /// The offered state is older: ignore it, and offer the local one.
        Older,
        /// The digests differ at the same version; the alarm was counted.
        Diverged,
    }
}

domain! {
    record
    /// A message between instances.
    #[serde(rename_all = "kebab-case")]
    pub enum Frame {
        /// Requests state.
        Ask(Request),
        /// Answers a request.
        Answer(Answer),
    }
}

/// The anti-entropy protocol of one instance.
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
    /// Evaluates the offer of another instance.
    pub fn evaluate(&mut self, now: Instant, fold: &mut Fold, offer: &Offer) -> Decision {
        let comparison = fold.compare(offer.version, |digest| digest == offer.digest);
        self.decide(now, fold, comparison)
    }

    /// Evaluates an offer that carries only the first bytes of the digest.
    pub fn evaluate_short(
        &mut self,
        now: Instant,
        fold: &mut Fold,
        version: Offset,
        short: u64,
    ) -> Decision {
        let comparison = fold.compare(version, |digest| digest.short() == short);
        self.decide(now, fold, comparison)
    }

    fn decide(&mut self, now: Instant, fold: &Fold, comparison: Comparison) -> Decision {
        match comparison {
            Comparison::Same => Decision::Same,
            Comparison::Older => Decision::Older,
            Comparison::Diverged => Decision::Diverged,
            Comparison::Newer if self.asked.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT) => {
                Decision::Wait
            }
            Comparison::Newer => {
                self.asked = Some(now);
                Decision::Ask(self.request(fold))
            }
        }
    }

    /// Answers the request of another instance.
    pub fn answer(&mut self, fold: &Fold, request: &Request) -> Answer {
        if request.version >= fold.version() {
            return Answer::Nothing;
        }
        if let Some(wanted) = request.chunk
            && let Some((set, chunks)) = &self.given
            && *set == wanted.set
            && let Some(chunk) = chunks.get(wanted.index as usize)
        {
            return Answer::Chunk(chunk.clone());
        }
        if let Some(base) = fold.digest_at(request.version) {
            let records = limit_records(fold.tail.from(request.version));
            if !records.is_empty() {
                return Answer::Records { base, records };
            }
        }
        self.first_chunk(fold)
    }

    /// Applies the answer of another instance, and returns the next request to it, if any.
    pub fn receive(&mut self, now: Instant, fold: &mut Fold, answer: Answer) -> Option<Request> {
        let next = match answer {
            Answer::Nothing => None,
            Answer::Records { base, records } => self.apply_records(fold, base, records),
            Answer::Chunk(chunk) => self.apply_chunk(fold, chunk),
        };
        self.asked = next.map(|_| now);
        next
    }

    fn request(&self, fold: &Fold) -> Request {
        let partial = self.gather.latest().filter(|set| set.version > fold.version());
        Request { version: fold.version(), chunk: partial.and_then(|set| self.next_chunk(set)) }
    }

    fn next_chunk(&self, set: &ChunkSet) -> Option<ChunkRef> {
        self.gather.missing(set).map(|index| ChunkRef { set: *set, index })
    }

    fn apply_records(
        &mut self,
        fold: &mut Fold,
        base: Digest,
        records: Vec<LogRecord>,
    ) -> Option<Request> {
        let first = records.first()?.offset;
        // A late answer is still valid if the digest at its base matches the history of this fold.
        match fold.digest_at(first) {
            Some(digest) if digest == base => {}
            Some(_) => {
                fold.alarms.divergences += 1;
                return None;
            }
            None => return None,
        }
        let before = fold.version();
        for record in records.iter().filter(|record| record.offset >= before) {
            fold.apply(record.offset, record.id, &record.data);
        }
        (fold.version() > before).then(|| self.request(fold))
    }

    fn apply_chunk(&mut self, fold: &mut Fold, chunk: Chunk) -> Option<Request> {
        let set = chunk.set;
        if set.version <= fold.version() {
            return None;
        }
        match self.gather.add(chunk) {
            // Continues with the set of this peer, which need not be the newest incomplete one.
            None => {
                let next = self.next_chunk(&set)?;
                Some(Request { version: fold.version(), chunk: Some(next) })
            }
            Some(checkpoint) => {
                let advanced = fold.try_advance(&checkpoint).is_ok_and(|advanced| advanced);
                advanced.then(|| self.request(fold))
            }
        }
    }

    fn first_chunk(&mut self, fold: &Fold) -> Answer {
        // A checkpoint is served until the records after it are no longer kept.
        let available = self.given.as_ref().and_then(|(set, _)| fold.digest_at(set.version));
        if available.is_none() {
            let checkpoint = fold.checkpoint();
            self.given = Some((checkpoint.chunk_set(), checkpoint.chunks().into()));
        }
        let first = self.given.as_ref().and_then(|(_, chunks)| chunks.first());
        first.map_or(Answer::Nothing, |chunk| Answer::Chunk(chunk.clone()))
    }
}

fn limit_records<'a>(records: impl Iterator<Item = &'a LogRecord>) -> Vec<LogRecord> {
    let mut bytes = 0;
    let limited = records.take(MAX_RECORDS).take_while(|record| {
        let fits = bytes < RECORDS_BYTES;
        bytes += record.data.len();
        fits
    });
    limited.cloned().collect()
}
