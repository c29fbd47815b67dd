//! The health monitor of a fleet.

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::{
    id::{Domain, Incarnation, Upstream},
    time::Instant,
};
use indexmap::IndexMap;
use smallvec::SmallVec;

use super::{Change, Outcome, Settings, record::Record};
use crate::draft::Fault;

/// Counts of the upstreams of a failure domain.
#[derive(Debug, Clone, Default)]
struct DomainHealth {
    members: usize,
    slow: usize,
    suspected: bool,
}

/// Changes caused by one observation.
pub type Changes = SmallVec<[Change; 1]>;

/// Tracks the health of the upstreams of a fleet and of the links to them.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{id::Incarnation, time::Instant};
/// use goldcrestvale_route::{draft::Fault, health::{Monitor, Outcome, Settings}};
///
/// let mut monitor = Monitor::new(Settings { ejected_share: 0.5, ..Settings::default() });
/// let (lost, other) = ("e1".parse()?, "e2".parse()?);
/// monitor.join(Instant(0), &lost, &"yeka".parse()?, Incarnation(1));
/// monitor.join(Instant(0), &other, &"yeka".parse()?, Incarnation(2));
/// for _ in 0..3 {
///     monitor.observe(Instant(10), &lost, Outcome::Failed(Fault::Lost));
/// }
/// assert!(!monitor.is_usable(Instant(11), &lost));
/// assert!(monitor.is_usable(Instant(11), &other));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Monitor {
    settings: Settings,
    records: IndexMap<Upstream, Record>,
    domains: BTreeMap<Domain, DomainHealth>,
}

