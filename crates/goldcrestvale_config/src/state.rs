//! All stored entities, with indexes of their references and reservations.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    link::{EntityKey, Links},
    record::Kind,
    schema,
    set_digest::SetDigest,
    slot::{Revision, Slot},
};

/// The result of checking links; the error is the reason of the rejection.
pub(crate) type Result<T> = std::result::Result<T, String>;

/// All stored entities.
#[derive(Debug, Clone, Default)]
pub(crate) struct State {
    slots: BTreeMap<EntityKey, Slot>,
    majors: BTreeMap<Kind, u16>,
    referrers: BTreeMap<EntityKey, BTreeSet<EntityKey>>,
    reservations: BTreeMap<Arc<str>, EntityKey>,
}

impl State {
    /// Returns an entity.
    pub(crate) fn slot(&self, key: &EntityKey) -> Option<&Slot> {
        self.slots.get(key)
    }

    /// Iterates over the entities in order of their keys.
    pub(crate) fn slots(&self) -> impl Iterator<Item = (&EntityKey, &Slot)> {
        self.slots.iter()
    }

    /// Returns the major versions that were activated by upgrades.
    pub(crate) fn majors(&self) -> &BTreeMap<Kind, u16> {
        &self.majors
    }

    /// Returns the major version in force for a kind.
    pub(crate) fn major(&self, kind: &Kind) -> u16 {
        self.majors.get(kind).copied().unwrap_or_else(|| schema::initial_major(kind))
    }

    /// Activates a major version.
    pub(crate) fn set_major(&mut self, kind: Kind, major: u16, digest: &mut SetDigest) {
        if let Some(before) = self.majors.insert(kind.clone(), major) {
            digest.remove(&[b"major", kind.as_str().as_bytes(), &before.to_le_bytes()]);
        }
        digest.add(&[b"major", kind.as_str().as_bytes(), &major.to_le_bytes()]);
    }

    /// Checks that every referenced entity is in force without a pending deletion, and that no
    /// other entity holds the same reservation.
    pub(crate) fn try_link(&self, key: &EntityKey, links: &Links) -> Result<()> {
        for target in &links.references {
            if !self.slots.get(target).is_some_and(Slot::is_referable) {
                return Err(format!("{key} refers to {target}, which is not in force"));
            }
        }
        let holder = links.reservation.as_ref().and_then(|text| self.reservations.get(text));
        match holder.filter(|holder| *holder != key) {
            Some(holder) => Err(format!("{key} has the same ends or credential as {holder}")),
            None => Ok(()),
        }
    }

    /// Checks that no entity refers to this one.
    pub(crate) fn try_unlink(&self, key: &EntityKey) -> Result<()> {
        match self.referrers.get(key).and_then(|referrers| referrers.first()) {
            Some(referrer) => Err(format!("{key} is referred to by {referrer}")),
            None => Ok(()),
        }
    }

    /// Modifies an entity and updates the indexes and the digest.
    pub(crate) fn edit<T>(
        &mut self,
        key: &EntityKey,
        digest: &mut SetDigest,
        edit: impl FnOnce(&mut Slot) -> T,
    ) -> T {
        let mut slot = self.slots.remove(key).unwrap_or_default();
        self.unindex(key, &slot);
        update_digest(key, &slot, digest, SetDigest::remove);
        let result = edit(&mut slot);
        update_digest(key, &slot, digest, SetDigest::add);
        self.index(key, &slot);
        if !slot.is_empty() {
            self.slots.insert(key.clone(), slot);
        }
        result
    }

    fn index(&mut self, key: &EntityKey, slot: &Slot) {
        for links in slot.links(&key.kind) {
            for target in links.references {
                self.referrers.entry(target).or_default().insert(key.clone());
            }
            if let Some(text) = links.reservation {
                self.reservations.insert(text, key.clone());
            }
        }
    }

    fn unindex(&mut self, key: &EntityKey, slot: &Slot) {
        for links in slot.links(&key.kind) {
            for target in &links.references {
                if let Some(referrers) = self.referrers.get_mut(target) {
                    referrers.remove(key);
                    if referrers.is_empty() {
                        self.referrers.remove(target);
                    }
                }
            }
            if let Some(text) = &links.reservation {
                self.reservations.remove(text);
            }
        }
    }
}

fn update_digest(
    key: &EntityKey,
    slot: &Slot,
    digest: &mut SetDigest,
    update: fn(&mut SetDigest, &[&[u8]]),
) {
    let current = slot.current.iter().map(|revision| ("now", revision));
    let pending = slot.pending.iter().map(|revision| ("held", revision));
    for (position, revision) in current.chain(pending) {
        let Revision { version, schema, body } = revision;
        let text = body.as_deref().unwrap_or_default();
        update(
            digest,
            &[
                position.as_bytes(),
                key.kind.as_str().as_bytes(),
                key.name.as_bytes(),
                &version.0.to_le_bytes(),
                &schema.major.to_le_bytes(),
                &schema.minor.to_le_bytes(),
                text.as_bytes(),
            ],
        );
    }
}
