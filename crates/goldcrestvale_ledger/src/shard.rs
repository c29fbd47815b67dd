//! Assignment of idempotency keys to the claim streams of the log.
//!
//! Every instance computes the stream from the key alone, so all instances that receive calls of a
//! key use the same stream. An instance that cannot reach the stream of a key refuses the calls of
//! that key as not run, with a time after which to retry, and continues to serve the keys whose
//! streams it can reach. The number of streams is part of the configuration and must not change
//! while keys claimed under the old number are within the window.

use goldcrestvale_base::{
    domain,
    id::{Digest, Key},
};

domain! {
    copy
    /// The number of a claim stream, from 0.
    #[serde(transparent)]
    pub struct Shard(pub u16);

    /// The layout of the claim streams of a deployment.
    pub struct Layout {
        streams: std::num::NonZeroU16,
    }
}

impl Layout {
    /// Creates the layout of a deployment with this number of claim streams.
    pub fn new(streams: std::num::NonZeroU16) -> Self {
        Self { streams }
    }

    /// Returns the stream that contains the claims of a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_ledger::shard::Layout;
    ///
    /// let layout = Layout::new(8.try_into()?);
    /// let key = "0190a000-0000-7000-8000-000000000000".parse()?;
    /// assert_eq!(layout.shard_of(&key), layout.shard_of(&key));
    /// assert!(layout.shard_of(&key).0 < 8);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn shard_of(&self, key: &Key) -> Shard {
        let Digest(bytes) = Digest::of(key.0.as_bytes());
        let hash = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        let number = hash % u32::from(self.streams.get());
        Shard(u16::try_from(number).expect("a remainder of a 16-bit divisor has 16 bits"))
    }

    /// Returns an iterator over all streams.
    pub fn shards(&self) -> impl Iterator<Item = Shard> {
        (0..self.streams.get()).map(Shard)
    }
}

impl Shard {
    /// Returns the name of the stream in the log.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_ledger::shard::Shard;
    ///
    /// assert_eq!(Shard(3).stream(), "claims-3");
    /// ```
    pub fn stream(self) -> String {
        format!("claims-{}", self.0)
    }
}
