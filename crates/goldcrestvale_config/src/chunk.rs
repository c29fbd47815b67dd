//! Checkpoints split into chunks that fit a record of the log or a frame between instances.

use std::collections::BTreeMap;

use goldcrestvale_base::{
    domain,
    id::{Digest, Offset},
};

use crate::checkpoint::Checkpoint;

/// Maximum size of the text of a chunk, in bytes.
pub const CHUNK_BYTES: usize = 65_536;

/// Maximum number of chunks of a checkpoint.
pub const MAX_CHUNKS: u32 = 1_024;

/// Maximum number of checkpoints that are assembled concurrently.
pub const MAX_PARTIAL: usize = 4;

domain! {
    copy
    /// The identity of a checkpoint's text: chunks of equal sets fit together, from any instance.
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
    /// A part of a checkpoint: the data of a record in
    /// [`STREAM`](crate::checkpoint::STREAM).
    pub struct Chunk {
        /// The set to which the chunk belongs.
        pub set: ChunkSet,
        /// Index of the chunk, from 0.
        pub index: u32,
        /// The text of the chunk.
        pub text: String,
    }
}

impl Checkpoint {
    /// Returns the identity of the text.
    pub fn chunk_set(&self) -> ChunkSet {
        let count = split(&self.text).count();
        ChunkSet {
            version: self.version,
            digest: self.digest,
            text: Digest::of(self.text.as_bytes()),
            count: u32::try_from(count).unwrap_or(u32::MAX),
        }
    }

    /// Splits the text into chunks.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_config::{chunk::Assembler, fold::Fold};
    ///
    /// let checkpoint = Fold::new().checkpoint();
    /// let mut assembler = Assembler::default();
    /// let found = checkpoint.chunks().into_iter().filter_map(|chunk| assembler.add(chunk)).last();
    /// assert_eq!(found, Some(checkpoint));
    /// ```
    pub fn chunks(&self) -> Vec<Chunk> {
        let set = self.chunk_set();
        let numbered = (0..).zip(split(&self.text));
        numbered.map(|(index, text)| Chunk { set, index, text: text.to_owned() }).collect()
    }
}

fn split(text: &str) -> impl Iterator<Item = &str> {
    let mut remaining = Some(text);
    std::iter::from_fn(move || {
        let text = remaining?;
        let (part, after) = text.split_at(text.floor_char_boundary(CHUNK_BYTES));
        remaining = (!after.is_empty()).then_some(after);
        Some(part)
    })
}

/// Assembles checkpoints from chunks that arrive in any order, duplicated or incomplete.
#[derive(Debug, Clone, Default)]
pub struct Assembler {
    /// Incomplete checkpoints; the one that received the latest chunk is at the end.
    partial: Vec<(ChunkSet, BTreeMap<u32, String>)>,
    last_complete: Option<Offset>,
}

impl Assembler {
    /// Adds a chunk and returns the checkpoint that it completes.
    ///
    /// Chunks of checkpoints older than the last complete one are ignored, and so are malformed
    /// ones. One of the same version is assembled again, as it is retained longer in the log.
    pub fn add(&mut self, chunk: Chunk) -> Option<Checkpoint> {
        let Chunk { set, index, text } = chunk;
        let is_outdated = self.last_complete.is_some_and(|newest| set.version < newest);
        if is_outdated || set.count > MAX_CHUNKS || index >= set.count || text.len() > CHUNK_BYTES {
            return None;
        }
        let existing = self.partial.iter().position(|(other, _)| *other == set);
        let mut parts = existing.map(|index| self.partial.remove(index).1).unwrap_or_default();
        parts.insert(index, text);
        if parts.len() == set.count as usize {
            return self.complete(set, parts);
        }
        self.partial.push((set, parts));
        if self.partial.len() > MAX_PARTIAL {
            self.partial.remove(0);
        }
        None
    }

    /// Returns the index of the first missing chunk of an incomplete checkpoint.
    pub fn missing(&self, set: &ChunkSet) -> Option<u32> {
        let (_, parts) = self.partial.iter().find(|(other, _)| other == set)?;
        (0..set.count).find(|index| !parts.contains_key(index))
    }

    /// Returns the incomplete checkpoint that received the latest chunk.
    pub fn latest(&self) -> Option<&ChunkSet> {
        self.partial.last().map(|(set, _)| set)
    }

    fn complete(&mut self, set: ChunkSet, parts: BTreeMap<u32, String>) -> Option<Checkpoint> {
        let text: String = parts.into_values().collect();
        if Digest::of(text.as_bytes()) != set.text {
            return None;
        }
        self.last_complete = Some(set.version);
        self.partial.retain(|(other, _)| other.version >= set.version);
        Some(Checkpoint { version: set.version, digest: set.digest, text: text.into() })
    }
}
