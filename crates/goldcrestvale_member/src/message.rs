//! Messages between instances, as typed values.

use goldcrestvale_base::{
    domain,
    id::{Incarnation, Offset},
};

use crate::{
    chain_limit::ChainLimits, customer_load::Loads, evidence::Evidence, identity::Identity,
    in_flight, leaving::Mark, limit, retry_loan::RetryLoans, silence::Silence,
};

domain! {
    copy
    /// The configuration that an instance has in force.
    pub struct Config {
        /// Its version.
        pub version: Offset,
        /// First 8 bytes of its digest.
        pub digest: u64,
    }

    /// The status that an instance reports with each heartbeat.
    #[derive(Default)]
    pub struct Status {
        /// Its configuration, if it has one.
        pub config: Option<Config>,
        /// Whether it accepts no new requests.
        pub draining: bool,
        /// Newest major schema version that it supports.
        pub schema: u32,
        /// Whether it is responsible for placing layers.
        pub leads: bool,
        /// Port on which it takes requests that peers pass on, if it reaches the upstreams.
        pub relay_port: Option<u16>,
    }

    /// A heartbeat.
    pub struct Heartbeat {
        /// Sequence number, which increases with each heartbeat of an incarnation.
        pub sequence: u64,
        /// Status of the sender.
        pub status: Status,
    }
}

domain! {
    value
    /// An entry of the sender's view, as it is gossiped.
    pub struct MemberRecord {
        /// The instance and its incarnation.
        pub who: Identity,
        /// Milliseconds since any instance received a message directly from it.
        pub age_ms: u64,
        /// Whether the incarnation has ended.
        pub gone: bool,
    }

    /// A message between two instances.
    #[serde(rename_all = "kebab-case")]
    pub enum Message {
        /// A heartbeat.
        Heartbeat(Heartbeat),
        /// The end of the sender's incarnation.
        Goodbye(Incarnation),
        /// Gossip: a sample of the sender's view.
        Members(Vec<MemberRecord>),
        /// Upstreams that accept no new work.
        Leaving(Vec<Mark>),
        /// Use of the customers' limits.
        Use(limit::Use),
        /// Work that the sender has in flight at upstreams.
        #[serde(rename = "sends")]
        InFlight(in_flight::Totals),
        /// Upstreams that must not be used for a while.
        Silent(Vec<Silence>),
        /// What the sender knows of prompts that crash engines.
        Evidence(Evidence),
        /// Streams of customers at the sender.
        CustomerLoad(Loads),
        /// Limits of chains that the sender learned, and its demand.
        ChainLimits(ChainLimits),
        /// Retries that the sender requests, lends or returns.
        RetryLoans(RetryLoans),
    }
}
