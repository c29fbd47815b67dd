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

/// The effect of one record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The claim is the first for its key; its owner may dispatch the call.
    Won(Key),
    /// Another claim holds the key for the same call.
    Lost(Key),
    /// The claim is invalid.
    Refused(Key, Refusal),
    /// The claim was abandoned; the key can be claimed again.
    Abandoned(Key),
    /// The call of the key ran.
    Settled(Key),
    /// The record was read before; its append was retried.
    Duplicate,
    /// The record has no effect.
    Ignored,
}

/// The live claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding<'a> {
    /// Offset of the claim.
    pub claim: Offset,
    /// The process whose claim won.
    pub owner: &'a Owner,
    /// The progress of the call.
    pub standing: Standing,
    /// The fingerprint that every call of the key must share.
    pub fingerprint: Fingerprint,
}

/// The claims of one stream, folded in log order.
///
/// The state depends only on the records that were read; keys expire by the times in the log. Keys
/// that may have been claimed before the first record that was read are excluded.
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
    /// Creates a fold without claims at the start of a prefix.
    pub fn new(window: Window, prefix: Prefix) -> Self {
        Self {
            window,
            prefix,
            entries: BTreeMap::new(),
            owners: Owners::default(),
            seen: Seen::default(),
        }
    }

    /// Applies the next record and returns its effect.
    ///
    /// # Errors
    ///
    /// Fails if the record is not the next one; the state is unchanged then.
    pub fn apply(&mut self, record: View<'_>) -> prefix::Result<Outcome> {
        self.prefix.advance(&record)?;
        self.expire();
        if !self.seen.insert(record.id, self.prefix.clock()) {
            return Ok(Outcome::Duplicate);
        }
        Ok(match parse(record.data) {
            Parsed::Known(Kind::Claim(intent)) => self.claim(record.offset, record.id, &intent),
            Parsed::Known(Kind::Abandon(abandonment)) => self.abandon(record.id, abandonment),
            Parsed::Known(Kind::Settle(settlement)) => self.settle(record.id, settlement),
            Parsed::Known(Kind::Mark) | Parsed::Foreign => Outcome::Ignored,
            Parsed::Later => {
                self.prefix.mark_unproven();
                Outcome::Ignored
            }
        })
    }

    /// Discards the state and continues at an offset before which records are missing.
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

    /// Checks whether a key can still be claimed, according to the records read so far.
    ///
    /// A key issued in the future is accepted, because the time of an idle log does not advance.
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

    /// Returns whether every existing claim of the keys that can be claimed now is known.
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
    /// Folds at the same offset whose records cover the complete window have the same digest.
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

    fn abandon(&mut self, id: RecordId, abandonment: Abandonment) -> Outcome {
        match self.standing_of_own(id, &abandonment.key, abandonment.claim) {
            Some(Standing::Claimed) => {
                self.remove(&abandonment.key);
                Outcome::Abandoned(abandonment.key)
            }
            _ => Outcome::Ignored,
        }
    }

    fn settle(&mut self, id: RecordId, settlement: Settlement) -> Outcome {
        if self.standing_of_own(id, &settlement.key, settlement.claim) != Some(Standing::Claimed) {
            return Outcome::Ignored;
        }
        if let Some(entry) = self.entries.get_mut(&settlement.key) {
            entry.standing = Standing::Settled(settlement.status);
        }
        Outcome::Settled(settlement.key)
    }

    /// Returns the standing of a claim if the writer of a record owns it.
    fn standing_of_own(&self, id: RecordId, key: &Key, claim: Offset) -> Option<Standing> {
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

    /// Removes keys that are older than the window; keys are ordered by their time of issue.
    fn expire(&mut self) {
        let clock = self.clock();
        while let Some((&key, _)) = self.entries.first_key_value() {
            if self.window.check(&key, clock) != Err(Refusal::TooOld) {
                break;
            }
            self.remove(&key);
        }
        if self.next().0.is_multiple_of(WRITER_EXPIRY_INTERVAL) {
            self.seen.expire(self.window.horizon(clock));
        }
    }
}

/// Number of records between two checks for processes that stopped writing.
const WRITER_EXPIRY_INTERVAL: u64 = 1_024;

/// Size of one claim in the input of the digest, in bytes.
const ENTRY_BYTES: usize = 16 + 16 + 8 + 16 + 3;
