//! Settings of the peer tasks, with a builder.

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
    /// Time at which the daemon's clock reads zero, or `None` for the start of the tasks.
    pub origin: Option<std::time::Instant>,
    /// Maximum length of a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of messages queued for one peer.
    pub queue_messages: usize,
    /// Maximum size of the messages queued for one peer, in bytes.
    pub queue_bytes: usize,
    /// Maximum number of accepted connections at a time.
    pub max_connections: usize,
    /// Maximum number of queries that wait for an answer.
    pub max_queries: usize,
    /// Maximum time to connect and to exchange the first frames.
    pub handshake_timeout: Duration,
    /// Maximum time of one write to a peer.
    pub write_timeout: Duration,
    /// Maximum time to wait for the answer to a query.
    pub query_timeout: Duration,
    /// Maximum time to send the goodbye at shutdown.
    pub goodbye_timeout: Duration,
}

impl Settings {
    /// Creates settings with the defaults, which listen on the address that peers connect to.
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

    /// Sets the address to listen on, if it differs from the one that peers connect to.
    #[must_use]
    pub fn listen(self, listen: SocketAddr) -> Self {
        Self { listen, ..self }
    }

    /// Sets the time at which the daemon's clock reads zero, so that both clocks agree.
    #[must_use]
    pub fn origin(self, origin: std::time::Instant) -> Self {
        Self { origin: Some(origin), ..self }
    }

    /// Sets the maximum length of a frame, in bytes.
    #[must_use]
    pub fn max_frame(self, max_frame_bytes: usize) -> Self {
        Self { max_frame_bytes, ..self }
    }

    /// Sets the maximum number and size of the messages queued for one peer.
    #[must_use]
    pub fn queue(self, queue_messages: usize, queue_bytes: usize) -> Self {
        Self { queue_messages, queue_bytes, ..self }
    }

    /// Sets the maximum numbers of accepted connections and of pending queries.
    #[must_use]
    pub fn bounds(self, max_connections: usize, max_queries: usize) -> Self {
        Self { max_connections, max_queries, ..self }
    }

    /// Returns the maximum length of a message body, in bytes.
    pub(crate) fn max_body(&self) -> usize {
        self.max_frame_bytes.saturating_sub(HEADER_BYTES + TAG_BYTES)
    }

    /// Sets the timeouts of the handshake and of one write.
    #[must_use]
    pub fn link_timeouts(self, handshake_timeout: Duration, write_timeout: Duration) -> Self {
        Self { handshake_timeout, write_timeout, ..self }
    }

    /// Sets the maximum time to wait for the answer to a query.
    #[must_use]
    pub fn query_timeout(self, query_timeout: Duration) -> Self {
        Self { query_timeout, ..self }
    }
}
