//! What state an instance has, and how it compares with another's.

use std::sync::Arc;

use goldcrestvale_base::{
    domain,
    id::{Digest, Offset},
};

use crate::{
    checkpoint::{self, Checkpoint},
    fold::Fold,
};

domain! {
    copy
    /// What state an instance has.
    pub struct Offer {
        /// Version of the state.
        pub version: Offset,
        /// Digest of the state.
        pub digest: Digest,
    }

    /// How an offered state compares with the own one.
    #[serde(rename_all = "kebab-case")]
    pub enum Comparison {
        /// It is the own state.
        Same,
        /// It is newer.
        Newer,
        /// It is older.
        Older,
        /// The own state of that version had another digest: an alarm, which was counted.
        Diverged,
    }
}

/// Returns the first bytes of a digest, which heartbeats carry.
pub fn short_digest(digest: &Digest) -> u64 {
    let mut brief = [0; 8];
    brief.copy_from_slice(&digest.0[..8]);
    u64::from_be_bytes(brief)
}

impl Fold {
    /// Returns what state this instance has.
    pub fn offer(&self) -> Offer {
        Offer { version: self.version(), digest: self.digest() }
    }

    /// Compares an offered state with the own one of that version, by digest.
    pub fn compare(&mut self, version: Offset, agrees: impl FnOnce(Digest) -> bool) -> Comparison {
        if version > self.version() {
            return Comparison::Newer;
        }
        match self.digest_at(version) {
            Some(digest) if !agrees(digest) => {
                self.alarms.divergences += 1;
                Comparison::Diverged
            }
            _ if version == self.version() => Comparison::Same,
            _ => Comparison::Older,
        }
    }

    /// Replaces the state by that of a checkpoint, if that is newer.
    ///
    /// Returns whether it was. Alarms are kept.
    ///
    /// # Errors
    ///
    /// Fails, and keeps the state, if the checkpoint cannot be restored.
    pub fn try_advance(&mut self, checkpoint: &Checkpoint) -> checkpoint::Result<bool> {
        if checkpoint.version == self.version() && checkpoint.digest != self.digest() {
            self.alarms.divergences += 1;
        }
        if checkpoint.version <= self.version() {
            return Ok(false);
        }
        match checkpoint.try_restore(Arc::clone(&self.table)) {
            Ok(restored) => {
                let alarms = self.alarms;
                *self = Self { alarms, ..restored };
                Ok(true)
            }
            Err(fault) => {
                let mismatch = matches!(fault, checkpoint::Error::Mismatch { .. });
                self.alarms.corruptions += u64::from(mismatch);
                Err(fault)
            }
        }
    }
}
