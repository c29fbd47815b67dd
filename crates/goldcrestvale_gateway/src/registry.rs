//! The streams in progress of this instance, and the load and activity of the chains.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{
    id::{Service, Upstream},
    time::Instant,
};
use goldcrestvale_route::pipeline::{
    Activity, Backoff, Chain, Limit, Load, PeerLoad, PlaceShare, Report,
};
use tokio::sync::Notify;

use crate::{
    cost::{ChainCost, StreamCost},
    customer_load::LoadGuard,
};

/// Minimum interval between probes of all engines of a chain: longer than a stream stalls.
const CHAIN_PROBE_INTERVAL: Duration = Duration::from_millis(2_500);

/// The streams in progress.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
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
    pub(crate) chain: Arc<Chain>,
    /// Tells its task to resume the stream on another chain.
    pub(crate) resume: Arc<Notify>,
    /// Whether it may run on one more upstream.
    pub(crate) may_resume: bool,
    /// Time of its last event, or the time at which it was sent.
    pub(crate) last_event: Instant,
    /// The attempts to move it to another chain.
    pub(crate) moves: Backoff,
    /// Expected tokens, if its size is estimated.
    cost: Option<StreamCost>,
}

#[derive(Debug, Default)]
struct HeadState {
    reported: Option<Report>,
    limit: Option<Limit>,
    activity: Activity,
    peer_load: PeerLoad,
    /// Expected tokens of the streams whose sizes are estimated.
    cost: ChainCost,
    places: PlaceShare,
    /// Time of the last probe of all engines of the chain.
    probed_at: Option<Instant>,
}

/// Removes its stream from the registry when dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard {
    number: u64,
    /// First engine of the chain.
    pub(crate) head: Upstream,
    registry: Arc<Registry>,
    pub(crate) resume: Arc<Notify>,
    /// Counts the stream for its customer.
    _load: Option<LoadGuard>,
}

impl Registry {
    /// Registers a stream that is about to be sent.
    pub(crate) fn register(
        self: &Arc<Self>,
        id: &str,
        service: &Service,
        chain: &Arc<Chain>,
        may_resume: bool,
        load: Option<LoadGuard>,
        now: Instant,
    ) -> StreamGuard {
        let resume = Arc::new(Notify::new());
        let head = chain.head().upstream.clone();
        let mut state = self.lock();
        state.next_number += 1;
        let number = state.next_number;
        let stream = Stream {
            id: id.to_owned(),
            service: service.clone(),
            chain: chain.clone(),
            resume: resume.clone(),
            may_resume,
            last_event: now,
            moves: Backoff::default(),
            cost: None,
        };
        state.streams.insert(number, stream);
        let head_state = state.heads.entry(head.clone()).or_default();
        head_state.activity.start(now);
        head_state.peer_load.record(now);
        head_state.places.start(now);
        StreamGuard { number, head, registry: self.clone(), resume, _load: load }
    }

    /// Returns the load of a chain by its first engine; `peer_streams` is the number of streams
    /// that the other ones of `instances` reported for it.
    pub(crate) fn load(
        &self,
        head: &Upstream,
        peer_streams: u32,
        instances: u32,
        now: Instant,
    ) -> Load {
        let state = self.lock();
        let head = state.heads.get(head);
        let load = Load { others: peer_streams, ..Load::default() };
        head.map_or(load, |head| {
            let own = head.activity.streams();
            let unreported = head.peer_load.unreported(own, instances, now);
            Load { own, reported: head.reported, limit: head.limit, unreported, ..load }
        })
    }

    /// Returns the expected tokens of the streams in progress of this instance on a chain.
    pub(crate) fn cost(&self, head: &Upstream) -> ChainCost {
        self.lock().heads.get(head).map(|head| head.cost).unwrap_or_default()
    }

    /// Returns the number of streams in progress of this instance on a chain.
    pub(crate) fn own_streams(&self, head: &Upstream) -> u32 {
        self.lock().heads.get(head).map_or(0, |head| head.activity.streams())
    }

    /// Records the load that the first engine of a chain reported.
    pub(crate) fn record_load(&self, head: &Upstream, load: crate::port::Load, now: Instant) {
        let mut state = self.lock();
        let head = state.heads.entry(head.clone()).or_default();
        let own = head.activity.streams();
        head.reported = Some(Report { streams: load.running + load.waiting, own, at: now });
    }

    /// Records from a rejection how many streams a chain can hold.
    pub(crate) fn record_limit(&self, chain: &Chain, streams: u32, now: Instant) {
        let mut state = self.lock();
        let head = state.heads.entry(chain.head().upstream.clone()).or_default();
        head.limit = Some(Limit { streams, token_capacity: chain.token_capacity, at: now });
    }

