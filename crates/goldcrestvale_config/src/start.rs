//! Where an instance without state starts to read.

use std::sync::Arc;

use goldcrestvale_base::id::Offset;
use snafu::{ResultExt, Snafu};

use crate::{checkpoint::Checkpoint, fold::Fold, schema::Table};

/// The result of choosing a start.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a state cannot be proved.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The records that the state starts from are trimmed.
    #[snafu(display(
        "the log starts at offset {oldest} and no checkpoint reaches it; the newest is at {newest:?}"
    ))]
    Trimmed {
        /// Oldest offset that the log still holds.
        oldest: Offset,
        /// Version of the newest checkpoint that was found.
        newest: Option<Offset>,
    },
    /// The checkpoint cannot be restored.
    #[snafu(display("cannot start at the checkpoint"))]
    Unrestored {
        /// The fault.
        source: crate::checkpoint::Error,
    },
}

/// Chooses the state to start from: a checkpoint, or nothing while the log holds its first record.
///
/// # Errors
///
/// Fails if records between the checkpoint and the oldest one in the log are trimmed, because
/// the state after them cannot be proved; a peer or a later checkpoint may still give it.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use goldcrestvale_base::id::Offset;
/// use goldcrestvale_config::{schema::Table, start};
///
/// let table = Arc::new(Table::default());
/// assert!(start::try_choose(Offset(0), None, &table).is_ok());
/// assert!(start::try_choose(Offset(7), None, &table).is_err());
/// ```
pub fn try_choose(
    oldest: Offset,
    checkpoint: Option<&Checkpoint>,
    table: &Arc<Table>,
) -> Result<Fold> {
    let newest = checkpoint.map(|found| found.version);
    let usable = checkpoint.filter(|found| found.version >= oldest);
    match usable.map(|found| found.try_restore(Arc::clone(table))) {
        Some(Ok(fold)) => Ok(fold),
        _ if oldest == Offset(0) => Ok(Fold::with_table(table.as_ref().clone())),
        Some(fault) => fault.context(UnrestoredSnafu),
        None => TrimmedSnafu { oldest, newest }.fail(),
    }
}
