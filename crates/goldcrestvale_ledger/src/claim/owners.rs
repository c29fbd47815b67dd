use std::collections::BTreeMap;

use goldcrestvale_base::id::{Incarnation, Instance};

use super::entry::Owner;

/// The owners of live claims, each stored once and referred to by an index.
#[derive(Debug, Clone, Default)]
pub(super) struct Owners {
    slots: Vec<Option<Slot>>,
    free: Vec<u32>,
    numbers: BTreeMap<Incarnation, u32>,
}

#[derive(Debug, Clone)]
struct Slot {
    owner: Owner,
    claims: u32,
}

impl Owners {
    /// Increments the number of claims of an owner and returns the index of the owner.
    pub(super) fn add(&mut self, incarnation: Incarnation, instance: &Instance) -> u32 {
        if let Some(&number) = self.numbers.get(&incarnation) {
            self.slot_mut(number).claims += 1;
            return number;
        }
        let owner = Owner { incarnation, instance: instance.clone() };
        let slot = Some(Slot { owner, claims: 1 });
        let number = match self.free.pop() {
            Some(number) => {
                self.slots[number as usize] = slot;
                number
            }
            None => {
                self.slots.push(slot);
                u32::try_from(self.slots.len() - 1)
                    .expect("the number of live owners is far below 2^32")
            }
        };
        self.numbers.insert(incarnation, number);
        number
    }

    /// Decrements the number of claims of an owner and removes the owner with its last claim.
    pub(super) fn remove(&mut self, number: u32) {
        let slot = self.slot_mut(number);
        slot.claims -= 1;
        if slot.claims == 0 {
            let incarnation = slot.owner.incarnation;
            self.numbers.remove(&incarnation);
            self.slots[number as usize] = None;
            self.free.push(number);
        }
    }

    pub(super) fn get(&self, number: u32) -> &Owner {
        &self.slots[number as usize].as_ref().expect("the owner of a live claim is stored").owner
    }

    fn slot_mut(&mut self, number: u32) -> &mut Slot {
        self.slots[number as usize].as_mut().expect("the owner of a live claim is stored")
    }
}
