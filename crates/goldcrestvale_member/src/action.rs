//! Actions that the membership requests from the tasks around it.

use std::net::SocketAddr;

use goldcrestvale_base::{
    domain,
    id::{Incarnation, Instance},
};

use crate::{
    chain_limit::ChainLimits,
    evidence::Evidence,
    identity::Identity,
    leaving::Mark,
    message::{Config, Message},
    retry_loan::RetryLoans,
    silence::Silence,
};

domain! {
    value
    /// An action for the tasks that own the connections.
    #[serde(rename_all = "kebab-case")]
    pub enum Action {
        /// Open a connection.
        Connect(SocketAddr),
        /// Close the connection to a peer.
        Close(Instance),
        /// Send a message over the connection to a peer.
        Send {
            /// The peer.
            to: Instance,
            /// The message.
            message: Message,
        },
        /// Notify the daemon.
        Notify(Notice),
    }

    /// A change that the daemon is notified of.
    #[serde(rename_all = "kebab-case")]
    pub enum Notice {
        /// A peer is live.
        Up(Identity),
        /// A peer missed heartbeats.
        Suspect(Instance),
        /// A peer missed so many heartbeats that it counts as dead.
        Dead(Instance),
        /// An incarnation of a peer ended: it shut down with a goodbye or was replaced.
        Gone {
            /// The peer.
            instance: Instance,
            /// The incarnation.
            incarnation: Incarnation,
        },
        /// An upstream accepts no new work.
        Leaving(Mark),
        /// A peer reported that an upstream must not be used for a while.
        Silent(Silence),
        /// A peer reported what it knows of prompts that crash engines.
        Evidence(Evidence),
        /// A peer reported limits of chains or its demand.
        ChainLimits {
            /// The peer.
            from: Instance,
            /// The report.
            limits: ChainLimits,
        },
        /// A peer requested, lent or returned retries.
        RetryLoans {
            /// The peer.
            from: Instance,
            /// What it requested, lent and returned.
            loans: RetryLoans,
        },
        /// A peer has a newer configuration, or another one under the same version.
        Config {
            /// The peer.
            instance: Instance,
            /// Whether the peer is in the own failure domain.
            is_near: bool,
            /// Its configuration.
            config: Config,
        },
    }
}
