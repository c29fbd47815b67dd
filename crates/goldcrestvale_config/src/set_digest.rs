//! A digest of a set of items, updated incrementally.

use goldcrestvale_base::id::Digest;

/// The sum of the digests of the items of a set, independent of the order of additions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SetDigest {
    lanes: [u64; 4],
}

impl SetDigest {
    /// Adds an item, given as fields.
    pub(crate) fn add(&mut self, fields: &[&[u8]]) {
        self.combine(fields, u64::wrapping_add);
    }

    /// Removes an item that was added with the same fields.
    pub(crate) fn remove(&mut self, fields: &[&[u8]]) {
        self.combine(fields, u64::wrapping_sub);
    }

    /// Returns the digest of the set and a version.
    pub(crate) fn digest(&self, version: u64) -> Digest {
        let mut bytes = Vec::with_capacity(40);
        bytes.extend(version.to_le_bytes());
        bytes.extend(self.lanes.iter().flat_map(|lane| lane.to_le_bytes()));
        Digest::of(&bytes)
    }

    fn combine(&mut self, fields: &[&[u8]], operation: fn(u64, u64) -> u64) {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let hash = hasher.finalize();
        for (lane, bytes) in self.lanes.iter_mut().zip(hash.as_bytes().chunks_exact(8)) {
            let mut word = [0; 8];
            word.copy_from_slice(bytes);
            *lane = operation(*lane, u64::from_le_bytes(word));
        }
    }
}
