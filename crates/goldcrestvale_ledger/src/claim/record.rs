use goldcrestvale_base::{
    domain,
    id::{Customer, Digest, Instance, Key, Offset, Service},
};

/// Version of the schema of claim records that this package writes and reads.
pub const SCHEMA: u32 = 1;

domain! {
    value
    /// A record of a claim stream.
    ///
    /// The incarnation in the identity of a record identifies the process that wrote it.
    pub struct Record {
        /// Version of the schema.
        pub schema: u32,
        /// The content.
        #[serde(flatten)]
        pub kind: Kind,
    }

    /// The content of a record of a claim stream.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Kind {
        /// Requests the right to run the call of a key.
        Claim(Intent),
        /// Gives up a claim that won and was never dispatched.
        Abandon(Abandonment),
        /// Reports that the call of a claim ran.
        Settle(Settlement),
        /// Has no effect on claims; lets readers of an idle stream learn the time of the log.
        Mark,
    }

    /// The call that a claim is made for.
    pub struct Intent {
        /// The idempotency key.
        pub key: Key,
        /// The customer.
        pub customer: Customer,
        /// The service.
        pub service: Service,
        /// Digest of the request.
        pub digest: Digest,
        /// Name of the claiming instance.
        pub instance: Instance,
    }

    /// A claim that was given up before it was dispatched.
    pub struct Abandonment {
        /// The idempotency key.
        pub key: Key,
        /// Offset of the claim.
        pub claim: Offset,
    }

    /// A claim whose call ran and was answered.
    pub struct Settlement {
        /// The idempotency key.
        pub key: Key,
        /// Offset of the claim.
        pub claim: Offset,
        /// HTTP status of the answer.
        pub status: u16,
    }
}

impl Record {
    /// Creates a record of the current schema.
    pub fn new(kind: Kind) -> Self {
        Self { schema: SCHEMA, kind }
    }

    /// Serializes the record as JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_ledger::claim::{Kind, Record};
    ///
    /// assert_eq!(Record::new(Kind::Mark).to_json(), r#"{"schema":1,"kind":"mark"}"#);
    /// ```
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("claim records hold only strings and numbers")
    }
}

/// The result of parsing a record.
pub(super) enum Parsed {
    /// A record of the current schema.
    Known(Kind),
    /// A record of a newer schema, which may contain a claim.
    Later,
    /// Not a record of any schema.
    Foreign,
}

#[derive(serde::Deserialize)]
struct Header {
    schema: u32,
}

pub(super) fn parse(data: &str) -> Parsed {
    match serde_json::from_str::<Header>(data) {
        Ok(Header { schema }) if schema > SCHEMA => Parsed::Later,
        Ok(_) => serde_json::from_str::<Record>(data)
            .map_or(Parsed::Foreign, |record| Parsed::Known(record.kind)),
        Err(_) => Parsed::Foreign,
    }
}
