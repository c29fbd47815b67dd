//! What instances tell each other, as typed values.

use goldcrestvale_base::{
    domain,
    id::{Incarnation, Offset},
};

use crate::{identity::Identity, in_flight, leaving::Mark, limit, silence::Silence};

domain! {
    copy
    /// The configuration that an instance has in force.
    pub struct Config {
        /// Its version.
        pub version: Offset,
        /// First 8 bytes of its digest.
        pub digest: u64,
    }

    /// What an instance says about itself with each heartbeat.
    #[derive(Default)]
    pub struct Status {
        /// Its configuration, if it has one.
        pub config: Option<Config>,
        /// Whether it takes no new requests.
        pub draining: bool,
        /// Newest major schema version that it reads.
        pub schema: u32,
        /// Whether it has the duty of placing layers.
        pub leads: bool,
    }

    /// A sign of life.
    pub struct Heartbeat {
        /// A number that grows with each heartbeat of an incarnation.
        pub sequence: u64,
        /// What the sender says about itself.
        pub status: Status,
    }
}

domain! {
    value
    /// An instance as another one knows it.
    pub struct MemberRecord {
        /// Who it is.
        pub who: Identity,
        /// Milliseconds since any instance heard from it directly.
        pub age_ms: u64,
        /// Whether the incarnation has ended.
        pub gone: bool,
    }

    /// A message between two instances.
    #[serde(rename_all = "kebab-case")]
    pub enum Message {
        /// A sign of life.
        Heartbeat(Heartbeat),
        /// The end of the sender's incarnation.
        Goodbye(Incarnation),
        /// Part of the sender's view.
        Members(Vec<MemberRecord>),
        /// Upstreams that take no new work.
        Leaving(Vec<Mark>),
        /// Use of the customers' limits.
        Use(limit::Use),
        /// Work that the sender has in progress at upstreams.
        #[serde(rename = "sends")]
        InFlight(in_flight::Totals),
        /// Upstreams that are to be left alone for a while.
        Silent(Vec<Silence>),
    }
}
