use std::collections::BTreeMap;

use goldcrestvale_base::{
    id::{Digest, Key, Offset, RecordId},
    time::Wall,
};

use super::{
    entry::{Entry, Fingerprint, Owner, Standing},
    owners::Owners,
    record::{Abandonment, Intent, Kind, Parsed, Settlement, parse},
    window::{Refusal, Window},
};
use crate::{prefix, prefix::Prefix, record::View, seen::Seen};

/// What one record meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The claim is the first for its key; its owner may dispatch the call.
    Won(Key),
    /// Another claim holds the key for the same call.
    Lost(Key),
    /// The claim counts for nothing.
    Refused(Key, Refusal),
    /// The key is free again.
    Abandoned(Key),
    /// The call of the key ran.
    Settled(Key),
    /// The record had been read before; its append was repeated.
    Duplicate,
    /// The record changes nothing.
    Ignored,
}

/// The live claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding<'a> {
    /// Offset of the claim.
    pub claim: Offset,
    /// The process that won the key.
    pub owner: &'a Owner,
    /// How far the call has come.
    pub standing: Standing,
    /// What a call of the key must repeat.
    pub fingerprint: Fingerprint,
}

/// The claims of one stream, folded in log order.
///
/// The state is a function of the records read and of nothing else; keys expire by the times in
/// the log. Keys whose claims might stand before the first record read are left out.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{id::{Incarnation, Offset, RecordId}, time::Wall};
/// use goldcrestvale_ledger::{
///     claim::{Fold, Kind, Outcome, Record, Window},
///     prefix::Prefix,
///     record::View,
/// };
///
/// let mut fold = Fold::new(Window { length: Duration::from_secs(600) }, Prefix::from_start());
/// let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
/// let data = Record::new(Kind::Mark).to_json();
/// let view = View { offset: Offset(0), id, written: Wall(5), data: &data };
/// assert_eq!(fold.apply(view)?, Outcome::Ignored);
/// assert_eq!(fold.next(), Offset(1));
/// # Ok::<(), goldcrestvale_ledger::prefix::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Fold {
    pub(super) window: Window,
    pub(super) prefix: Prefix,
    pub(super) entries: BTreeMap<Key, Entry>,
    pub(super) owners: Owners,
    pub(super) seen: Seen,
}

impl Fold {
    /// Starts a fold without claims at the start of a prefix.
    pub fn new(window: Window, prefix: Prefix) -> Self {
        Self {
            window,
            prefix,
            entries: BTreeMap::new(),
            owners: Owners::default(),
            seen: Seen::default(),
        }
    }

    /// Applies the next record and returns what it meant.
    ///
    /// # Errors
    ///
    /// Fails if the record is not the next one; the state stays as it was.
    pub fn apply(&mut self, record: View<'_>) -> prefix::Result<Outcome> {
        self.prefix.advance(&record)?;
        self.expire();
        if !self.seen.insert(record.id, self.prefix.clock()) {
            return Ok(Outcome::Duplicate);
        }
        Ok(match parse(record.data) {
            Parsed::Known(Kind::Claim(intent)) => self.claim(record.offset, record.id, &intent),
            Parsed::Known(Kind::Abandon(gone)) => self.abandon(record.id, gone),
            Parsed::Known(Kind::Settle(done)) => self.settle(record.id, done),
            Parsed::Known(Kind::Mark) | Parsed::Foreign => Outcome::Ignored,
            Parsed::Later => {
                self.prefix.mark_unproven();
                Outcome::Ignored
            }
        })
    }

    /// Forgets everything and goes on at an offset before which records are missing.
    pub fn restart(&mut self, oldest: Offset) {
        *self = Self::new(self.window, Prefix::trimmed(oldest));
    }

