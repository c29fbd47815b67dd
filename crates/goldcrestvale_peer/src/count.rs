//! Counters of the connections, for metrics and the dump.

use std::sync::atomic::{AtomicU64, Ordering};

use goldcrestvale_wire::codec;

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counters that tasks add to.
        #[derive(Debug, Default)]
        pub struct Counts {
            $($(#[$doc])* pub $name: Counter,)+
        }

        goldcrestvale_base::domain! {
            value
            /// The values of the counters at one time.
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
    /// Connections taken up.
    connections,
    /// Connections that ended.
    disconnections,
    /// Attempts to connect that failed.
    dial_failures,
    /// Connections closed during the handshake.
    refused,
    /// Connections not accepted because of the bound.
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
    /// Frames over the bound.
    oversized,
    /// Frames with a wrong tag.
    forged,
    /// Connections that failed or timed out.
    failed,
    /// Messages dropped because a peer was slow.
    dropped,
    /// Connections closed because a peer was slow.
    slow,
    /// Asks sent to other instances.
    asks,
    /// Asks that got no answer.
    unanswered,
    /// Events of the daemon that found the channel full.
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

    /// Adds several.
    pub fn inc_by(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Reads the counter.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Counts {
    /// Counts a fault that closed a connection.
    pub(crate) fn fault(&self, fault: &codec::Error) {
        match fault {
            codec::Error::Oversized { .. } => &self.oversized,
            codec::Error::Tag { .. } => &self.forged,
            codec::Error::Body { .. } => &self.broken,
            codec::Error::Io { .. } => &self.failed,
        }
        .inc();
    }
}
