//! Export and import of KV caches.

use std::collections::{BTreeMap, hash_map};

use goldcrestvale_base::id::Request;
use goldcrestvale_upstream::message::{Kv, Layers, Refusal};
use tokio::time::Instant;

use super::{
    cache::{Cache, Slot},
    state::{Result, State, refuse},
};

impl State {
    /// Exports the KV cache of one attempt.
    pub(super) fn export(&mut self, request: Request, attempt: u32) -> Result<Kv> {
        let Some(cache) = self.caches.get(&(request, attempt)) else {
            return refuse(Refusal::Gap, "no KV cache of this attempt");
        };
        let ends = cache.slots.first_key_value().zip(cache.slots.last_key_value());
        let Some(((&from, _), (&last, slot))) = ends else {
            return refuse(Refusal::Gap, "the KV cache of this attempt is empty");
        };
        if cache.find_mismatch(Layers { from, to: last + 1 }, slot.positions).is_some() {
            return refuse(Refusal::Busy, "the layers are at different positions");
        }
        let state = match serde_json::to_string(&cache.slots) {
            Ok(state) => state,
            Err(error) => return refuse(Refusal::Malformed, error.to_string()),
        };
        self.counts.exports += 1;
        Ok(Kv {
            request,
            attempt,
            model: cache.model.clone(),
            layers: Layers { from, to: last + 1 },
            positions: slot.positions,
            state,
        })
    }

    /// Imports a KV cache for the attempt named in it.
    pub(super) fn import(&mut self, kv: &Kv) -> Result<()> {
        self.check_held(&kv.model, kv.layers)?;
        let slots: BTreeMap<u32, Slot> = match serde_json::from_str(&kv.state) {
            Ok(slots) => slots,
            Err(error) => return refuse(Refusal::Malformed, error.to_string()),
        };
        let complete = slots.keys().copied().eq(kv.layers.from..kv.layers.to)
            && slots.values().all(|slot| slot.positions == kv.positions);
        if !complete {
            return refuse(Refusal::Malformed, "the state is not that of these positions");
        }
        let now = Instant::now();
        self.admit_cache(now)?;
        let cache = match self.caches.entry((kv.request, kv.attempt)) {
            hash_map::Entry::Occupied(cache) => cache.into_mut(),
            hash_map::Entry::Vacant(entry) => entry.insert(Cache::new(kv.model.clone(), now)),
        };
        if cache.find_mismatch(kv.layers, 0).is_some() {
            return refuse(Refusal::Gap, "the attempt has positions in these layers already");
        }
        cache.slots.extend(slots);
        self.counts.imports += 1;
        Ok(())
    }
}
