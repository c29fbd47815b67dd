//! Settings of the tasks, through a builder.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_member::settings::Settings as Membership;
use goldcrestvale_wire::{
    frame::{HEADER_BYTES, TAG_BYTES},
    key::Keyring,
};

/// Settings of the peer tasks.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Incarnation;
/// use goldcrestvale_member::{identity::Identity, settings::Settings as Membership};
/// use goldcrestvale_peer::settings::Settings;
/// use goldcrestvale_wire::key::{Keyring, Secret};
///
/// let own = Identity {
///     instance: "bole-1".parse()?,
///     incarnation: Incarnation(1),
///     domain: "bole".parse()?,
///     address: "127.0.0.1:7000".parse().expect("an address"),
/// };
/// let keys = Keyring::new(Secret::new([7; 32]));
/// let settings = Settings::new(Membership::new(own), keys).queue(64, 1 << 20);
/// assert_eq!(settings.listen.port(), 7000);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings of the membership.
    pub membership: Membership,
    /// Shared keys.
    pub keys: Keyring,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Moment at which the daemon's clock reads zero; else the start of the tasks.
    pub origin: Option<std::time::Instant>,
    /// Longest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Most messages that wait for one peer.
    pub queue_messages: usize,
    /// Most bytes that wait for one peer.
    pub queue_bytes: usize,
    /// Most connections that are accepted at once.
    pub max_connections: usize,
    /// Most asks that wait for an answer.
    pub max_queries: usize,
    /// Longest time to connect and to exchange the first frames.
    pub handshake_timeout: Duration,
    /// Longest time that one write to a peer may take.
    pub write_timeout: Duration,
    /// Longest time to wait for the answer to an ask.
    pub query_timeout: Duration,
    /// Longest time to pass the goodbye on at shutdown.
    pub goodbye_timeout: Duration,
}

impl Settings {
    /// Starts from the defaults; the listener takes the address that peers are told.
    pub fn new(membership: Membership, keys: Keyring) -> Self {
        Self {
            listen: membership.own.address,
            membership,
            keys,
            origin: None,
            max_frame_bytes: 1 << 20,
            queue_messages: 256,
            queue_bytes: 4 << 20,
            max_connections: 1_024,
            max_queries: 4_096,
            handshake_timeout: Duration::from_secs(3),
            write_timeout: Duration::from_secs(5),
            query_timeout: Duration::from_secs(3),
            goodbye_timeout: Duration::from_secs(1),
        }
    }

    /// Sets the address to listen on, where it is not the one that peers are told.
    #[must_use]
    pub fn listen(self, listen: SocketAddr) -> Self {
        Self { listen, ..self }
    }

    /// Sets the moment at which the daemon's clock reads zero, so that both clocks agree.
    #[must_use]
    pub fn origin(self, origin: std::time::Instant) -> Self {
        Self { origin: Some(origin), ..self }
    }

    /// Sets the longest frame.
    #[must_use]
    pub fn max_frame(self, max_frame_bytes: usize) -> Self {
        Self { max_frame_bytes, ..self }
    }

    /// Sets how many messages and bytes may wait for one peer.
    #[must_use]
    pub fn queue(self, queue_messages: usize, queue_bytes: usize) -> Self {
        Self { queue_messages, queue_bytes, ..self }
    }

    /// Sets how many connections are accepted, and how many asks wait for an answer.
    #[must_use]
    pub fn bounds(self, max_connections: usize, max_queries: usize) -> Self {
        Self { max_connections, max_queries, ..self }
    }

    /// Returns the longest body of a message.
    pub(crate) fn max_body(&self) -> usize {
        self.max_frame_bytes.saturating_sub(HEADER_BYTES + TAG_BYTES)
    }

    /// Sets the longest times for the first frames and for one write.
    #[must_use]
    pub fn link_timeouts(self, handshake_timeout: Duration, write_timeout: Duration) -> Self {
        Self { handshake_timeout, write_timeout, ..self }
    }

    /// Sets the longest time to wait for the answer to an ask.
    #[must_use]
    pub fn query_timeout(self, query_timeout: Duration) -> Self {
        Self { query_timeout, ..self }
    }
}
