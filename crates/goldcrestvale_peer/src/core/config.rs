//! Exchange of configurations between instances.

use goldcrestvale_base::id::{Digest, Instance, Offset};
use goldcrestvale_wire::{field, message as wire};

use super::{Core, assembly};
use crate::{
    events::{Configuration, EventHandler, Held},
    queue::PushResult,
};

/// Maximum size of one part of a configuration, in bytes.
const MAX_PART_BYTES: usize = 32 << 10;

/// Returns the message that requests a version.
pub(super) fn config_ask(version: Offset, held: Option<Held>) -> wire::ConfigAsk {
    wire::ConfigAsk {
        version: version.0,
        held: held.map_or(0, |held| held.version.0),
        held_digest: held.map(|held| field::encode_digest(held.digest)).unwrap_or_default(),
    }
}

impl<E: EventHandler> Core<E> {
    pub(super) fn offer_config(&self, version: Offset, digest: Digest) {
        let digest = field::encode_digest(digest);
        for link in self.links.iter() {
            let offer = wire::ConfigOffer { version: version.0, digest: digest.clone() };
            self.push(&link.queue, offer.into());
        }
    }

    /// Queues the parts of a configuration for a peer; returns whether all of them were queued.
    pub(super) fn send_config(&self, to: &Instance, configuration: &Configuration) -> bool {
        let Some(link) = self.links.get(to) else { return false };
        for part in assembly::split(configuration, MAX_PART_BYTES) {
            if self.push(&link.queue, part.into()) == PushResult::Full {
                log::warn!("stopped sending a configuration to {to}: its queue is full");
                return false;
            }
        }
        true
    }

    /// Sends the newest version to the peers whose turn it is.
    pub(super) fn start_uploads(&mut self) {
        for to in self.uploads.start(self.shared.clock.now()) {
            let held = self.waiting.swap_remove(&to).filter(|held| !self.is_outdated(&to, held));
            let configuration = held.and_then(|held| self.events.changes_since(&to, held));
            if !configuration.is_some_and(|it| self.send_config(&to, &it)) {
                self.uploads.remove(&to);
            }
        }
    }

    /// Returns whether a peer that waited has received a newer version than it held.
    fn is_outdated(&self, peer: &Instance, held: &Held) -> bool {
        let peer = self.member.view().peer(peer);
        let reported = peer.and_then(|peer| peer.status.config);
        reported.is_some_and(|config| config.version > held.version)
    }

    pub(super) fn part_sent(&mut self, link: u64, is_last: bool) {
        if let Some(to) = self.sender(link) {
            self.uploads.record_part(&to, is_last, self.shared.clock.now());
            self.start_uploads();
        }
    }

    pub(super) fn remove_upload(&mut self, peer: &Instance) {
        self.waiting.swap_remove(peer);
        self.uploads.remove(peer);
        self.start_uploads();
    }

    pub(super) fn config_requested(
        &mut self,
        link: u64,
        ask: &wire::ConfigAsk,
    ) -> field::Result<()> {
        let Some(from) = self.sender(link) else { return Ok(()) };
        let version = Offset(ask.version);
        if ask.held_digest.is_empty() {
            self.events.config_requested(&from, version);
            return Ok(());
        }
        let digest = field::decode_digest(&ask.held_digest)?;
        let held = Held { version: Offset(ask.held), digest };
        self.waiting.insert(from.clone(), held);
        self.uploads.request(from);
        self.start_uploads();
        Ok(())
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
        self.events.part_received(&from);
        if let Some(configuration) = self.assembly.add(&from, part)? {
            self.events.config_received(&from, configuration);
        }
        Ok(())
    }
}
