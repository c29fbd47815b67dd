//! The health record of an upstream.

use std::time::Duration;

use goldcrestvale_base::{
    id::{Domain, Incarnation},
    time::Instant,
};

use super::Settings;

/// The health record of one incarnation of an upstream.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) incarnation: Incarnation,
    pub(super) domain: Domain,
    pub(super) leaving: bool,
    /// Whether step times are far above the expected ones.
    pub(super) slow: bool,
    /// The later of the join and the end of the last ejection.
    active_since: Instant,
    consecutive_failures: u32,
    answers: u32,
    ejections: u32,
    /// Moving average of the ratio of actual to expected step time.
    ratio: f64,
}

impl Record {
    pub(super) fn new(incarnation: Incarnation, domain: Domain, active_since: Instant) -> Self {
        Self {
            incarnation,
            domain,
            leaving: false,
            slow: false,
            active_since,
            consecutive_failures: 0,
            answers: 0,
            ejections: 0,
            ratio: 1.0,
        }
    }

    /// Returns whether the upstream is ejected.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        now < self.active_since
    }

    /// Returns whether enough consecutive failures occurred for an ejection.
    pub(super) fn has_failed(&self, settings: &Settings) -> bool {
        self.consecutive_failures >= settings.failures.max(1)
    }

    /// Returns the factor by which steps exceed the expected time, at least 1.
    pub(super) fn slowdown(&self) -> f64 {
        self.ratio.max(1.0)
    }

    /// Returns the share of its full load that the upstream should get.
    pub(super) fn share(&self, now: Instant, settings: &Settings) -> f64 {
        if self.leaving || self.is_ejected(now) {
            return 0.0;
        }
        let ramp_secs = settings.slow_start.as_secs_f64();
        let ramp = if ramp_secs > 0.0 {
            now.since(self.active_since).as_secs_f64() / ramp_secs
        } else {
            1.0
        };
        (settings.start_share + (1.0 - settings.start_share) * ramp).clamp(0.0, 1.0)
    }

    pub(super) fn add_answer(
        &mut self,
        now: Instant,
        took: Duration,
        expected: Duration,
        settings: &Settings,
    ) {
        self.consecutive_failures = 0;
        self.answers = self.answers.saturating_add(1);
        let expected = expected.max(settings.expected_floor).as_secs_f64().max(f64::EPSILON);
        let ratio = took.as_secs_f64() / expected;
        self.ratio += settings.smoothing * (ratio - self.ratio);
        self.slow = self.answers >= settings.samples && self.ratio > settings.slow;
        if now.since(self.active_since) > settings.ejection_ceiling {
            self.ejections = 0;
        }
    }

    pub(super) fn add_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Ejects the upstream, resets its failures and times, and returns the end of the ejection.
    pub(super) fn eject(&mut self, now: Instant, settings: &Settings) -> Instant {
        let factor = 1_u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let length = settings.ejection.saturating_mul(factor).min(settings.ejection_ceiling);
        self.ejections = self.ejections.saturating_add(1);
        self.active_since = now + length;
        self.consecutive_failures = 0;
        self.answers = 0;
        self.ratio = 1.0;
        self.slow = false;
        self.active_since
    }
}
