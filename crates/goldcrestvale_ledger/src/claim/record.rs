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
    /// The process that wrote a record is the incarnation in the record's identity.
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
        /// Asks for the right to run the call of a key.
        Claim(Intent),
        /// Gives up a claim that was won and never dispatched.
        Abandon(Abandonment),
        /// Says that the call of a claim ran.
        Settle(Settlement),
        /// Changes nothing; it lets a reader of an idle stream learn the time of the log.
        Mark,
    }

    /// The call that a claim is about.
    pub struct Intent {
        /// The idempotency key.
        pub key: Key,
        /// The customer.
        pub customer: Customer,
        /// The service.
        pub service: Service,
        /// Digest of the request.
        pub digest: Digest,
        /// Name of the instance that claims.
        pub instance: Instance,
    }

    /// A claim given up before it was dispatched.
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
    /// Wraps content in a record of the present schema.
    pub fn new(kind: Kind) -> Self {
        Self { schema: SCHEMA, kind }
    }

    /// Returns the record as JSON.
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

/// A record as far as this build can read it.
pub(super) enum Parsed {
    /// A record of the present schema.
    Known(Kind),
    /// A record of a later schema, which may hold a claim.
    Later,
    /// No record of any schema.
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
