//! What is known of one upstream.

use std::time::Duration;

use goldcrestvale_base::{
    id::{Domain, Incarnation},
    time::Instant,
};

use super::Settings;

/// The record of one incarnation of an upstream.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) incarnation: Incarnation,
    pub(super) domain: Domain,
    pub(super) leaving: bool,
    /// Whether its times are far above the expected ones.
    pub(super) slow: bool,
    /// When it gets or got work again: the later of joining and the end of an ejection.
    since: Instant,
    failures: u32,
    answers: u32,
    ejections: u32,
    /// Moving average of time taken over time expected.
    ratio: f64,
}

impl Record {
    pub(super) fn new(incarnation: Incarnation, domain: Domain, since: Instant) -> Self {
        Self {
            incarnation,
            domain,
            leaving: false,
            slow: false,
            since,
            failures: 0,
            answers: 0,
            ejections: 0,
            ratio: 1.0,
        }
    }

    /// Returns whether the upstream is ejected.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        now < self.since
    }

    /// Returns whether failures in a row demand an ejection.
    pub(super) fn has_failed(&self, settings: &Settings) -> bool {
        self.failures >= settings.failures.max(1)
    }

    /// Returns by what the expected time is to be multiplied.
    pub(super) fn slowdown(&self) -> f64 {
        self.ratio.max(1.0)
    }

    /// Returns the share of its full load that the upstream is to get.
    pub(super) fn share(&self, now: Instant, settings: &Settings) -> f64 {
        if self.leaving || self.is_ejected(now) {
            return 0.0;
        }
        let start = settings.slow_start.as_secs_f64();
        let grown = if start > 0.0 { now.since(self.since).as_secs_f64() / start } else { 1.0 };
        (settings.start_share + (1.0 - settings.start_share) * grown).clamp(0.0, 1.0)
    }

    pub(super) fn answer(
        &mut self,
        now: Instant,
        took: Duration,
        expected: Duration,
        settings: &Settings,
    ) {
        self.failures = 0;
        self.answers = self.answers.saturating_add(1);
        let expected = expected.max(settings.expected_floor).as_secs_f64().max(f64::EPSILON);
        let ratio = took.as_secs_f64() / expected;
        self.ratio += settings.smoothing * (ratio - self.ratio);
        self.slow = self.answers >= settings.samples && self.ratio > settings.slow;
        if now.since(self.since) > settings.ejection_ceiling {
            self.ejections = 0;
        }
    }

    pub(super) fn fail(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Ejects the upstream and forgets its times; returns when it gets work again.
    pub(super) fn eject(&mut self, now: Instant, settings: &Settings) -> Instant {
        let factor = 1_u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let span = settings.ejection.saturating_mul(factor).min(settings.ejection_ceiling);
        self.ejections = self.ejections.saturating_add(1);
        self.since = now + span;
        self.failures = 0;
        self.answers = 0;
        self.ratio = 1.0;
        self.slow = false;
        self.since
    }
}
