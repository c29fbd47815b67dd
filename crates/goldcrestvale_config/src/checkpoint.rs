//! The whole state as text, written to the log before the records behind it expire.

use std::sync::Arc;

use goldcrestvale_base::id::{Digest, Offset};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    encoding::{self, Saved},
    fold::Fold,
    link::EntityKey,
    schema::Table,
};

/// The stream of the platform log that holds checkpoints.
pub const STREAM: &str = "config-checkpoint";

/// The result of restoring a state.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a checkpoint does not give a state.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not a checkpoint.
    #[snafu(display("the checkpoint at version {version} is malformed"))]
    Malformed {
        /// Version of the checkpoint.
        version: Offset,
        /// The fault.
        source: serde_json::Error,
    },
    /// A body cannot be read, mostly because its major version is newer than this software.
    #[snafu(display("the checkpoint at version {version} holds {address}: {reason}"))]
    Unread {
        /// Version of the checkpoint.
        version: Offset,
        /// The entity.
        address: EntityKey,
        /// Why its body is not read.
        reason: String,
    },
    /// The state does not have the digest that the checkpoint names.
    #[snafu(display("the checkpoint at version {version} names {named}, its state has {found}"))]
    Mismatch {
        /// Version of the checkpoint.
        version: Offset,
        /// The digest that the checkpoint names.
        named: Digest,
        /// The digest of its state.
        found: Digest,
    },
}

/// The whole state of a fold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checkpoint {
    /// Version of the state.
    pub version: Offset,
    /// Digest of the state.
    pub digest: Digest,
    /// The state, as JSON.
    pub text: Arc<str>,
}

impl Fold {
    /// Writes the whole state as a checkpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use goldcrestvale_config::{fold::Fold, schema::Table};
    ///
    /// let fold = Fold::new();
    /// let restored = fold.checkpoint().try_restore(Arc::new(Table::default()))?;
    /// assert_eq!(restored.digest(), fold.digest());
    /// # Ok::<(), goldcrestvale_config::checkpoint::Error>(())
    /// ```
    pub fn checkpoint(&self) -> Checkpoint {
        let text = serde_json::to_string(&Saved::of(self));
        let text = text.expect("a state has only text as map keys");
        Checkpoint { version: self.version(), digest: self.digest(), text: text.into() }
    }
}

impl Checkpoint {
    /// Restores the fold that wrote the checkpoint.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed, if this software does not read a body in force, or if the
    /// restored state does not have the digest that the checkpoint names.
    pub fn try_restore(&self, table: Arc<Table>) -> Result<Fold> {
        let version = self.version;
        let saved: Saved = serde_json::from_str(&self.text).context(MalformedSnafu { version })?;
        let mut fold = Fold::starting_at(version, table);
        saved.try_restore(&mut fold).map_err(|fault| match fault {
            encoding::Fault::Malformed(source) => Error::Malformed { version, source },
            encoding::Fault::Unread(address, reason) => Error::Unread { version, address, reason },
        })?;
        let (named, found) = (self.digest, fold.digest());
        ensure!(named == found, MismatchSnafu { version, named, found });
        Ok(fold)
    }
}
