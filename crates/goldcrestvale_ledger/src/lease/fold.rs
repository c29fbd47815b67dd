use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::{
    domain,
    id::{Digest, Incarnation, Instance, Offset, RecordId},
    time::Wall,
};

use super::record::{Grant, Kind, Record, SCHEMA};
use crate::{prefix, prefix::Prefix, record::View, seen::Seen};

/// Maximum length of a lease; a longer grant is refused.
pub const MAX_LENGTH: Duration = Duration::from_secs(120);

/// Time without records, measured by the time of the log, after which a lease is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(300);

/// The effect of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The lease has a new holder.
    Granted {
        /// Name of the lease.
        lease: String,
        /// Time for which an earlier holder may still act: zero if the lease was released, `None`
        /// if no earlier lease is known.
        previous_length: Option<Duration>,
    },
    /// The holder renewed the lease.
    Renewed(String),
    /// The holder released the lease.
    Released(String),
    /// The record is outdated, is not from the holder, or requests a lease that is too long.
    Refused(String),
    /// The record was read before; its append was retried.
    Duplicate,
    /// The record has no effect.
    Ignored,
}

domain! {
    value
    /// The current state of a lease.
    pub struct Current {
        /// Fencing number: the offset of the grant.
        pub fence: Offset,
        /// Offset of the last valid record.
        pub last: Offset,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Instance of the holder.
        pub instance: Instance,
        /// Validity of the lease after its grant or its last renewal.
        pub length: Duration,
        /// Maximum length of a lease since the last release; an earlier holder may still act that
        /// long.
        pub longest: Duration,
        /// Time at which the last valid record was written.
        pub written: Wall,
        /// Whether the holder released the lease.
        pub released: bool,
    }

    /// The leases of one stream, folded in log order.
    ///
    /// The state depends only on the records that were read; serialized, it is the checkpoint from
    /// which another instance can continue. A fold that starts at a trimmed offset does not know
    /// who holds a lease and ignores its records until the lease has had none for
    /// [`FORGET_AFTER`]; it can be replaced by the checkpoint of a fold that knows the holder.
    pub struct Fold {
        prefix: Prefix,
        leases: BTreeMap<String, Current>,
        #[serde(rename = "strangers")]
        unknown: BTreeMap<String, Wall>,
        seen: Seen,
    }
}

impl Fold {
    /// Creates a fold without leases at the start of a prefix.
    pub fn new(prefix: Prefix) -> Self {
        Self { prefix, leases: BTreeMap::new(), unknown: BTreeMap::new(), seen: Seen::default() }
    }

    /// Applies the next record and returns its effect.
    ///
    /// # Errors
    ///
    /// Fails if the record is not the next one; the state is unchanged then.
    pub fn apply(&mut self, record: View<'_>) -> prefix::Result<Outcome> {
        self.prefix.advance(&record)?;
        self.forget_old();
        if !self.seen.insert(record.id, self.prefix.clock()) {
            return Ok(Outcome::Duplicate);
        }
        let Ok(Record { schema: SCHEMA, lease, kind }) = serde_json::from_str(record.data) else {
            return Ok(Outcome::Ignored);
        };
        if kind != Kind::Mark && !self.knows(&lease) {
            self.unknown.insert(lease, self.prefix.clock());
            return Ok(Outcome::Ignored);
        }
        Ok(match kind {
            Kind::Grant(grant) => self.grant(record.offset, record.id, lease, grant),
            Kind::Renew(renewal) => self.renew(record.offset, record.id, lease, renewal.fence),
            Kind::Mark => Outcome::Ignored,
            Kind::Release(release) => self.release(record.offset, record.id, lease, release.fence),
        })
    }

    /// Returns the current state of a lease.
    pub fn get(&self, lease: &str) -> Option<&Current> {
        self.leases.get(lease)
    }

    /// Returns whether the state of a lease is known, so that an instance may request it.
    pub fn knows(&self, lease: &str) -> bool {
        let is_forgotten = |since: &Wall| self.prefix.clock().since(*since) > FORGET_AFTER;
        let has_all_leases = match self.prefix.since() {
            Some(Wall(0)) => true,
            Some(since) => is_forgotten(&since),
            None => false,
        };
        self.leases.contains_key(lease) || has_all_leases && !self.unknown.contains_key(lease)
    }

    /// Returns the position in the stream.
    pub fn prefix(&self) -> &Prefix {
        &self.prefix
    }

    /// Computes the digest of all leases.
    pub fn digest(&self) -> Digest {
        let text = serde_json::to_vec(&(self.prefix.next(), &self.leases))
            .expect("leases hold only strings and numbers");
        Digest::of(&text)
    }

    fn grant(&mut self, offset: Offset, id: RecordId, lease: String, grant: Grant) -> Outcome {
        let current = self.leases.get(&lease);
        if current.map(|current| current.last) != grant.after || grant.length > MAX_LENGTH {
            return Outcome::Refused(lease);
        }
        let length = |current: &Current| match current.released {
            true => Duration::ZERO,
            false => current.longest,
        };
        let previous_length = current.map(length);
        let next = Current {
            fence: offset,
            last: offset,
            incarnation: id.incarnation,
            instance: grant.instance,
            length: grant.length,
            longest: grant.length.max(previous_length.unwrap_or_default()),
            written: self.prefix.clock(),
            released: false,
        };
        self.leases.insert(lease.clone(), next);
        Outcome::Granted { lease, previous_length }
    }

    /// Removes leases without records for [`FORGET_AFTER`].
    fn forget_old(&mut self) {
        let clock = self.prefix.clock();
        self.leases.retain(|_, current| clock.since(current.written) <= FORGET_AFTER);
        self.unknown.retain(|_, last| clock.since(*last) <= FORGET_AFTER);
        self.seen.expire(Wall(clock.0.saturating_sub(FORGET_AFTER.as_millis() as u64)));
    }

    fn renew(&mut self, offset: Offset, id: RecordId, lease: String, fence: Offset) -> Outcome {
        let clock = self.prefix.clock();
        match self.held_by(id, &lease, fence) {
            Some(current) => {
                current.last = offset;
                current.written = clock;
                Outcome::Renewed(lease)
            }
            None => Outcome::Refused(lease),
        }
    }

    fn release(&mut self, offset: Offset, id: RecordId, lease: String, fence: Offset) -> Outcome {
        let clock = self.prefix.clock();
        match self.held_by(id, &lease, fence) {
            Some(current) => {
                current.last = offset;
                current.written = clock;
                current.released = true;
                Outcome::Released(lease)
            }
            None => Outcome::Refused(lease),
        }
    }

    fn held_by(&mut self, id: RecordId, lease: &str, fence: Offset) -> Option<&mut Current> {
        let current = self.leases.get_mut(lease)?;
        let holds = current.fence == fence && current.incarnation == id.incarnation;
        (holds && !current.released).then_some(current)
    }
}
