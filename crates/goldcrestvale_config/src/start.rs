//! The state from which an instance reads the log, also after records that it needs are trimmed.

use goldcrestvale_base::id::Offset;
use snafu::{ResultExt, Snafu, ensure};

use crate::{checkpoint::Checkpoint, fold::Fold};

/// The result of resuming.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a fold cannot continue with the records in the log.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Records after the version of the state are trimmed.
    #[snafu(display(
        "the log starts at offset {oldest}, this instance has version {version}, \
         and no checkpoint reaches the log; the newest is at {newest:?}"
    ))]
    Trimmed {
        /// Oldest offset in the log.
        oldest: Offset,
        /// Version of this instance.
        version: Offset,
        /// Version of the newest known checkpoint.
        newest: Option<Offset>,
    },
    /// The checkpoint that covers the trimmed records cannot be restored.
    #[snafu(display("cannot start at the checkpoint"))]
    Unrestored {
        /// The cause.
        source: crate::checkpoint::Error,
    },
}

impl Fold {
    /// Ensures that the records in the log continue the state, which is replaced with that of a
    /// checkpoint if needed.
    ///
    /// A fold without any records prefers the checkpoint.
    ///
    /// # Errors
    ///
    /// Fails, and keeps the state, if records between it and the oldest one in the log are
    /// trimmed and no checkpoint covers them. The state after them is unknown; a peer or a
    /// later checkpoint may still provide it.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::id::Offset;
    /// use goldcrestvale_config::fold::Fold;
    ///
    /// assert!(Fold::new().try_resume(Offset(0), None).is_ok());
    /// assert!(Fold::new().try_resume(Offset(7), None).is_err());
    /// ```
    pub fn try_resume(&mut self, oldest: Offset, checkpoint: Option<&Checkpoint>) -> Result<()> {
        let version = self.version();
        let is_continuous = version >= oldest;
        if is_continuous && version > Offset(0) {
            return Ok(());
        }
        let newest = checkpoint.map(|checkpoint| checkpoint.version);
        match checkpoint.filter(|checkpoint| checkpoint.version >= oldest) {
            Some(usable) => match self.try_advance(usable) {
                Err(error) if !is_continuous => Err(error).context(UnrestoredSnafu),
                _ => Ok(()),
            },
            None => {
                ensure!(is_continuous, TrimmedSnafu { oldest, version, newest });
                Ok(())
            }
        }
    }
}
