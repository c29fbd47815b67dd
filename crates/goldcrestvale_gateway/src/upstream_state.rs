//! The state of the upstreams, as far as an instance knows it.

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

/// How long before the end of a silent period the upstream is probed again.
const RECHECK_LEAD_TIME: Duration = Duration::from_millis(700);

/// Interval between probes of a silent upstream of an unreachable failure domain: about a fifth of
/// the silent period, so that the end of a partition is noticed soon.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// State of the upstreams that the snapshots are built from.
#[derive(Debug, Default)]
pub(crate) struct UpstreamState {
    pub(crate) catalog: Catalog,
    /// Time until which an upstream is avoided, because it or a chain through it failed.
    pub(crate) avoided: HashMap<Upstream, Instant>,
    /// Time until which an overloaded upstream wants no request of this instance.
    pub(crate) paused: HashMap<Upstream, Instant>,
    /// Time of the last rejection that an upstream was responsible for.
    pub(crate) last_rejections: HashMap<Upstream, Instant>,
    /// Faults of the upstreams and the periods for which they are assumed.
    pub(crate) faults: HashMap<(Upstream, FaultKind), FaultPeriod>,
    /// Time of the last probe of a silent upstream in each failure domain.
    last_probes: HashMap<Domain, Instant>,
}

/// A fault of an upstream that is shared with all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum FaultKind {
    /// It does not answer; streams in progress move off it at once.
    Silent,
    /// It answers but accepts no new work, like an upstream that is leaving.
    Refusing,
}

/// The period for which a fault is assumed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultPeriod {
    pub(crate) since: Instant,
    pub(crate) until: Instant,
    /// Whether the upstream was probed again before the end.
    pub(crate) rechecked: bool,
}

impl UpstreamState {
    pub(crate) fn view(&self, table: &Table, now: Instant) -> View {
        View::build(table, self, now)
    }

    /// Returns the silent upstreams that are due for a probe: each one once before its silent
    /// period ends, and in between one in each unreachable failure domain.
    pub(crate) fn due_rechecks(&mut self, now: Instant) -> Vec<Upstream> {
        let mut due = Vec::new();
        let mut silent: BTreeMap<Domain, Vec<Upstream>> = BTreeMap::new();
        for ((upstream, kind), period) in &mut self.faults {
            if *kind != FaultKind::Silent || period.until <= now {
                continue;
            }
            if !period.rechecked && period.until.since(now) <= RECHECK_LEAD_TIME {
                period.rechecked = true;
                due.push(upstream.clone());
            } else if let Some(registration) = self.catalog.get(upstream).filter(|r| r.ready) {
                silent.entry(registration.domain.clone()).or_default().push(upstream.clone());
            }
        }
        for (domain, mut upstreams) in silent {
            let is_ready_engine =
                |r: &Registration| r.ready && r.holding.is_some() && r.domain == domain;
            let ready_engines = self.catalog.iter().filter(|(r, _)| is_ready_engine(r)).count();
            let last_probe = self.last_probes.entry(domain).or_insert(now);
            if is_partitioned(upstreams.len(), ready_engines)
                && now.since(*last_probe) >= PROBE_INTERVAL
            {
                *last_probe = now;
                upstreams.sort();
                // A different one each time, since the previous one may be dead.
                let round = (now.0 / PROBE_INTERVAL.as_micros() as u64) as usize;
                due.push(upstreams.swap_remove(round % upstreams.len()));
            }
        }
        due
    }

    /// Clears the silence of an upstream that answers, and makes the silent ones of its failure
    /// domain due for a probe; returns whether it was silent.
    pub(crate) fn clear_silent(&mut self, upstream: &Upstream, now: Instant) -> bool {
        let was_silent = self.faults.remove(&(upstream.clone(), FaultKind::Silent)).is_some();
        let domain = self.catalog.get(upstream).map(|registration| registration.domain.clone());
        if was_silent {
            for ((other, kind), period) in &mut self.faults {
                let other = self.catalog.get(other).map(|registration| &registration.domain);
                if *kind == FaultKind::Silent && other == domain.as_ref() {
                    period.until = period.until.min(now + RECHECK_LEAD_TIME);
                    period.rechecked = false;
                }
            }
        }
        was_silent
    }

    /// Clears the faults of an upstream that restarted.
    pub(crate) fn reset(&mut self, upstream: &Upstream) {
        self.avoided.remove(upstream);
        self.paused.remove(upstream);
        self.faults.retain(|(faulty, _), _| faulty != upstream);
    }
}
