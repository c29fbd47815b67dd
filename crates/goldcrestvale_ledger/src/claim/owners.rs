use std::collections::BTreeMap;

use goldcrestvale_base::id::{Incarnation, Instance};

use super::entry::Owner;

/// The owners of live claims, each stored once and referred to by an index.
#[derive(Debug, Clone, Default)]
pub(super) struct Owners {
    slots: Vec<Option<Slot>>,
    free: Vec<u32>,
    indices: BTreeMap<Incarnation, u32>,
}

#[derive(Debug, Clone)]
struct Slot {
    owner: Owner,
    claims: u32,
}

impl Owners {
    /// Increments the number of claims of an owner and returns the index of the owner.
    pub(super) fn add(&mut self, incarnation: Incarnation, instance: &Instance) -> u32 {
        if let Some(&index) = self.indices.get(&incarnation) {
            self.slot_mut(index).claims += 1;
            return index;
        }
        let owner = Owner { incarnation, instance: instance.clone() };
        let slot = Some(Slot { owner, claims: 1 });
        let index = match self.free.pop() {
            Some(index) => {
                self.slots[index as usize] = slot;
                index
            }
            None => {
                self.slots.push(slot);
                u32::try_from(self.slots.len() - 1)
                    .expect("the number of live owners is far below 2^32")
            }
        };
        self.indices.insert(incarnation, index);
        index
    }

    /// Decrements the number of claims of an owner and removes the owner with its last claim.
    pub(super) fn remove(&mut self, index: u32) {
        let slot = self.slot_mut(index);
        slot.claims -= 1;
        if slot.claims == 0 {
            let incarnation = slot.owner.incarnation;
            self.indices.remove(&incarnation);
            self.slots[index as usize] = None;
            self.free.push(index);
        }
    }

    pub(super) fn get(&self, index: u32) -> &Owner {
        &self.slots[index as usize].as_ref().expect("the owner of a live claim is stored").owner
    }

    fn slot_mut(&mut self, index: u32) -> &mut Slot {
        self.slots[index as usize].as_mut().expect("the owner of a live claim is stored")
    }
}