impl Monitor {
    /// Creates a monitor for an empty fleet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, records: IndexMap::new(), domains: BTreeMap::new() }
    }

    /// Adds an upstream or a new incarnation of one; a known incarnation keeps its record.
    pub fn join(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        domain: &Domain,
        incarnation: Incarnation,
    ) {
        if self.records.get(upstream).is_some_and(|known| known.incarnation == incarnation) {
            return;
        }
        self.remove(upstream);
        self.domains.entry(domain.clone()).or_default().members += 1;
        let record = Record::new(incarnation, domain.clone(), now);
        self.records.insert(upstream.clone(), record);
    }

    /// Removes an upstream and its record.
    pub fn remove(&mut self, upstream: &Upstream) {
        let Some(record) = self.records.swap_remove(upstream) else { return };
        if let Some(domain_health) = self.domains.get_mut(&record.domain) {
            domain_health.members -= 1;
            domain_health.slow -= usize::from(record.slow);
            if domain_health.members == 0 {
                self.domains.remove(&record.domain);
            }
        }
    }

    /// Removes the upstreams for which the predicate returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&Upstream) -> bool) {
        let removed: Vec<_> = self.records.keys().filter(|name| !keep(name)).cloned().collect();
        removed.iter().for_each(|upstream| self.remove(upstream));
    }

    /// Marks an incarnation of an upstream as leaving until another incarnation replaces it.
    pub fn leave(&mut self, upstream: &Upstream, incarnation: Incarnation) -> Option<Change> {
        let record = self.records.get_mut(upstream)?;
        if record.incarnation != incarnation || record.leaving {
            return None;
        }
        record.leaving = true;
        Some(Change::Leaving { upstream: upstream.clone() })
    }

    /// Records the outcome of a step at an upstream.
    pub fn observe(&mut self, now: Instant, upstream: &Upstream, outcome: Outcome) -> Changes {
        let mut changes = Changes::new();
        let Some(record) = self.records.get_mut(upstream) else { return changes };
        let (domain, was_slow) = (record.domain.clone(), record.slow);
        match outcome {
            Outcome::Answered { took, expected } => {
                record.add_answer(now, took, expected, &self.settings);
            }
            Outcome::Failed(Fault::Lost | Fault::Timeout | Fault::Refused) => record.add_failure(),
            Outcome::Failed(Fault::Leaving) => {
                let incarnation = record.incarnation;
                changes.extend(self.leave(upstream, incarnation));
            }
            Outcome::Failed(Fault::Busy | Fault::NotHeld | Fault::Gap) => {}
        }
        changes.extend(self.evaluate_link(&domain, upstream, was_slow));
        changes.extend(self.evaluate(now, upstream));
        changes
    }

    /// Returns whether an upstream may get new work, which is also true for an unknown one.
    pub fn is_usable(&self, now: Instant, upstream: &Upstream) -> bool {
        let usable = |record: &Record| !record.leaving && !record.is_ejected(now);
        self.records.get(upstream).is_none_or(usable)
    }

    /// Returns whether an upstream is temporarily excluded because it failed or is slow.
    pub fn is_ejected(&self, now: Instant, upstream: &Upstream) -> bool {
        self.records.get(upstream).is_some_and(|record| record.is_ejected(now))
    }

    /// Returns whether an upstream is leaving.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.records.get(upstream).is_some_and(|record| record.leaving)
    }

    /// Returns the upstreams that may get no new work.
    pub fn iter_unusable(&self, now: Instant) -> impl Iterator<Item = &Upstream> {
        self.records.keys().filter(move |upstream| !self.is_usable(now, upstream))
    }

    /// Returns the domains whose link is suspected.
    pub fn iter_slow_links(&self) -> impl Iterator<Item = &Domain> {
        self.domains
            .iter()
            .filter(|(_, domain_health)| domain_health.suspected)
            .map(|(domain, _)| domain)
    }

    /// Returns whether the link to a domain is suspected.
    pub fn is_link_slow(&self, domain: &Domain) -> bool {
        self.domains.get(domain).is_some_and(|domain_health| domain_health.suspected)
    }

    /// Returns the share of its full load that an upstream should get, from 0 to 1.
    pub fn share(&self, now: Instant, upstream: &Upstream) -> f64 {
        self.records.get(upstream).map_or(1.0, |record| record.share(now, &self.settings))
    }

    /// Returns the factor by which an upstream exceeds the step time expected of a healthy one.
    pub fn slowdown(&self, upstream: &Upstream) -> f64 {
        self.records.get(upstream).map_or(1.0, Record::slowdown)
    }

    /// Returns the planning cost of a step from the time expected of a healthy upstream, or `None`
    /// if the upstream may get no new work.
    pub fn cost(&self, now: Instant, upstream: &Upstream, expected: Duration) -> Option<Duration> {
        let share = self.share(now, upstream);
        (share > 0.0).then(|| expected.mul_f64(self.slowdown(upstream) / share))
    }

    /// Updates the count of slow upstreams and suspects or restores the link of the domain.
    fn evaluate_link(
        &mut self,
        domain: &Domain,
        upstream: &Upstream,
        was_slow: bool,
    ) -> Option<Change> {
        let slow = self.records.get(upstream)?.slow;
        let domain_health = self.domains.get_mut(domain)?;
        domain_health.slow = domain_health.slow + usize::from(slow) - usize::from(was_slow);
        let max_slow = domain_health.members as f64 * self.settings.link_share;
        let suspected = domain_health.slow > 1 && domain_health.slow as f64 > max_slow;
        if suspected == domain_health.suspected {
            return None;
        }
        domain_health.suspected = suspected;
        let domain = domain.clone();
        Some(if suspected { Change::LinkSlow { domain } } else { Change::LinkRestored { domain } })
    }

    /// Returns the maximum number of upstreams that may be ejected at once.
    fn max_ejected(&self) -> usize {
        let max_ejected = self.records.len() as f64 * self.settings.ejected_share;
        if max_ejected > 0.0 { (max_ejected as usize).max(1) } else { 0 }
    }

    /// Ejects an upstream that failed or is slow, unless too many are ejected already.
    fn evaluate(&mut self, now: Instant, upstream: &Upstream) -> Option<Change> {
        let record = self.records.get(upstream)?;
        let is_slow_alone = record.slow && !self.is_link_slow(&record.domain);
        if record.is_ejected(now) || !(is_slow_alone || record.has_failed(&self.settings)) {
            return None;
        }
        let ejected = self.records.values().filter(|record| record.is_ejected(now)).count();
        if ejected >= self.max_ejected() {
            return None;
        }
        let record = self.records.get_mut(upstream)?;
        let was_slow = record.slow;
        let until = record.eject(now, &self.settings);
        if let Some(domain_health) = self.domains.get_mut(&record.domain) {
            domain_health.slow -= usize::from(was_slow);
        }
        Some(Change::Ejected { upstream: upstream.clone(), until })
    }
}
