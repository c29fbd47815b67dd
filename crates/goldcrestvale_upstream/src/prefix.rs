//! The digest by which engines and the router identify a cached prefix of a prompt.

use goldcrestvale_base::id::Digest;

/// Number of positions in one block of a prefix cache.
pub const BLOCK_POSITIONS: usize = 16;

/// Returns the digests of the prefixes of a prompt that end at block boundaries, shortest first.
///
/// The digest of a prefix is the first 8 bytes, big-endian, of a BLAKE3 digest. Its input is the
/// digest of the prefix one block shorter (8 bytes, little-endian, 0 for the first block) followed
/// by the words of the block (8 bytes each, little-endian).
///
/// # Examples
///
/// ```
/// use goldcrestvale_upstream::prefix;
///
/// let long = prefix::digests(0..40);
/// assert_eq!(long.len(), 2);
/// assert_eq!(long[..1], prefix::digests(0..16));
/// ```
pub fn digests(words: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut digests = Vec::new();
    let mut block = Vec::with_capacity((BLOCK_POSITIONS + 1) * size_of::<u64>());
    let mut previous = 0u64;
    for (word, count) in words.into_iter().zip(1usize..) {
        if block.is_empty() {
            block.extend(previous.to_le_bytes());
        }
        block.extend(word.to_le_bytes());
        if count.is_multiple_of(BLOCK_POSITIONS) {
            previous = first_u64(Digest::of(&block));
            digests.push(previous);
            block.clear();
        }
    }
    digests
}

fn first_u64(digest: Digest) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = digest.0;
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}
