use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::{
    id::{Offset, Upstream},
    time::Instant,
};

use super::lifecycle::{Held, Lease};

/// An action that the program has to take for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<D> {
    /// Read the state of the engine.
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

/// Orders of one lease holder: desired states, with one order at a time for each engine.
///
/// An engine is read before the first order and after each one, so that a new holder starts from
/// the state in which the previous holder left the engine.
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
    desired: D,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Unread,
    Reading,
    Unmet,
    Met,
    Sent,
    Waiting { until: Instant },
}

impl<D: Clone + PartialEq> Queue<D> {
    /// Creates an empty queue; `order_delay` is the maximum time that an order takes to arrive.
    pub fn new(order_delay: Duration) -> Self {
        Self { order_delay, engines: BTreeMap::new() }
    }

    /// Sets the desired state of an engine.
    pub fn set_desired(&mut self, engine: Upstream, desired: D) {
        match self.engines.get_mut(&engine) {
            Some(known) if known.desired == desired => {}
            Some(known) => {
                known.desired = desired;
                if known.phase == Phase::Met {
                    known.phase = Phase::Unread;
                }
            }
            None => {
                self.engines.insert(engine, Engine { desired, phase: Phase::Unread });
            }
        }
    }

    /// Removes an engine without an order in flight and returns whether it was removed.
    pub fn remove(&mut self, engine: &Upstream, now: Instant) -> bool {
        let busy = self.engines.get(engine).is_some_and(|engine| engine.is_busy(now));
        if !busy {
            self.engines.remove(engine);
        }
        !busy
    }

    /// Returns the actions to take now; orders are included only if they arrive before the lease
    /// expires.
    pub fn poll(&mut self, lease: &Lease<Held>, now: Instant) -> Vec<Action<D>> {
        let valid = lease.is_valid_for(now, self.order_delay);
        let fence = lease.fence();
        let action = |(name, engine): (&Upstream, &mut Engine<D>)| {
            engine.end_wait(now);
            match engine.phase {
                Phase::Unread => {
                    engine.phase = Phase::Reading;
                    Some(Action::Read(name.clone()))
                }
                Phase::Unmet if valid => {
                    engine.phase = Phase::Sent;
                    let desired = engine.desired.clone();
                    Some(Action::Send { engine: name.clone(), fence, desired })
                }
                _ => None,
            }
        };
        self.engines.iter_mut().filter_map(action).collect()
    }

    /// Records whether an engine that was read is in a desired state.
    ///
    /// The result is ignored if the desired state has changed in the meantime.
    pub fn observe(&mut self, engine: &Upstream, desired: &D, met: bool) {
        let Some(known) = self.engines.get_mut(engine) else { return };
        if known.phase == Phase::Reading {
            known.phase = match (known.desired == *desired, met) {
                (false, _) => Phase::Unread,
                (true, true) => Phase::Met,
                (true, false) => Phase::Unmet,
            };
        }
    }

    /// Records that an engine answered an order; the engine is read again.
    pub fn answered(&mut self, engine: &Upstream) {
        self.change_phase(engine, Phase::Sent, Phase::Unread);
    }

    /// Records that the answer to an order was lost; the order may still arrive.
    pub fn order_lost(&mut self, engine: &Upstream, now: Instant) {
        let until = now + self.order_delay;
        self.change_phase(engine, Phase::Sent, Phase::Waiting { until });
    }

    /// Records that an engine could not be read.
    pub fn read_failed(&mut self, engine: &Upstream, now: Instant) {
        let until = now + self.order_delay;
        self.change_phase(engine, Phase::Reading, Phase::Waiting { until });
    }

    /// Returns the number of engines that are not known to be in their desired state.
    pub fn unmet_count(&self) -> usize {
        self.engines.values().filter(|engine| engine.phase != Phase::Met).count()
    }

    /// Returns whether no order can still be in flight, so that the lease may be released.
    pub fn is_idle(&self, now: Instant) -> bool {
        !self.engines.values().any(|engine| engine.is_busy(now))
    }

    fn change_phase(&mut self, engine: &Upstream, from: Phase, to: Phase) {
        if let Some(known) = self.engines.get_mut(engine)
            && known.phase == from
        {
            known.phase = to;
        }
    }
}

impl<D> Engine<D> {
    /// Returns whether an order may still be in flight.
    fn is_busy(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Sent => true,
            Phase::Waiting { until } => until > now,
            _ => false,
        }
    }

    fn end_wait(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Waiting { until } if until <= now) {
            self.phase = Phase::Unread;
        }
    }
}
