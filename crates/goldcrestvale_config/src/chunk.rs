//! Checkpoints cut into parts that fit a record of the log or a frame between instances.

use std::collections::BTreeMap;

use goldcrestvale_base::{
    domain,
    id::{Digest, Offset},
};

use crate::checkpoint::Checkpoint;

/// Largest text of one chunk, in bytes.
pub const CHUNK_BYTES: usize = 65_536;

/// Most chunks of one checkpoint.
pub const MAX_CHUNKS: u32 = 1_024;

/// Most checkpoints that are gathered side by side.
pub const MAX_PARTIAL: usize = 4;

domain! {
    copy
    /// The identity of a checkpoint's text: chunks of equal sets fit together, whoever cut them.
    pub struct ChunkSet {
        /// Version of the checkpoint.
        pub version: Offset,
        /// Digest of the state.
        pub digest: Digest,
        /// Digest of the text.
        pub text: Digest,
        /// Number of chunks.
        pub count: u32,
    }
}

domain! {
    value
    /// One part of a checkpoint: the data of a record in
    /// [`STREAM`](crate::checkpoint::STREAM).
    pub struct Chunk {
        /// The checkpoint.
        pub set: ChunkSet,
        /// Place of this part, from 0.
        pub index: u32,
        /// The part.
        pub text: String,
    }
}

impl Checkpoint {
    /// Returns the identity of the text.
    pub fn chunk_set(&self) -> ChunkSet {
        let count = cuts(&self.text).count();
        ChunkSet {
            version: self.version,
            digest: self.digest,
            text: Digest::of(self.text.as_bytes()),
            count: u32::try_from(count).unwrap_or(u32::MAX),
        }
    }

    /// Cuts the text into chunks.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_config::{chunk::Assembler, fold::Fold};
    ///
    /// let checkpoint = Fold::new().checkpoint();
    /// let mut gather = Assembler::default();
    /// let found = checkpoint.chunks().into_iter().filter_map(|chunk| gather.add(chunk)).last();
    /// assert_eq!(found, Some(checkpoint));
    /// ```
    pub fn chunks(&self) -> Vec<Chunk> {
        let set = self.chunk_set();
        let numbered = (0..).zip(cuts(&self.text));
        numbered.map(|(index, text)| Chunk { set, index, text: text.to_owned() }).collect()
    }
}

fn cuts(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = Some(text);
    std::iter::from_fn(move || {
        let text = rest?;
        let (part, after) = text.split_at(text.floor_char_boundary(CHUNK_BYTES));
        rest = (!after.is_empty()).then_some(after);
        Some(part)
    })
}

/// Puts checkpoints together from chunks that come in any order, repeated or incomplete.
#[derive(Debug, Clone, Default)]
pub struct Assembler {
    /// Incomplete checkpoints; the one that got the last chunk is at the end.
    sets: Vec<(ChunkSet, BTreeMap<u32, String>)>,
    complete: Option<Offset>,
}

impl Assembler {
    /// Adds a chunk and returns the checkpoint that it completes.
    ///
    /// Chunks of checkpoints older than the last complete one are ignored, and so are malformed
    /// ones. One of the same version is put together again: it lasts longer in the log.
    pub fn add(&mut self, chunk: Chunk) -> Option<Checkpoint> {
        let Chunk { set, index, text } = chunk;
        let known = self.complete.is_some_and(|complete| set.version < complete);
        if known || set.count > MAX_CHUNKS || index >= set.count || text.len() > CHUNK_BYTES {
            return None;
        }
        let begun = self.sets.iter().position(|(other, _)| *other == set);
        let mut parts = begun.map(|at| self.sets.remove(at).1).unwrap_or_default();
        parts.insert(index, text);
        if parts.len() == set.count as usize {
            return self.complete(set, parts);
        }
        self.sets.push((set, parts));
        if self.sets.len() > MAX_PARTIAL {
            self.sets.remove(0);
        }
        None
    }

    /// Returns the first chunk that is missing of a checkpoint that was begun.
    pub fn missing(&self, set: &ChunkSet) -> Option<u32> {
        let (_, parts) = self.sets.iter().find(|(other, _)| other == set)?;
        (0..set.count).find(|index| !parts.contains_key(index))
    }

    /// Returns the incomplete checkpoint that got the last chunk.
    pub fn latest(&self) -> Option<&ChunkSet> {
        self.sets.last().map(|(set, _)| set)
    }

    fn complete(&mut self, set: ChunkSet, parts: BTreeMap<u32, String>) -> Option<Checkpoint> {
        let text: String = parts.into_values().collect();
        if Digest::of(text.as_bytes()) != set.text {
            return None;
        }
        self.complete = Some(set.version);
        self.sets.retain(|(other, _)| other.version >= set.version);
        Some(Checkpoint { version: set.version, digest: set.digest, text: text.into() })
    }
}