    /// Applies a limit that a peer learned, where `streams` of all instances are counted on the
    /// chain; returns whether it is newer than the known one.
    pub(crate) fn apply_peer_limit(&self, head: &Upstream, limit: Limit, streams: u32) -> bool {
        let mut state = self.lock();
        let head = state.heads.entry(head.clone()).or_default();
        let applied = limit.from_peer(head.activity.streams(), streams, head.limit);
        head.limit = applied.or(head.limit);
        applied.is_some()
    }

    /// Returns the number of streams that this instance may send to a chain; see
    /// [`PlaceShare::places`].
    pub(crate) fn places(
        &self,
        head: &Upstream,
        max_streams: f64,
        streams: f64,
        part: f64,
        now: Instant,
        draw: f64,
    ) -> u32 {
        let mut state = self.lock();
        let head = state.heads.entry(head.clone()).or_default();
        head.places.places(max_streams, streams, part, now, draw)
    }

    /// Returns the first engines of the chains that are stalled.
    pub(crate) fn stalled_heads(&self, now: Instant) -> Vec<Upstream> {
        let state = self.lock();
        let stalled = state.heads.iter().filter(|(_, head)| head.activity.is_stalled(now));
        stalled.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Returns whether all engines of a stalled chain may be probed now, and records that they are.
    pub(crate) fn try_probe_chain(&self, head: &Upstream, now: Instant) -> bool {
        let mut state = self.lock();
        let Some(head) = state.heads.get_mut(head) else { return false };
        let is_due = head.probed_at.is_none_or(|at| now.since(at) >= CHAIN_PROBE_INTERVAL);
        if is_due {
            head.probed_at = Some(now);
        }
        is_due
    }

    /// Returns the streams that match a predicate.
    pub(crate) fn find(&self, predicate: impl Fn(&Stream) -> bool) -> Vec<(u64, Stream)> {
        let state = self.lock();
        let matching = state.streams.iter().filter(|(_, stream)| predicate(stream));
        matching.map(|(number, stream)| (*number, stream.clone())).collect()
    }

    /// Records that a stream moved to another chain with the same first engine.
    pub(crate) fn repath(&self, number: u64, chain: Arc<Chain>) {
        if let Some(stream) = self.lock().streams.get_mut(&number) {
            stream.chain = chain;
        }
    }

    /// Records that a stream did not move to the path that was ordered, unless another one has been
    /// ordered since.
    pub(crate) fn restore_path(&self, number: u64, ordered: &Arc<Chain>, previous: Arc<Chain>) {
        if let Some(stream) = self.lock().streams.get_mut(&number)
            && Arc::ptr_eq(&stream.chain, ordered)
        {
            stream.chain = previous;
        }
    }

    /// Records an attempt to move a stream.
    pub(crate) fn record_move(&self, number: u64, now: Instant) {
        if let Some(stream) = self.lock().streams.get_mut(&number) {
            stream.moves.record(now);
        }
    }

    /// Returns the number of streams in progress by first engine.
    pub(crate) fn stream_counts(&self) -> Vec<(Upstream, u32)> {
        let state = self.lock();
        let heads = state.heads.iter();
        heads.map(|(upstream, head)| (upstream.clone(), head.activity.streams())).collect()
    }

    /// Returns the number of streams in progress.
    pub(crate) fn len(&self) -> usize {
        self.lock().streams.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamGuard {
    /// Sets the expected tokens of the stream.
    pub(crate) fn set_cost(&self, cost: StreamCost) {
        let mut guard = self.registry.lock();
        let State { streams, heads, .. } = &mut *guard;
        let (stream, head) = (streams.get_mut(&self.number), heads.get_mut(&self.head));
        if let (Some(stream), Some(head)) = (stream, head) {
            head.cost.replace(stream.cost.replace(cost), Some(cost));
        }
    }

    /// Sets whether the stream may run on one more upstream.
    pub(crate) fn set_may_resume(&self, may_resume: bool) {
        if let Some(stream) = self.registry.lock().streams.get_mut(&self.number) {
            stream.may_resume = may_resume;
        }
    }

    /// Records an event of the stream.
    pub(crate) fn record_event(&self, now: Instant) {
        let mut state = self.registry.lock();
        if let Some(stream) = state.streams.get_mut(&self.number) {
            stream.last_event = now;
        }
        if let Some(head) = state.heads.get_mut(&self.head) {
            head.activity.record(now);
            head.places.record(now);
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        let stream = state.streams.remove(&self.number);
        if let Some(head) = state.heads.get_mut(&self.head) {
            head.activity.end();
            head.cost.replace(stream.and_then(|stream| stream.cost), None);
            head.places.end();
        }
    }
}
