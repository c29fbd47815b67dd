//! Settings of the membership, with a builder.

use std::{net::SocketAddr, time::Duration};

use crate::identity::Identity;

/// Settings of one instance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::id::Incarnation;
/// use goldcrestvale_member::prelude::*;
///
/// let own = Identity {
///     instance: "bole-1".parse()?,
///     incarnation: Incarnation(1),
///     domain: "bole".parse()?,
///     address: "127.0.0.1:7000".parse().expect("an address"),
/// };
/// let settings = Settings::new(own).instances(4).heartbeat(Duration::from_millis(500));
/// assert_eq!(settings.suspect_after(), Duration::from_millis(1_250));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub own: Identity,
    /// Addresses to connect to before the platform's list is read.
    pub seeds: Vec<SocketAddr>,
    /// Number of instances that share a customer's limit until the platform's list is read.
    pub instances: u32,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Time between gossip messages about other instances.
    pub gossip: Duration,
    /// Maximum number of connections that this instance opens inside its failure domain.
    pub mesh_links: usize,
    /// Number of connections that this instance opens to other failure domains.
    pub cross_domain_links: usize,
    /// Whether this instance reports its work in flight to all failure domains, which is needed
    /// where upstreams take work from all of them.
    pub reports_to_all_domains: bool,
    /// Duration of a loan of a part of a limit.
    pub loan_duration: Duration,
}

impl Settings {
    /// Creates settings with the defaults.
    pub fn new(own: Identity) -> Self {
        Self {
            own,
            seeds: Vec::new(),
            instances: 1,
            heartbeat: Duration::from_secs(1),
            gossip: Duration::from_secs(5),
            mesh_links: 16,
            cross_domain_links: 3,
            reports_to_all_domains: false,
            loan_duration: Duration::from_secs(3),
        }
    }

    /// Sets the addresses to connect to before the platform's list is read.
    #[must_use]
    pub fn seeds(self, seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..self }
    }

    /// Sets the number of instances that share a limit until the platform's list is read.
    #[must_use]
    pub fn instances(self, instances: u32) -> Self {
        Self { instances: instances.max(1), ..self }
    }

    /// Sets the time between heartbeats.
    #[must_use]
    pub fn heartbeat(self, heartbeat: Duration) -> Self {
        Self { heartbeat, ..self }
    }

    /// Sets the time between gossip messages about other instances.
    #[must_use]
    pub fn gossip(self, gossip: Duration) -> Self {
        Self { gossip, ..self }
    }

    /// Sets the maximum number of connections inside the failure domain, and the number of
    /// connections to other domains.
    #[must_use]
    pub fn links(self, mesh_links: usize, cross_domain_links: usize) -> Self {
        Self { mesh_links, cross_domain_links, ..self }
    }

    /// Reports the work in flight of this instance to all failure domains.
    #[must_use]
    pub fn report_to_all_domains(self) -> Self {
        Self { reports_to_all_domains: true, ..self }
    }

    /// Sets the duration of a loan of a part of a limit.
    #[must_use]
    pub fn loan_duration(self, loan_duration: Duration) -> Self {
        Self { loan_duration, ..self }
    }

    /// Returns the time without a message after which a peer is suspected: 2.5 heartbeats.
    pub fn suspect_after(&self) -> Duration {
        self.heartbeat * 5 / 2
    }

    /// Returns the time without a message after which a peer counts as dead: 4 heartbeats.
    pub fn dead_after(&self) -> Duration {
        self.heartbeat * 4
    }

    /// Returns the age up to which gossip about an instance counts as activity: 24 gossip rounds.
    pub fn gossip_expires_after(&self) -> Duration {
        self.gossip * 24
    }

    /// Returns the time without activity after which an instance that is not listed is removed: 120
    /// gossip rounds.
    pub fn forget_after(&self) -> Duration {
        self.gossip * 120
    }
}
