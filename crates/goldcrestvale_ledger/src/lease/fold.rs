use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::{
    domain,
    id::{Digest, Incarnation, Instance, Offset, RecordId},
    time::Wall,
};

use super::record::{Grant, Kind, Record, SCHEMA};
use crate::{prefix, prefix::Prefix, record::View, seen::Seen};

/// Longest length of a lease; a grant of a longer one counts for nothing.
pub const MAX_LENGTH: Duration = Duration::from_secs(120);

/// Time of the log after which a lease without records is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(300);

/// What one record meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The lease has a new holder.
    Granted {
        /// Name of the lease.
        lease: String,
        /// Time that the lease before it lasts: none if it was released, and not known if there
        /// was none.
        before: Option<Duration>,
    },
    /// The lease was prolonged by its holder.
    Renewed(String),
    /// The lease was given back by its holder.
    Released(String),
    /// A candidate or a former holder came too late.
    Refused(String),
    /// The record had been read before; its append was repeated.
    Duplicate,
    /// The record changes nothing.
    Ignored,
}

domain! {
    value
    /// The present state of a lease.
    pub struct Current {
        /// Fencing number: the offset of the grant.
        pub fence: Offset,
        /// Offset of the last record that counted.
        pub last: Offset,
        /// This life of the holder.
        pub incarnation: Incarnation,
        /// The holder's instance.
        pub instance: Instance,
        /// Time that the lease lasts after its grant or its last renewal.
        pub length: Duration,
        /// Longest lease since the last release; an earlier holder may still act that long.
        pub longest: Duration,
        /// Time at which the last record that counted was written.
        pub written: Wall,
        /// Whether the holder gave it back.
        pub released: bool,
    }

    /// The leases of one stream, folded in log order.
    ///
    /// The state is a function of the records read and of nothing else; serialized, it is the
    /// checkpoint from which another instance goes on. A fold that starts at a trimmed offset
    /// does not know who holds a lease and decides nothing about it until the lease has been
    /// quiet for [`FORGET_AFTER`]; it can be replaced by the checkpoint of one that knows.
    pub struct Fold {
        prefix: Prefix,
        leases: BTreeMap<String, Current>,
        strangers: BTreeMap<String, Wall>,
        seen: Seen,
    }
}

impl Fold {
    /// Starts a fold without leases at the start of a prefix.
    pub fn new(prefix: Prefix) -> Self {
        Self { prefix, leases: BTreeMap::new(), strangers: BTreeMap::new(), seen: Seen::default() }
    }

    /// Applies the next record and returns what it meant.
    ///
    /// # Errors
    ///
    /// Fails if the record is not the next one; the state stays as it was.
    pub fn apply(&mut self, record: View<'_>) -> prefix::Result<Outcome> {
        self.prefix.advance(&record)?;
        self.forget();
        if !self.seen.insert(record.id, self.prefix.clock()) {
            return Ok(Outcome::Duplicate);
        }
        let Ok(Record { schema: SCHEMA, lease, kind }) = serde_json::from_str(record.data) else {
            return Ok(Outcome::Ignored);
        };
        if kind != Kind::Mark && !self.knows(&lease) {
            self.strangers.insert(lease, self.prefix.clock());
            return Ok(Outcome::Ignored);
        }
        Ok(match kind {
            Kind::Grant(grant) => self.grant(record.offset, record.id, lease, grant),
            Kind::Renew(renewal) => self.renew(record.offset, record.id, lease, renewal.fence),
            Kind::Mark => Outcome::Ignored,
            Kind::Release(release) => self.release(record.offset, record.id, lease, release.fence),
        })
    }

    /// Returns the present state of a lease.
    pub fn get(&self, lease: &str) -> Option<&Current> {
        self.leases.get(lease)
    }

    /// Returns whether the state of a lease is known, so that an instance may ask for it.
    pub fn knows(&self, lease: &str) -> bool {
        let forgotten = |since: &Wall| self.prefix.clock().since(*since) > FORGET_AFTER;
        let proven = match self.prefix.since() {
            Some(Wall(0)) => true,
            Some(since) => forgotten(&since),
            None => false,
        };
        self.leases.contains_key(lease) || proven && !self.strangers.contains_key(lease)
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
        let lasts = |current: &Current| match current.released {
            true => Duration::ZERO,
            false => current.longest,
        };
        let before = current.map(lasts);
        let next = Current {
            fence: offset,
            last: offset,
            incarnation: id.incarnation,
            instance: grant.instance,
            length: grant.length,
            longest: grant.length.max(before.unwrap_or_default()),
            written: self.prefix.clock(),
            released: false,
        };
        self.leases.insert(lease.clone(), next);
        Outcome::Granted { lease, before }
    }

    /// Drops leases that have been without records for long.
    fn forget(&mut self) {
        let clock = self.prefix.clock();
        self.leases.retain(|_, current| clock.since(current.written) <= FORGET_AFTER);
        self.strangers.retain(|_, last| clock.since(*last) <= FORGET_AFTER);
        self.seen.expire(Wall(clock.0.saturating_sub(FORGET_AFTER.as_millis() as u64)));
    }

    fn renew(&mut self, offset: Offset, id: RecordId, lease: String, fence: Offset) -> Outcome {
        let clock = self.prefix.clock();
        match self.held(id, &lease, fence) {
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
        match self.held(id, &lease, fence) {
            Some(current) => {
                current.last = offset;
                current.written = clock;
                current.released = true;
                Outcome::Released(lease)
            }
            None => Outcome::Refused(lease),
        }
    }

    fn held(&mut self, id: RecordId, lease: &str, fence: Offset) -> Option<&mut Current> {
        let current = self.leases.get_mut(lease)?;
        let holds = current.fence == fence && current.incarnation == id.incarnation;
        (holds && !current.released).then_some(current)
    }
}
