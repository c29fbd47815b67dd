use std::time::Duration;

use goldcrestvale_base::{
    domain,
    id::{Instance, Offset},
};

/// Version of the schema of lease records that this package writes and reads.
pub const SCHEMA: u32 = 1;

domain! {
    value
    /// A record of the lease stream.
    ///
    /// The incarnation in the identity of a record identifies the process that wrote it.
    pub struct Record {
        /// Version of the schema.
        pub schema: u32,
        /// Name of the lease.
        pub lease: String,
        /// The content.
        #[serde(flatten)]
        pub kind: Kind,
    }

    /// The content of a record of the lease stream.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Kind {
        /// Acquires the lease.
        Grant(Grant),
        /// Renews the lease.
        Renew(Renewal),
        /// Releases the lease.
        Release(Release),
        /// Has no effect on leases; lets readers of an idle stream learn the time of the log.
        Mark,
    }

    /// A request of a candidate to hold the lease.
    pub struct Grant {
        /// Name of the candidate's instance.
        pub instance: Instance,
        /// Validity of the lease after its grant or its last renewal.
        pub length: Duration,
        /// Offset of the last record of the lease that the candidate has read.
        pub after: Option<Offset>,
    }

    /// A renewal by the holder.
    pub struct Renewal {
        /// Fencing number of the lease.
        pub fence: Offset,
    }

    /// A release by the holder.
    pub struct Release {
        /// Fencing number of the lease.
        pub fence: Offset,
    }
}

impl Record {
    /// Creates a record of the current schema.
    pub fn new(lease: impl Into<String>, kind: Kind) -> Self {
        Self { schema: SCHEMA, lease: lease.into(), kind }
    }

    /// Serializes the record as JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::id::Offset;
    /// use goldcrestvale_ledger::lease::{Kind, Record, Release};
    ///
    /// let record = Record::new("orders", Kind::Release(Release { fence: Offset(4) }));
    /// assert!(record.to_json().contains(r#""kind":"release""#));
    /// ```
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("lease records hold only strings and numbers")
    }
}
