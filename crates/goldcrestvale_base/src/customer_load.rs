//! Streams of a customer at a service, as instances count and report them.

use crate::id::{Digest, Service};

crate::domain! {
    copy
    /// Short identifier of a customer: the first 4 bytes of the digest of its name.
    ///
    /// Customers whose identifiers collide count as one.
    #[serde(transparent)]
    pub struct CustomerHash(pub u32);

    /// Short identifier of a service: the first 4 bytes of the digest of its name.
    #[serde(transparent)]
    pub struct ServiceHash(pub u32);

    /// State of a stream that counts for its customer.
    #[serde(rename_all = "kebab-case")]
    pub enum Phase {
        /// It was sent to an upstream.
        Running,
        /// It waits for capacity.
        Waiting,
    }

    /// Number of streams of a customer at a service.
    #[derive(Default)]
    pub struct Count {
        /// Streams that run.
        pub running: u32,
        /// Streams that wait for capacity.
        pub waiting: u32,
    }

    /// The streams of one customer at one service.
    pub struct CustomerLoad {
        /// The customer.
        pub customer: CustomerHash,
        /// The service.
        pub service: ServiceHash,
        /// Its streams.
        pub count: Count,
    }
}

fn short_hash(name: &str) -> u32 {
    let Digest(bytes) = Digest::of(name.as_bytes());
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

impl CustomerHash {
    /// Returns the identifier of a customer. Streams without a customer count as one customer.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::customer_load::CustomerHash;
    ///
    /// assert_eq!(CustomerHash::of(None), CustomerHash::of(Some("")));
    /// assert_ne!(CustomerHash::of(Some("label-1")), CustomerHash::of(Some("label-2")));
    /// ```
    pub fn of(customer: Option<&str>) -> Self {
        Self(short_hash(customer.unwrap_or_default()))
    }
}

impl ServiceHash {
    /// Returns the identifier of a service.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::customer_load::ServiceHash;
    ///
    /// assert_eq!(ServiceHash::of(&"drafts".parse()?), ServiceHash::of(&"drafts".parse()?));
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    pub fn of(service: &Service) -> Self {
        Self(short_hash(service.as_str()))
    }
}

impl Count {
    /// Returns the number of streams.
    pub fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns whether there are no streams.
    pub fn is_empty(self) -> bool {
        self.total() == 0
    }

    /// Returns the number of streams in a phase.
    pub fn phase_mut(&mut self, phase: Phase) -> &mut u32 {
        match phase {
            Phase::Running => &mut self.running,
            Phase::Waiting => &mut self.waiting,
        }
    }

    /// Returns the sum of two counts.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::customer_load::Count;
    ///
    /// let sum = Count { running: 2, waiting: 1 }.plus(Count { running: 3, waiting: 0 });
    /// assert_eq!(sum.total(), 6);
    /// ```
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }

    /// Returns the count multiplied by a factor, rounded down.
    pub fn scaled(self, factor: f64) -> Self {
        let scale = |count: u32| (f64::from(count) * factor) as u32;
        Self { running: scale(self.running), waiting: scale(self.waiting) }
    }
}