    /// Returns the live claim of a key.
    pub fn get(&self, key: &Key) -> Option<Holding<'_>> {
        let entry = self.entries.get(key)?;
        Some(Holding {
            claim: entry.claim,
            owner: self.owners.get(entry.owner),
            standing: entry.standing,
            fingerprint: entry.fingerprint,
        })
    }

    /// Checks whether a key can still be claimed, as far as the log has been read.
    ///
    /// A key from the future passes: the time of the log may stand still while it is idle.
    ///
    /// # Errors
    ///
    /// Returns the reason if a claim of the key would be refused.
    pub fn check(&self, key: &Key) -> Result<(), Refusal> {
        let issued = key.issued().ok_or(Refusal::Malformed)?;
        if self.window.check(key, self.clock()) == Err(Refusal::TooOld) {
            return Err(Refusal::TooOld);
        }
        if self.proves(issued) { Ok(()) } else { Err(Refusal::Unproven) }
    }

    /// Returns whether the claims of every key that may be claimed now are known.
    pub fn proves_all(&self) -> bool {
        self.window.proves_all(self.prefix.since(), self.clock())
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.prefix.next()
    }

    /// Returns the time of the log.
    pub fn clock(&self) -> Wall {
        self.prefix.clock()
    }

    /// Returns the position in the stream.
    pub fn prefix(&self) -> &Prefix {
        &self.prefix
    }

    /// Returns the number of live claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no claim is live.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Computes the digest of the live claims, in the order of their keys.
    ///
    /// Folds that are at the same offset and prove the whole window have the same digest.
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::with_capacity(self.entries.len() * ENTRY_BYTES);
        bytes.extend(self.next().0.to_le_bytes());
        bytes.extend(self.clock().0.to_le_bytes());
        for (key, entry) in &self.entries {
            let owner = self.owners.get(entry.owner);
            bytes.extend(key.0.as_bytes());
            bytes.extend(entry.fingerprint.to_bytes());
            bytes.extend(entry.claim.0.to_le_bytes());
            bytes.extend(owner.incarnation.0.to_le_bytes());
            bytes.extend(entry.standing.to_bytes());
        }
        Digest::of(&bytes)
    }

    fn claim(&mut self, offset: Offset, id: RecordId, intent: &Intent) -> Outcome {
        let key = intent.key;
        let issued = match self.window.check(&key, self.clock()) {
            Ok(issued) => issued,
            Err(refusal) => return Outcome::Refused(key, refusal),
        };
        if !self.proves(issued) {
            return Outcome::Refused(key, Refusal::Unproven);
        }
        let fingerprint = Fingerprint::of(intent);
        if let Some(entry) = self.entries.get(&key) {
            return if entry.fingerprint == fingerprint {
                Outcome::Lost(key)
            } else {
                Outcome::Refused(key, Refusal::Mismatch)
            };
        }
        let owner = self.owners.add(id.incarnation, &intent.instance);
        let standing = Standing::Claimed;
        self.entries.insert(key, Entry { fingerprint, claim: offset, owner, standing });
        Outcome::Won(key)
    }

    fn abandon(&mut self, id: RecordId, gone: Abandonment) -> Outcome {
        match self.owned(id, &gone.key, gone.claim) {
            Some(Standing::Claimed) => {
                self.remove(&gone.key);
                Outcome::Abandoned(gone.key)
            }
            _ => Outcome::Ignored,
        }
    }

    fn settle(&mut self, id: RecordId, done: Settlement) -> Outcome {
        if self.owned(id, &done.key, done.claim) != Some(Standing::Claimed) {
            return Outcome::Ignored;
        }
        if let Some(entry) = self.entries.get_mut(&done.key) {
            entry.standing = Standing::Settled(done.status);
        }
        Outcome::Settled(done.key)
    }

    /// Returns the standing of a claim if the writer of a record owns it.
    fn owned(&self, id: RecordId, key: &Key, claim: Offset) -> Option<Standing> {
        let entry = self.entries.get(key)?;
        let owner = self.owners.get(entry.owner);
        let same = entry.claim == claim && owner.incarnation == id.incarnation;
        same.then_some(entry.standing)
    }

    fn proves(&self, issued: Wall) -> bool {
        self.window.proves(self.prefix.since(), issued)
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.owners.remove(entry.owner);
        }
    }

    /// Drops keys that are past the window; keys are ordered by their time of issue.
    fn expire(&mut self) {
        let clock = self.clock();
        while let Some((&key, _)) = self.entries.first_key_value() {
            if self.window.check(&key, clock) != Err(Refusal::TooOld) {
                break;
            }
            self.remove(&key);
        }
        if self.next().0.is_multiple_of(WRITERS_CHECK) {
            self.seen.expire(self.window.horizon(clock));
        }
    }
}

/// Records between two looks for processes that stopped writing.
const WRITERS_CHECK: u64 = 1_024;

/// Bytes of one claim in the input of the digest.
const ENTRY_BYTES: usize = 16 + 16 + 8 + 16 + 3;
