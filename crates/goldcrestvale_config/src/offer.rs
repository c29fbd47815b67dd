//! The state that an instance offers to others, and its comparison with theirs.

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
    /// The state of an instance, by version and digest.
    pub struct Offer {
        /// Version of the state.
        pub version: Offset,
        /// Digest of the state.
        pub digest: Digest,
    }

    /// The result of comparing an offered state with the local one.
    #[serde(rename_all = "kebab-case")]
    pub enum Comparison {
        /// It is the local state.
        Same,
        /// It is newer.
        Newer,
        /// It is older.
        Older,
        /// The local state had another digest at that version; the alarm was counted.
        Diverged,
    }
}

impl Fold {
    /// Returns the version and digest of the local state.
    pub fn offer(&self) -> Offer {
        Offer { version: self.version(), digest: self.digest() }
    }

    /// Compares an offered state with the local one at that version, by digest.
    pub fn compare(
        &mut self,
        version: Offset,
        matches_digest: impl FnOnce(Digest) -> bool,
    ) -> Comparison {
        if version > self.version() {
            return Comparison::Newer;
        }
        match self.digest_at(version) {
            Some(digest) if !matches_digest(digest) => {
                self.alarms.divergences += 1;
                Comparison::Diverged
            }
            _ if version == self.version() => Comparison::Same,
            _ => Comparison::Older,
        }
    }

    /// Replaces the state with that of a checkpoint, if the checkpoint is newer.
    ///
    /// Returns whether it was newer. Alarms are kept.
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
            Err(error) => {
                let mismatch = matches!(error, checkpoint::Error::Mismatch { .. });
                self.alarms.corruptions += u64::from(mismatch);
                Err(error)
            }
        }
    }
}
