//! What an instance believes of the upstreams.

use std::collections::HashMap;

use goldcrestvale_base::{id::Upstream, time::Instant};
use goldcrestvale_route::forward::Table;

use crate::{catalog::Catalog, view::View};

/// What the snapshot is built from.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub(crate) catalog: Catalog,
    /// Until when an upstream is left alone: it failed, or a chain through it did.
    pub(crate) avoided: HashMap<Upstream, Instant>,
    /// When an upstream was blamed last.
    pub(crate) blamed: HashMap<Upstream, Instant>,
    /// Until when an upstream counts as in trouble, and since when.
    pub(crate) troubled: HashMap<(Upstream, Trouble), Span>,
}

/// Trouble of an upstream that all instances know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Trouble {
    /// It does not answer: streams in progress leave it at once.
    Silent,
    /// It answers and takes no new work, as one that is leaving.
    Refusing,
}

/// When a trouble began and when it is forgotten.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    pub(crate) since: Instant,
    pub(crate) until: Instant,
    /// Whether it was asked again before the end.
    pub(crate) rechecked: bool,
}

impl Known {
    pub(crate) fn view(&self, table: &Table, now: Instant) -> View {
        View::build(table, &self.catalog, &self.avoided, &self.troubled, now)
    }

    /// Uses an upstream again that came back in a new life.
    pub(crate) fn forgive(&mut self, upstream: &Upstream) {
        self.avoided.remove(upstream);
        self.troubled.retain(|(troubled, _), _| troubled != upstream);
    }
}
