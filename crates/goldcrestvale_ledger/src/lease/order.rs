use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::{
    id::{Offset, Upstream},
    time::Instant,
};

use super::lifecycle::{Held, Lease};

/// Something to do for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<D> {
    /// Read what the engine holds.
    Read(Upstream),
    /// Send an order.
    Send {
        /// The engine.
        engine: Upstream,
        /// Fencing number of the lease.
        fence: Offset,
        /// The desired state.
        desired: D,
    },
}

/// Orders of one lease holder: desired states, one order at a time for each engine.
///
/// An engine is read before the first order and after each one, so that a new holder starts from
/// what the engine has become under the old one.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_ledger::lease::Queue;
///
/// let mut queue = Queue::new(Duration::from_secs(2));
/// queue.set_desired("gpu-1".parse()?, "load drafter");
/// assert_eq!(queue.unmet_count(), 1);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Queue<D> {
    order_delay: Duration,
    engines: BTreeMap<Upstream, Engine<D>>,
}

#[derive(Debug)]
struct Engine<D> {
    wanted: D,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Unread,
    Reading,
    Unmet,
    Met,
    Sent,
    Quiet { until: Instant },
}

impl<D: Clone + PartialEq> Queue<D> {
    /// Makes an empty queue; `order_delay` is the longest time that an order takes to arrive.
    pub fn new(order_delay: Duration) -> Self {
        Self { order_delay, engines: BTreeMap::new() }
    }

    /// Sets the desired state of an engine.
    pub fn set_desired(&mut self, engine: Upstream, desired: D) {
        match self.engines.get_mut(&engine) {
            Some(known) if known.wanted == desired => {}
            Some(known) => {
                known.wanted = desired;
                if known.phase == Phase::Met {
                    known.phase = Phase::Unread;
                }
            }
            None => {
                self.engines.insert(engine, Engine { wanted: desired, phase: Phase::Unread });
            }
        }
    }

    /// Forgets an engine to which no order is on its way, and returns whether it could.
    pub fn remove(&mut self, engine: &Upstream, now: Instant) -> bool {
        let busy = self.engines.get(engine).is_some_and(|engine| engine.is_busy(now));
        if !busy {
            self.engines.remove(engine);
        }
        !busy
    }

    /// Returns what to do now; without time left on the lease no order is among it.
    pub fn poll(&mut self, lease: &Lease<Held>, now: Instant) -> Vec<Action<D>> {
        let lasts = lease.is_valid_for(now, self.order_delay);
        let fence = lease.fence();
        let poll = |(name, engine): (&Upstream, &mut Engine<D>)| {
            engine.wake(now);
            match engine.phase {
                Phase::Unread => {
                    engine.phase = Phase::Reading;
                    Some(Action::Read(name.clone()))
                }
                Phase::Unmet if lasts => {
                    engine.phase = Phase::Sent;
                    let desired = engine.wanted.clone();
                    Some(Action::Send { engine: name.clone(), fence, desired })
                }
                _ => None,
            }
        };
        self.engines.iter_mut().filter_map(poll).collect()
    }

    /// Takes note of whether an engine that was read is in a desired state.
    ///
    /// The answer is dropped if another state is wanted by now.
    pub fn observe(&mut self, engine: &Upstream, desired: &D, met: bool) {
        let Some(known) = self.engines.get_mut(engine) else { return };
        if known.phase == Phase::Reading {
            known.phase = match (known.wanted == *desired, met) {
                (false, _) => Phase::Unread,
                (true, true) => Phase::Met,
                (true, false) => Phase::Unmet,
            };
        }
    }

    /// Takes note that an engine answered an order; it is read again.
    pub fn answered(&mut self, engine: &Upstream) {
        self.leave(engine, Phase::Sent, Phase::Unread);
    }

    /// Takes note that the answer to an order was lost; the order may still arrive.
    pub fn order_lost(&mut self, engine: &Upstream, now: Instant) {
        let until = now + self.order_delay;
        self.leave(engine, Phase::Sent, Phase::Quiet { until });
    }

    /// Takes note that an engine could not be read.
    pub fn read_failed(&mut self, engine: &Upstream, now: Instant) {
        let until = now + self.order_delay;
        self.leave(engine, Phase::Reading, Phase::Quiet { until });
    }

    /// Returns the number of engines that are not in their desired state, as far as is known.
    pub fn unmet_count(&self) -> usize {
        self.engines.values().filter(|engine| engine.phase != Phase::Met).count()
    }

    /// Returns whether no order can still be on its way, so that the lease may be released.
    pub fn is_idle(&self, now: Instant) -> bool {
        !self.engines.values().any(|engine| engine.is_busy(now))
    }

    fn leave(&mut self, engine: &Upstream, from: Phase, to: Phase) {
        if let Some(known) = self.engines.get_mut(engine)
            && known.phase == from
        {
            known.phase = to;
        }
    }
}

impl<D> Engine<D> {
    /// Returns whether an order may still be on its way.
    fn is_busy(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Sent => true,
            Phase::Quiet { until } => until > now,
            _ => false,
        }
    }

    fn wake(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Quiet { until } if until <= now) {
            self.phase = Phase::Unread;
        }
    }
}
