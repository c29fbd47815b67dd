//! Events that drive the membership state machine.

use std::net::SocketAddr;

use goldcrestvale_base::{
    customer_load::CustomerLoad,
    domain,
    id::{Customer, Incarnation, Instance, Upstream},
    retry_loan::Ask,
    time::Wall,
};

use crate::{
    chain_limit::ChainLimits,
    evidence::Evidence,
    identity::{Identity, Seed},
    in_flight::UpstreamWork,
    leaving::Mark,
    limit::Parts,
    message::{Message, Status},
    retry_loan::RetryLoans,
    silence::Silence,
};

domain! {
    value
    /// An event for [`Member`](crate::member::Member).
    #[serde(rename_all = "kebab-case")]
    pub enum Event {
        /// Time has passed.
        Tick,
        /// The platform's list was read and contains these entry instances.
        Listed(Vec<Seed>),
        /// A connection to a peer was established.
        Connected(Identity),
        /// An attempt to connect failed.
        DialFailed(SocketAddr),
        /// The connection to a peer ended.
        Disconnected {
            /// The peer.
            instance: Instance,
            /// Its incarnation on that connection.
            incarnation: Incarnation,
        },
        /// A message was received from a peer.
        #[serde(rename = "heard")]
        Received {
            /// The peer.
            from: Instance,
            /// The message.
            message: Message,
        },
        /// This instance's own status changed.
        Status(Status),
        /// A load report named the incarnation of an upstream.
        #[serde(rename = "seen")]
        IncarnationReported {
            /// The upstream.
            upstream: Upstream,
            /// Its incarnation.
            incarnation: String,
            /// Wall time of the report.
            at: Wall,
        },
        /// A source of this instance reported that an upstream is leaving.
        Leaving(Mark),
        /// This instance found that an upstream must not be used for a while.
        Silent(Silence),
        /// This instance learned something about prompts that crash engines.
        Evidence(Evidence),
        /// This instance learned limits of chains, or its demand changed.
        ChainLimits(ChainLimits),
        /// This instance requests retries of a few connected peers.
        RetryAsk {
            /// The request to each of them.
            ask: Ask,
            /// Number of peers.
            peers: u32,
        },
        /// This instance lends retries to a peer, or returns some.
        RetryLoans {
            /// The peer.
            to: Instance,
            /// The loans.
            loans: RetryLoans,
        },
        /// An upstream is no longer on the platform's list.
        Removed(Upstream),
        /// The demand of a customer at this instance, in parts of its limit.
        Demand {
            /// The customer.
            customer: Customer,
            /// The demand.
            parts: Parts,
        },
        /// Work that this instance has in flight at upstreams.
        #[serde(rename = "sent")]
        WorkInProgress(Vec<UpstreamWork>),
        /// Streams of customers at this instance, where services divide their places between them.
        CustomerLoads(Vec<CustomerLoad>),
        /// This instance shuts down.
        Stop,
    }
}
