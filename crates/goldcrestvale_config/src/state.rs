//! All entities as the fold stores them, with what refers to and reserves what.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    link::{EntityKey, Links},
    record::Kind,
    schema,
    set_digest::Sum,
    slot::{Slot, Step},
};

/// Why links do not hold.
pub(crate) type Result<T> = std::result::Result<T, String>;

/// All entities.
#[derive(Debug, Clone, Default)]
pub(crate) struct State {
    slots: BTreeMap<EntityKey, Slot>,
    raised: BTreeMap<Kind, u16>,
    users: BTreeMap<EntityKey, BTreeSet<EntityKey>>,
    reserved: BTreeMap<Arc<str>, EntityKey>,
}

impl State {
    /// Returns an entity.
    pub(crate) fn slot(&self, address: &EntityKey) -> Option<&Slot> {
        self.slots.get(address)
    }

    /// Iterates over the entities by address.
    pub(crate) fn slots(&self) -> impl Iterator<Item = (&EntityKey, &Slot)> {
        self.slots.iter()
    }

    /// Returns the major versions above the initial ones.
    pub(crate) fn raised(&self) -> &BTreeMap<Kind, u16> {
        &self.raised
    }

    /// Returns the major version in force for a kind.
    pub(crate) fn major(&self, kind: &Kind) -> u16 {
        self.raised.get(kind).copied().unwrap_or_else(|| schema::initial_major(kind))
    }

    /// Puts a major version in force.
    pub(crate) fn raise(&mut self, kind: Kind, major: u16, sum: &mut Sum) {
        if let Some(before) = self.raised.insert(kind.clone(), major) {
            sum.take(&[b"major", kind.as_str().as_bytes(), &before.to_le_bytes()]);
        }
        sum.add(&[b"major", kind.as_str().as_bytes(), &major.to_le_bytes()]);
    }

    /// Checks that every entity referred to is in force and stays, and that nothing is reserved
    /// twice.
    pub(crate) fn try_link(&self, address: &EntityKey, links: &Links) -> Result<()> {
        for end in &links.refers {
            if !self.slots.get(end).is_some_and(Slot::is_referable) {
                return Err(format!("{address} refers to {end}, which is not in force"));
            }
        }
        let holder = links.reserves.as_ref().and_then(|text| self.reserved.get(text));
        match holder.filter(|holder| *holder != address) {
            Some(holder) => Err(format!("{address} has the same ends or credential as {holder}")),
            None => Ok(()),
        }
    }

    /// Checks that nothing refers to an entity.
    pub(crate) fn try_unlink(&self, address: &EntityKey) -> Result<()> {
        match self.users.get(address).and_then(|users| users.first()) {
            Some(user) => Err(format!("{address} is referred to by {user}")),
            None => Ok(()),
        }
    }

    /// Changes an entity and brings the indexes and the digest up to date.
    pub(crate) fn edit<T>(
        &mut self,
        address: &EntityKey,
        sum: &mut Sum,
        edit: impl FnOnce(&mut Slot) -> T,
    ) -> T {
        let mut slot = self.slots.remove(address).unwrap_or_default();
        self.forget(address, &slot);
        tally(address, &slot, sum, Sum::take);
        let result = edit(&mut slot);
        tally(address, &slot, sum, Sum::add);
        self.index(address, &slot);
        if !slot.is_empty() {
            self.slots.insert(address.clone(), slot);
        }
        result
    }

    fn index(&mut self, address: &EntityKey, slot: &Slot) {
        for links in slot.links(&address.kind) {
            for end in links.refers {
                self.users.entry(end).or_default().insert(address.clone());
            }
            if let Some(text) = links.reserves {
                self.reserved.insert(text, address.clone());
            }
        }
    }

    fn forget(&mut self, address: &EntityKey, slot: &Slot) {
        for links in slot.links(&address.kind) {
            for end in &links.refers {
                if let Some(users) = self.users.get_mut(end) {
                    users.remove(address);
                    if users.is_empty() {
                        self.users.remove(end);
                    }
                }
            }
            if let Some(text) = &links.reserves {
                self.reserved.remove(text);
            }
        }
    }
}

fn tally(address: &EntityKey, slot: &Slot, sum: &mut Sum, count: fn(&mut Sum, &[&[u8]])) {
    let now = slot.now.iter().map(|step| ("now", step));
    let held = slot.held.iter().map(|step| ("held", step));
    for (place, step) in now.chain(held) {
        let Step { version, schema, body } = step;
        let text = body.as_deref().unwrap_or_default();
        count(
            sum,
            &[
                place.as_bytes(),
                address.kind.as_str().as_bytes(),
                address.name.as_bytes(),
                &version.0.to_le_bytes(),
                &schema.major.to_le_bytes(),
                &schema.minor.to_le_bytes(),
                text.as_bytes(),
            ],
        );
    }
}
