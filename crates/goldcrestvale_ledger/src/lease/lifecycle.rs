use std::time::Duration;

use goldcrestvale_base::{
    id::{Instance, Offset, RecordId},
    time::Instant,
};

use super::record::{Grant, Kind, Record, Release, Renewal};

/// The grant was passed to the log and has not been read back yet.
#[derive(Debug)]
pub struct Requested {
    grant: RecordId,
    unchanged_since: Instant,
}

/// The lease is granted, but the previous holder may still act.
#[derive(Debug)]
pub struct Waiting {
    fence: Offset,
    ready_at: Instant,
}

/// The lease is held.
#[derive(Debug)]
pub struct Held {
    fence: Offset,
}

/// The lease was released, lost or taken over.
#[derive(Debug)]
pub struct Ended;

/// A state in which the fencing number is known.
pub trait Granted {
    /// Returns the fencing number.
    fn fence(&self) -> Offset;
}

impl Granted for Waiting {
    fn fence(&self) -> Offset {
        self.fence
    }
}

impl Granted for Held {
    fn fence(&self) -> Offset {
        self.fence
    }
}

/// A lease at its candidate or holder.
///
/// Only a held lease permits orders:
///
/// ```compile_fail,E0599
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_ledger::lease::{Lease, Waiting};
///
/// fn early(lease: &Lease<Waiting>) -> bool {
///     lease.is_valid_for(Instant(0), Duration::from_secs(1))
/// }
/// ```
#[derive(Debug)]
#[must_use = "a lease that is dropped blocks other candidates until it expires"]
pub struct Lease<S> {
    name: String,
    length: Duration,
    deadline: Instant,
    /// Sequence number of the record that renews the lease, and the time before its append.
    renewal: Option<(u64, Instant)>,
    state: S,
}

/// A request for a lease, before it is written to the log.
#[derive(Debug, Clone)]
pub struct Request {
    /// Name of the lease.
    pub name: String,
    /// Instance of the candidate.
    pub instance: Instance,
    /// Validity of the lease after its grant or its last renewal.
    pub length: Duration,
    /// Offset of the last record of the lease that the candidate has read.
    pub after: Option<Offset>,
    /// Time at which the candidate read that record or started to read the stream.
    pub unchanged_since: Instant,
}

impl Lease<Requested> {
    /// Creates the record that requests a lease; must be called before the append starts.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_base::{id::{Incarnation, Offset, RecordId}, time::Instant};
    /// use goldcrestvale_ledger::lease::{Lease, Request};
    ///
    /// let request = Request {
    ///     name: "orders".into(),
    ///     instance: "yeka-1".parse()?,
    ///     length: Duration::from_secs(10),
    ///     after: None,
    ///     unchanged_since: Instant(0),
    /// };
    /// let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
    /// let delay = Duration::from_secs(2);
    /// let (requested, _record) = Lease::request(&request, id, Instant(0));
    /// let waiting = requested.granted(Offset(7), None, delay);
    /// let waiting = waiting.try_hold(Instant(60_000)).expect_err("the old lease may still last");
    /// # let _ = waiting.end();
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    pub fn request(request: &Request, id: RecordId, now: Instant) -> (Self, Record) {
        let grant = Grant {
            instance: request.instance.clone(),
            length: request.length,
            after: request.after,
        };
        let lease = Self {
            name: request.name.clone(),
            length: request.length,
            deadline: now + request.length,
            renewal: None,
            state: Requested { grant: id, unchanged_since: request.unchanged_since },
        };
        (lease, Record::new(&*request.name, Kind::Grant(grant)))
    }

    /// Returns the identity of the record that requests the lease.
    pub fn grant(&self) -> RecordId {
        self.state.grant
    }

    /// Marks the lease as granted, once its record was read and was valid.
    ///
    /// The previous holder measures its lease from before the append of its last record, so that
    /// lease has expired once its length has passed since that record was read here.
    /// `previous_length` is the length of the lease that was taken over; if it is not known, the
    /// length of this lease is used. `order_delay` is the maximum time that an order takes to
    /// arrive.
    pub fn granted(
        self,
        fence: Offset,
        previous_length: Option<Duration>,
        order_delay: Duration,
    ) -> Lease<Waiting> {
        let ready_at =
            self.state.unchanged_since + previous_length.unwrap_or(self.length) + order_delay;
        self.into_state(Waiting { fence, ready_at })
    }

    /// Ends a request that was refused.
    pub fn refused(self) -> Lease<Ended> {
        self.into_state(Ended)
    }
}

impl Lease<Waiting> {
    /// Holds the lease if the previous one has expired and its last order has arrived.
    ///
    /// # Errors
    ///
    /// Returns the lease unchanged if it is too early.
    pub fn try_hold(self, now: Instant) -> Result<Lease<Held>, Self> {
        if now < self.state.ready_at {
            return Err(self);
        }
        let fence = self.state.fence;
        Ok(self.into_state(Held { fence }))
    }

    /// Returns the time at which the lease can be held.
    pub fn ready(&self) -> Instant {
        self.state.ready_at
    }
}

impl Lease<Held> {
    /// Returns whether an order that takes up to `order_delay` arrives before the lease expires.
    pub fn is_valid_for(&self, now: Instant, order_delay: Duration) -> bool {
        now + order_delay < self.deadline
    }

    /// Releases the lease; every order must have been answered or its maximum delay have passed.
    pub fn release(self) -> (Lease<Ended>, Record) {
        let release = Release { fence: self.state.fence };
        let record = Record::new(&*self.name, Kind::Release(release));
        (self.into_state(Ended), record)
    }
}

impl<S: Granted> Lease<S> {
    /// Returns the fencing number.
    pub fn fence(&self) -> Offset {
        self.state.fence()
    }

    /// Creates the record that renews the lease; must be called before the append starts.
    pub fn renew(&mut self, id: RecordId, now: Instant) -> Record {
        self.renewal = Some((id.sequence, now));
        Record::new(&*self.name, Kind::Renew(Renewal { fence: self.state.fence() }))
    }

    /// Returns the time just before the append of the last grant or renewal.
    pub fn requested_at(&self) -> Instant {
        self.renewal.map_or(self.deadline - self.length, |(_, requested_at)| requested_at)
    }

    /// Extends the lease, once the record of its renewal was read and was valid.
    pub fn renewed(&mut self, id: RecordId) {
        if let Some((_, requested_at)) =
            self.renewal.take_if(|(renewal, _)| *renewal == id.sequence)
        {
            self.deadline = self.deadline.max(requested_at + self.length);
        }
    }

    /// Ends a lease that expired or was taken over.
    pub fn end(self) -> Lease<Ended> {
        self.into_state(Ended)
    }
}

impl<S> Lease<S> {
    /// Returns the name of the lease.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the time at which the lease expires on the holder's own clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    fn into_state<T>(self, state: T) -> Lease<T> {
        let Self { name, length, deadline, renewal, .. } = self;
        Lease { name, length, deadline, renewal, state }
    }
}
