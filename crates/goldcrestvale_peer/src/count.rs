//! Counters of the connections, for metrics and the dump.

use std::sync::atomic::{AtomicU64, Ordering};

use goldcrestvale_wire::codec;

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counters that the tasks update.
        #[derive(Debug, Default)]
        pub struct Counts {
            $($(#[$doc])* pub $name: Counter,)+
        }

        goldcrestvale_base::domain! {
            value
            /// The values of all counters at one point in time.
            #[derive(Default)]
            pub struct Values {
                $($(#[$doc])* pub $name: u64,)+
            }
        }

        impl Counts {
            /// Reads all counters.
            pub fn values(&self) -> Values {
                Values { $($name: self.$name.get(),)+ }
            }
        }

        impl Values {
            /// Returns the counters by name.
            pub fn named(&self) -> Vec<NamedValue> {
                vec![$(NamedValue { name: stringify!($name), value: self.$name },)+]
            }
        }
    };
}

counts! {
    /// Connections established.
    connections,
    /// Connections that ended.
    disconnections,
    /// Attempts to connect that failed.
    dial_failures,
    /// Connections that failed the handshake.
    refused,
    /// Connections closed because the connection limit was reached.
    crowded,
    /// Frames sent.
    frames_out,
    /// Bytes sent, without TCP and IP headers.
    bytes_out,
    /// Frames received.
    frames_in,
    /// Bytes received, without TCP and IP headers.
    bytes_in,
    /// Frames of an unknown kind or version, skipped.
    unknown,
    /// Frames with a malformed body or field.
    broken,
    /// Frames longer than the limit.
    oversized,
    /// Frames with a wrong tag.
    forged,
    /// Connections that failed or timed out.
    failed,
    /// Messages dropped because a peer was slow.
    dropped,
    /// Connections closed because a peer was slow.
    slow,
    /// Queries sent to other instances.
    asks,
    /// Queries that got no answer.
    unanswered,
    /// Events of the daemon rejected because the channel was full.
    refused_events,
}

/// The value of one counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedValue {
    /// Name of the counter.
    pub name: &'static str,
    /// Its value.
    pub value: u64,
}

/// One counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn inc(&self) {
        self.inc_by(1);
    }

    /// Adds an amount.
    pub fn inc_by(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Reads the counter.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Counts {
    /// Counts an error that closed a connection.
    pub(crate) fn count_error(&self, error: &codec::Error) {
        match error {
            codec::Error::Oversized { .. } => &self.oversized,
            codec::Error::Tag { .. } => &self.forged,
            codec::Error::Body { .. } => &self.broken,
            codec::Error::Io { .. } => &self.failed,
        }
        .inc();
    }
}
