//! Exchange of configurations between instances.

use goldcrestvale_base::id::{Digest, Instance, Offset};
use goldcrestvale_wire::{field, message as wire};

use super::{Core, assembly};
use crate::{
    events::{Configuration, EventHandler},
    queue::PushResult,
};

/// Maximum size of one part of a configuration, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

impl<E: EventHandler> Core<E> {
    pub(super) fn offer_config(&self, version: Offset, digest: Digest) {
        let digest = field::encode_digest(digest);
        for link in self.links.iter() {
            let offer = wire::ConfigOffer { version: version.0, digest: digest.clone() };
            self.push(&link.queue, offer.into());
        }
    }

    pub(super) fn send_config(&self, to: &Instance, configuration: &Configuration) {
        let Some(link) = self.links.get(to) else { return };
        for part in assembly::split(configuration, MAX_PART_BYTES) {
            if self.push(&link.queue, part.into()) == PushResult::Full {
                log::warn!("stopped sending a configuration to {to}: its queue is full");
                return;
            }
        }
    }

    pub(super) fn config_offered(&self, link: u64, offer: &wire::ConfigOffer) -> field::Result<()> {
        let digest = field::decode_digest(&offer.digest)?;
        if let Some(from) = self.sender(link) {
            self.events.config_offered(&from, Offset(offer.version), digest);
        }
        Ok(())
    }

    pub(super) fn config_part(&mut self, link: u64, part: wire::ConfigState) -> field::Result<()> {
        let Some(from) = self.sender(link) else { return Ok(()) };
        if let Some(configuration) = self.assembly.add(&from, part)? {
            self.events.config_received(&from, configuration);
        }
        Ok(())
    }
}
