//! Observed step outcomes and the resulting changes.

use std::time::Duration;

use goldcrestvale_base::{
    id::{Domain, Upstream},
    time::Instant,
};

use crate::draft::Fault;

/// The outcome of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The step was answered.
    Answered {
        /// Time from the request to the answer.
        took: Duration,
        /// Time expected of a healthy upstream.
        expected: Duration,
    },
    /// The step was not answered.
    Failed(Fault),
}

/// A change in the health of an upstream or a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The upstream gets no work until a given time.
    Ejected {
        /// Name of the upstream.
        upstream: Upstream,
        /// When it may get work again.
        until: Instant,
    },
    /// The upstream gets no new work in this incarnation.
    Leaving {
        /// Name of the upstream.
        upstream: Upstream,
    },
    /// Most upstreams of the domain are slow.
    LinkSlow {
        /// Name of the domain.
        domain: Domain,
    },
    /// Most upstreams of the domain are no longer slow.
    LinkRestored {
        /// Name of the domain.
        domain: Domain,
    },
}
