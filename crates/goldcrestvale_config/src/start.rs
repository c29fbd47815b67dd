//! Where an instance starts to read, or goes on after the log has trimmed what it lacks.

use goldcrestvale_base::id::Offset;
use snafu::{ResultExt, Snafu, ensure};

use crate::{checkpoint::Checkpoint, fold::Fold};

/// The result of finding a start.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a state cannot be proved.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Records that the state needs are trimmed.
    #[snafu(display(
        "the log starts at offset {oldest}, this instance has version {version}, \
         and no checkpoint reaches the log; the newest is at {newest:?}"
    ))]
    Trimmed {
        /// Oldest offset that the log still holds.
        oldest: Offset,
        /// Version of this instance.
        version: Offset,
        /// Version of the newest checkpoint that was found.
        newest: Option<Offset>,
    },
    /// The checkpoint that reaches the log cannot be restored.
    #[snafu(display("cannot start at the checkpoint"))]
    Unrestored {
        /// The fault.
        source: crate::checkpoint::Error,
    },
}

impl Fold {
    /// Finds the state from which the log's records can be folded: the present one, or that of a
    /// checkpoint.
    ///
    /// A fold without any record prefers a checkpoint.
    ///
    /// # Errors
    ///
    /// Fails, and keeps the state, if records between it and the oldest one in the log are
    /// trimmed and no checkpoint covers them. The state after them cannot be proved; a peer or a
    /// later checkpoint may still give it.
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
        let proved = version >= oldest;
        if proved && version > Offset(0) {
            return Ok(());
        }
        let newest = checkpoint.map(|found| found.version);
        match checkpoint.filter(|found| found.version >= oldest) {
            Some(usable) => match self.try_advance(usable) {
                Err(fault) if !proved => Err(fault).context(UnrestoredSnafu),
                _ => Ok(()),
            },
            None => {
                ensure!(proved, TrimmedSnafu { oldest, version, newest });
                Ok(())
            }
        }
    }
}
