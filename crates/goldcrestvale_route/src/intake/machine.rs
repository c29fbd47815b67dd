//! The limits of the machine that an instance runs on.

/// Descriptors that are not for sockets.
const FILE_DESCRIPTORS: u64 = 200;

/// Memory of an open connection, in bytes: its buffers, filled by a head that is not complete.
const CONNECTION_BYTES: u64 = 40 << 10;

/// Memory of a multiplexed connection beyond that, in bytes: its streams, their heads and the bytes
/// that no request has read yet.
const MULTIPLEXED_BYTES: u64 = 1 << 20;

goldcrestvale_base::domain! {
    copy
    /// Memory and descriptors that a process may use.
    ///
    /// A quarter of the memory is for callers' connections, a quarter for their requests and answers,
    /// and an eighth for what connections with several requests at once hold beyond that. The rest is
    /// for the process itself, its configuration, upstreams and peers. Callers' connections take at
    /// most half of the descriptors, since each request in progress may need a connection to an
    /// upstream, and connections from peers an eighth.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::intake::Machine;
    ///
    /// let machine = Machine { memory_bytes: 160_000_000, descriptors: 4_100 };
    /// assert_eq!(machine.request_bytes(), 40_000_000);
    /// assert_eq!(machine.connections(), 976);
    /// assert_eq!(machine.multiplexed_connections(), 19);
    /// assert_eq!(machine.peer_connections(), 487);
    /// ```
    pub struct Machine {
        /// Resident memory, in bytes.
        pub memory_bytes: u64,
        /// Open files and sockets.
        pub descriptors: u64,
    }
}

impl Default for Machine {
    fn default() -> Self {
        Self { memory_bytes: 256_000_000, descriptors: 4_096 }
    }
}

impl Machine {
    /// Returns the memory for callers' requests and answers, in bytes.
    pub fn request_bytes(&self) -> u64 {
        self.memory_bytes / 4
    }

    /// Returns the number of connections that callers may keep open.
    pub fn connections(&self) -> usize {
        let by_memory = self.memory_bytes / 4 / CONNECTION_BYTES;
        count(by_memory.min(self.sockets() / 2))
    }

    /// Returns how many of these connections may have several requests at once.
    pub fn multiplexed_connections(&self) -> usize {
        count(self.memory_bytes / 8 / MULTIPLEXED_BYTES).min(self.connections())
    }

    /// Returns the number of connections from peers, and from whoever connects to their address.
    pub fn peer_connections(&self) -> usize {
        count(self.sockets() / 8)
    }

    fn sockets(&self) -> u64 {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}

/// Returns a maximum of connections: at least one.
fn count(connections: u64) -> usize {
    usize::try_from(connections.max(1)).unwrap_or(usize::MAX)
}
