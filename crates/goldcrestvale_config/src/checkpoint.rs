//! The complete state as text, written to the log before the records that led to it expire.

use std::sync::Arc;

use goldcrestvale_base::id::{Digest, Offset};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    encoding::{self, EncodedState},
    fold::Fold,
    link::EntityKey,
    schema::Table,
};

/// The stream of the platform log that holds checkpoints.
pub const STREAM: &str = "config-checkpoint";

/// The result of restoring a state.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a checkpoint cannot be restored.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not a checkpoint.
    #[snafu(display("the checkpoint at version {version} is malformed"))]
    Malformed {
        /// Version of the checkpoint.
        version: Offset,
        /// The cause.
        source: serde_json::Error,
    },
    /// A body cannot be parsed, typically because its major version is newer than this software.
    #[snafu(display("the checkpoint at version {version} holds {key}: {reason}"))]
    Unread {
        /// Version of the checkpoint.
        version: Offset,
        /// The entity.
        key: EntityKey,
        /// Why its body cannot be parsed.
        reason: String,
    },
    /// The digest of the restored state differs from the one that the checkpoint names.
    #[snafu(display("the checkpoint at version {version} names {named}, its state has {found}"))]
    Mismatch {
        /// Version of the checkpoint.
        version: Offset,
        /// The digest that the checkpoint names.
        named: Digest,
        /// The digest of the restored state.
        found: Digest,
    },
}

/// The complete state of a fold.
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
    /// Encodes the complete state as a checkpoint.
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
        let text = serde_json::to_string(&EncodedState::of(self));
        let text = text.expect("the keys of all maps are strings");
        Checkpoint { version: self.version(), digest: self.digest(), text: text.into() }
    }
}

impl Checkpoint {
    /// Restores the fold from which the checkpoint was created.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed, if this software cannot parse a body in force, or if the
    /// digest of the restored state differs from the one that the checkpoint names.
    pub fn try_restore(&self, table: Arc<Table>) -> Result<Fold> {
        let version = self.version;
        let state: EncodedState =
            serde_json::from_str(&self.text).context(MalformedSnafu { version })?;
        let mut fold = Fold::starting_at(version, table);
        state.try_restore(&mut fold).map_err(|error| match error {
            encoding::Error::Malformed(source) => Error::Malformed { version, source },
            encoding::Error::Unread(key, reason) => Error::Unread { version, key, reason },
        })?;
        let (named, found) = (self.digest, fold.digest());
        ensure!(named == found, MismatchSnafu { version, named, found });
        Ok(fold)
    }
}
