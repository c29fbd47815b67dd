//! The streams in progress of this instance, and the load and pulse of the chains.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use goldcrestvale_base::{
    id::{Service, Upstream},
    time::Instant,
};
use goldcrestvale_route::pipeline::{Activity, Chain, Limit, Load, PeerLoad, Report};
use tokio::sync::Notify;

/// The streams in progress.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    streams: HashMap<u64, Stream>,
    heads: HashMap<Upstream, HeadState>,
}

/// A stream in progress.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    /// Identifier of the attempt, as the first engine knows it.
    pub(crate) id: String,
    pub(crate) service: Service,
    /// The chain that it passes through now.
    pub(crate) line: Arc<Chain>,
    /// Asks its task to go on elsewhere.
    pub(crate) resume: Arc<Notify>,
    /// Whether it may run at one more upstream.
    pub(crate) may_resume: bool,
    /// When its last event came, or when it was sent.
    pub(crate) last_event: Instant,
}

#[derive(Debug, Default)]
struct HeadState {
    reported: Option<Report>,
    limit: Option<Limit>,
    pulse: Activity,
    surge: PeerLoad,
}

/// A place in the registry, given back when dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    number: u64,
    head: Upstream,
    registry: Arc<Registry>,
    pub(crate) resume: Arc<Notify>,
}

impl Registry {
    /// Enters a stream that is about to be sent.
    pub(crate) fn enter(
        self: &Arc<Self>,
        id: &str,
        service: &Service,
        line: &Arc<Chain>,
        may_resume: bool,
        now: Instant,
    ) -> Ticket {
        let resume = Arc::new(Notify::new());
        let head = line.head().upstream.clone();
        let mut state = self.lock();
        state.next += 1;
        let number = state.next;
        let stream = Stream {
            id: id.to_owned(),
            service: service.clone(),
            line: line.clone(),
            resume: resume.clone(),
            may_resume,
            last_event: now,
        };
        state.streams.insert(number, stream);
        let known = state.heads.entry(head.clone()).or_default();
        known.pulse.start(now);
        known.surge.record(now);
        Ticket { number, head, registry: self.clone(), resume }
    }

    /// Returns the load of a chain, by its first engine, where `others` of `instances` were told.
    pub(crate) fn load(&self, head: &Upstream, others: u32, instances: u32, now: Instant) -> Load {
        let state = self.lock();
        let head = state.heads.get(head);
        let load = Load { others, ..Load::default() };
        head.map_or(load, |head| {
            let own = head.pulse.streams();
            let unreported = head.surge.unreported(own, instances, now);
            Load { own, reported: head.reported, limit: head.limit, unreported, ..load }
        })
    }

    /// Notes what a first engine reported of its load.
    pub(crate) fn report(&self, head: &Upstream, load: crate::port::Load, now: Instant) {
        let mut state = self.lock();
        let head = state.heads.entry(head.clone()).or_default();
        let own = head.pulse.streams();
        head.reported = Some(Report { streams: load.running + load.waiting, own, at: now });
    }

    /// Learns from a refusal how many streams a chain holds.
    pub(crate) fn limit(&self, head: &Upstream, streams: u32, now: Instant) {
        let mut state = self.lock();
        let head = state.heads.entry(head.clone()).or_default();
        head.limit = Some(Limit { streams, at: now });
    }

    /// Returns the first engines whose chains have stopped.
    pub(crate) fn stopped(&self, now: Instant) -> Vec<Upstream> {
        let state = self.lock();
        let stopped = state.heads.iter().filter(|(_, head)| head.pulse.is_stalled(now));
        stopped.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Returns the streams that a predicate picks.
    pub(crate) fn find(&self, pick: impl Fn(&Stream) -> bool) -> Vec<(u64, Stream)> {
        let state = self.lock();
        let found = state.streams.iter().filter(|(_, stream)| pick(stream));
        found.map(|(number, stream)| (*number, stream.clone())).collect()
    }

    /// Notes that a stream passes through another chain with the same first engine.
    pub(crate) fn repath(&self, number: u64, line: Arc<Chain>) {
        if let Some(stream) = self.lock().streams.get_mut(&number) {
            stream.line = line;
        }
    }

    /// Returns the streams in progress by first engine.
    pub(crate) fn heads(&self) -> Vec<(Upstream, u32)> {
        let state = self.lock();
        let heads = state.heads.iter();
        heads.map(|(upstream, head)| (upstream.clone(), head.pulse.streams())).collect()
    }

    /// Returns the number of streams in progress.
    pub(crate) fn len(&self) -> usize {
        self.lock().streams.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ticket {
    /// Notes an event of the stream.
    pub(crate) fn beat(&self, now: Instant) {
        let mut state = self.registry.lock();
        if let Some(stream) = state.streams.get_mut(&self.number) {
            stream.last_event = now;
        }
        if let Some(head) = state.heads.get_mut(&self.head) {
            head.pulse.record(now);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.streams.remove(&self.number);
        if let Some(head) = state.heads.get_mut(&self.head) {
            head.pulse.end();
        }
    }
}
