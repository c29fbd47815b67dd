//! Splits configurations into parts for sending and reassembles received parts.

use bytes::{Bytes, BytesMut};
use goldcrestvale_base::id::{Instance, Offset};
use goldcrestvale_wire::{
    field::{self, Result},
    message::ConfigState,
};
use indexmap::IndexMap;

use crate::events::Configuration;

/// Maximum size of a reassembled configuration, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 32 << 20;

/// Splits a configuration into parts.
pub(super) fn split(
    configuration: &Configuration,
    max_part_bytes: usize,
) -> impl Iterator<Item = ConfigState> + '_ {
    let Configuration { version, digest, bytes } = configuration;
    let count = bytes.len().div_ceil(max_part_bytes).max(1);
    let parts = u32::try_from(count).unwrap_or(u32::MAX);
    (0..parts).zip((0..).step_by(max_part_bytes)).map(move |(part, start)| ConfigState {
        version: version.0,
        digest: field::encode_digest(*digest),
        part,
        parts,
        bytes: bytes.slice(start..bytes.len().min(start + max_part_bytes)),
    })
}

#[derive(Debug)]
struct Partial {
    version: u64,
    digest: Bytes,
    parts: u32,
    next: u32,
    bytes: BytesMut,
}

/// The partially received configurations, at most one per peer.
#[derive(Debug, Default)]
pub(super) struct Assembly {
    partial: IndexMap<Instance, Partial>,
}

impl Assembly {
    /// Adds a part; returns the configuration once the last part is added.
    ///
    /// Parts must arrive in order; one out of order discards the parts received so far.
    pub(super) fn add(
        &mut self,
        from: &Instance,
        part: ConfigState,
    ) -> Result<Option<Configuration>> {
        if part.part == 0 {
            let digest = part.digest.clone();
            let (version, parts) = (part.version, part.parts);
            let empty = Partial { version, digest, parts, next: 0, bytes: BytesMut::new() };
            self.partial.insert(from.clone(), empty);
        }
        let Some(partial) = self.partial.get_mut(from) else { return Ok(None) };
        if !partial.continues_with(&part) {
            self.partial.swap_remove(from);
            return Err(field::Error { field: "part" });
        }
        partial.bytes.extend_from_slice(&part.bytes);
        partial.next += 1;
        if partial.next < partial.parts {
            return Ok(None);
        }
        let complete = self.partial.swap_remove(from);
        complete.map(Partial::finish).transpose()
    }

    /// Discards the parts received from a peer.
    pub(super) fn discard(&mut self, from: &Instance) {
        self.partial.swap_remove(from);
    }
}

impl Partial {
    fn continues_with(&self, part: &ConfigState) -> bool {
        part.part == self.next
            && part.parts == self.parts
            && part.version == self.version
            && part.digest == self.digest
            && self.bytes.len() + part.bytes.len() <= MAX_CONFIGURATION_BYTES
    }

    fn finish(self) -> Result<Configuration> {
        let digest = field::decode_digest(&self.digest)?;
        Ok(Configuration { version: Offset(self.version), digest, bytes: self.bytes.freeze() })
    }
}
