use std::collections::BTreeMap;

use goldcrestvale_base::{
    domain,
    id::{Digest, Key, Offset},
};
use snafu::{Snafu, ensure};

use super::{
    entry::{Entry, Fingerprint, Owner, Standing},
    fold::Fold,
    owners::Owners,
    record::SCHEMA,
    window::Window,
};
use crate::{prefix::Prefix, seen::Seen};

/// The result of restoring a checkpoint.
pub type Result<T> = std::result::Result<T, Error>;

/// A reason why a checkpoint cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The schema of the checkpoint differs from the one of this build.
    #[snafu(display("the checkpoint has schema {found}, but this build reads schema {SCHEMA}"))]
    Schema {
        /// Schema of the checkpoint.
        found: u32,
    },
    /// The checkpoint was created with a different window.
    #[snafu(display(
        "the checkpoint has a window of {found:?}, but the settings specify {expected:?}"
    ))]
    OtherWindow {
        /// Window of the settings.
        expected: Window,
        /// Window of the checkpoint.
        found: Window,
    },
    /// A claim refers to an owner that the checkpoint does not contain.
    #[snafu(display("the claim of key {key} refers to owner {owner}, which does not exist"))]
    UnknownOwner {
        /// Key of the claim.
        key: Key,
        /// Index of the owner.
        owner: u32,
    },
    /// The content of the checkpoint does not match its digest.
    #[snafu(display("the checkpoint at offset {offset} does not match its digest"))]
    Damaged {
        /// Offset of the checkpoint.
        offset: Offset,
    },
}

domain! {
    value
    /// The state of a claim fold at one offset, from which another instance can continue.
    pub struct Checkpoint {
        schema: u32,
        window: Window,
        prefix: Prefix,
        owners: Vec<Owner>,
        claims: Vec<Row>,
        seen: Seen,
        digest: Digest,
    }

    /// A live claim.
    struct Row {
        key: Key,
        fingerprint: Fingerprint,
        claim: Offset,
        owner: u32,
        standing: Standing,
    }
}

impl Checkpoint {
    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.prefix.next()
    }
}

impl Fold {
    /// Creates a checkpoint of the state.
    pub fn checkpoint(&self) -> Checkpoint {
        let mut indices = BTreeMap::new();
        let mut owners = Vec::new();
        let mut index_of = |slot: u32| {
            *indices.entry(slot).or_insert_with(|| {
                owners.push(self.owners.get(slot).clone());
                u32::try_from(owners.len() - 1)
                    .expect("the number of live owners is far below 2^32")
            })
        };
        let row = |(&key, entry): (&Key, &Entry)| Row {
            key,
            fingerprint: entry.fingerprint,
            claim: entry.claim,
            owner: index_of(entry.owner),
            standing: entry.standing,
        };
        let claims = self.entries.iter().map(row).collect();
        Checkpoint {
            schema: SCHEMA,
            window: self.window,
            prefix: self.prefix.clone(),
            owners,
            claims,
            seen: self.seen.clone(),
            digest: self.digest(),
        }
    }

    /// Restores the state from a checkpoint.
    ///
    /// # Errors
    ///
    /// Fails if the checkpoint is damaged or was created for another schema or window.
    pub fn restore(window: Window, checkpoint: &Checkpoint) -> Result<Self> {
        ensure!(checkpoint.schema == SCHEMA, SchemaSnafu { found: checkpoint.schema });
        let found = checkpoint.window;
        ensure!(found == window, OtherWindowSnafu { expected: window, found });
        let mut fold = Self::new(window, checkpoint.prefix.clone());
        fold.seen = checkpoint.seen.clone();
        for row in &checkpoint.claims {
            let owner = fold.owners.restore(row, &checkpoint.owners)?;
            let entry = Entry {
                fingerprint: row.fingerprint,
                claim: row.claim,
                owner,
                standing: row.standing,
            };
            fold.entries.insert(row.key, entry);
        }
        let offset = checkpoint.next();
        ensure!(fold.digest() == checkpoint.digest, DamagedSnafu { offset });
        Ok(fold)
    }
}

impl Owners {
    fn restore(&mut self, row: &Row, owners: &[Owner]) -> Result<u32> {
        match owners.get(row.owner as usize) {
            Some(owner) => Ok(self.add(owner.incarnation, &owner.instance)),
            None => UnknownOwnerSnafu { key: row.key, owner: row.owner }.fail(),
        }
    }
}
