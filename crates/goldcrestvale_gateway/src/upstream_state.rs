//! What an instance believes of the upstreams.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use goldcrestvale_base::{
    id::{Domain, Upstream},
    time::Instant,
};
use goldcrestvale_route::{forward::Table, pipeline::is_partitioned};

use crate::{catalog::Catalog, port::Registration, view::View};

/// How long before the end of a silence the upstream is asked again.
const RECHECK: Duration = Duration::from_millis(700);

/// How often one of the silent upstreams of a failure domain that is cut off is asked: about a fifth of
/// a silence, so that a cut is over for it soon after its end.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);

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
    /// When a silent upstream of each failure domain was asked last.
    probed: HashMap<Domain, Instant>,
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

    /// Returns the silent upstreams that are to be asked again: each once before its silence ends, and
    /// in between one of each failure domain that is cut off.
    pub(crate) fn due_rechecks(&mut self, now: Instant) -> Vec<Upstream> {
        let mut due = Vec::new();
        let mut silent: BTreeMap<Domain, Vec<Upstream>> = BTreeMap::new();
        for ((upstream, trouble), span) in &mut self.troubled {
            if *trouble != Trouble::Silent || span.until <= now {
                continue;
            }
            if !span.rechecked && span.until.since(now) <= RECHECK {
                span.rechecked = true;
                due.push(upstream.clone());
            } else if let Some(registration) = self.catalog.get(upstream).filter(|r| r.ready) {
                silent.entry(registration.domain.clone()).or_default().push(upstream.clone());
            }
        }
        for (domain, mut upstreams) in silent {
            let is_staying =
                |r: &Registration| r.ready && r.holding.is_some() && r.domain == domain;
            let staying = self.catalog.iter().filter(|(r, _)| is_staying(r)).count();
            let probed = self.probed.entry(domain).or_insert(now);
            if is_partitioned(upstreams.len(), staying) && now.since(*probed) >= PROBE_PERIOD {
                *probed = now;
                upstreams.sort();
                // Another one each time: the last one may be dead.
                let turn = (now.0 / PROBE_PERIOD.as_micros() as u64) as usize;
                due.push(upstreams.swap_remove(turn % upstreams.len()));
            }
        }
        due
    }

    /// Uses a silent upstream again that answers, and has the others of its failure domain asked; returns
    /// whether it was silent.
    pub(crate) fn clear(&mut self, upstream: &Upstream, now: Instant) -> bool {
        let was_silent = self.troubled.remove(&(upstream.clone(), Trouble::Silent)).is_some();
        let domain = self.catalog.get(upstream).map(|registration| registration.domain.clone());
        if was_silent {
            for ((other, trouble), span) in &mut self.troubled {
                let other = self.catalog.get(other).map(|registration| &registration.domain);
                if *trouble == Trouble::Silent && other == domain.as_ref() {
                    span.until = span.until.min(now + RECHECK);
                    span.rechecked = false;
                }
            }
        }
        was_silent
    }

    /// Uses an upstream again that came back in a new life.
    pub(crate) fn forgive(&mut self, upstream: &Upstream) {
        self.avoided.remove(upstream);
        self.troubled.retain(|(troubled, _), _| troubled != upstream);
    }
}
