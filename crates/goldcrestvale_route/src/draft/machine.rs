//! The state machine of a draft.

use goldcrestvale_base::{
    engine::{StepName, StepOutput},
    exchange::{Exchange, Sent as Handed},
    id::{Digest, Upstream},
    time::Instant,
    verdict::Verdict,
};
use smallvec::SmallVec;

use super::{
    Action, Actions, Error, Event, Failure, Fault, Prompt, Tally,
    place::{Avoided, Place, Work},
};
use crate::chain::{Chain, Plan};

/// The loss of a stage after which no token was committed yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub(super) sent: Instant,
    pub(super) known: Instant,
}

/// A draft in flight.
///
/// Tokens are committed in order, each once; the last action is [`Action::Finish`] or
/// [`Action::Fail`], and events after it are ignored.
#[derive(Debug)]
pub struct Draft {
    pub(super) prompt: Prompt,
    /// The places of the chain, in the order of their layers.
    pub(super) places: SmallVec<[Place; 4]>,
    /// The highest attempt number in use.
    pub(super) attempt: u32,
    /// Engines that the draft does not use.
    pub(super) avoided: SmallVec<[Avoided; 2]>,
    pub(super) loss: Option<Loss>,
    pub(super) tally: Tally,
    /// Taken when the draft ends.
    pub(super) exchange: Option<Exchange<Handed>>,
    pub(super) actions: Actions,
}

impl Draft {
    pub(super) fn new(
        prompt: Prompt,
        chain: Chain,
        exchange: Exchange<Handed>,
        now: Instant,
        planner: &dyn Plan,
    ) -> (Self, Actions) {
        let mut draft = Self {
            prompt,
            places: SmallVec::new(),
            attempt: 0,
            avoided: SmallVec::new(),
            loss: None,
            tally: Tally::default(),
            exchange: Some(exchange),
            actions: Actions::new(),
        };
        draft.places = draft.placed(chain, 0);
        if draft.is_whole() {
            draft.finish();
        } else {
            draft.look_at_queues(planner);
            draft.pump(now);
        }
        let actions = std::mem::take(&mut draft.actions);
        (draft, actions)
    }

    /// Takes an event and returns what is to be done.
    ///
    /// The planner is the present one; a draft keeps no reference to it.
    pub fn handle(&mut self, now: Instant, event: Event, planner: &dyn Plan) -> Actions {
        if self.is_running() {
            self.look_at_queues(planner);
            let late = self.prompt.deadline.is_some_and(|deadline| now >= deadline);
            let outcome = match event {
                Event::Cancel => Err(Error::Cancelled),
                _ if late => Err(Error::Deadline { count: self.count() }),
                event => {
                    let applied = self.apply(now, event, planner);
                    applied.and_then(|()| self.leave_idle(now, planner))
                }
            };
            match outcome {
                Err(error) => self.fail(error),
                Ok(()) if self.is_running() => {
                    self.look_at_queues(planner);
                    self.pump(now);
                }
                Ok(()) => {}
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes the work before each stage's next step from the plan, since it counts in timeouts.
    fn look_at_queues(&mut self, planner: &dyn Plan) {
        for place in &mut self.places {
            place.queue = planner.queue_delay(&place.stage);
        }
    }

    fn apply(&mut self, now: Instant, event: Event, planner: &dyn Plan) -> Result<(), Error> {
        match event {
            Event::Answered { name, output } => self.answered(now, name, &output, planner),
            Event::Failed { name, fault } => match self.awaiting(name) {
                Some(index) => self.failed(now, index, fault, planner),
                None => Ok(()),
            },
            Event::EngineLost { upstream } => self.engine_lost(now, &upstream, planner),
            Event::Leaving { upstream } => self.engine_leaving(now, &upstream, planner),
            Event::Suspected { upstream } => self.engine_suspected(now, &upstream, planner),
            Event::KvMoved { attempt, positions } => {
                self.kv_moved(now, attempt, positions, planner)
            }
            Event::KvFailed { attempt, exported } => {
                self.kv_failed(now, attempt, exported, planner)
            }
            Event::Tick => self.tick(now, planner),
            Event::Cancel => Err(Error::Cancelled),
        }
    }

    /// Returns when a [`Event::Tick`] is due.
    pub fn wake(&self) -> Option<Instant> {
        if !self.is_running() {
            return None;
        }
        let due = self.places.iter().filter_map(Place::wake);
        due.chain(self.prompt.deadline).min()
    }

    /// Returns whether the draft has not ended.
    pub fn is_running(&self) -> bool {
        self.exchange.is_some()
    }

    /// Returns the tokens of the answer so far, with those that it was resumed with.
    pub fn answer(&self) -> &[u32] {
        &self.prompt.tokens[self.prompt.length..]
    }

    /// Returns the counts of the draft.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the engines of the present chain in the order of their layers.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.places.iter().map(|place| &place.stage.upstream)
    }

    /// Returns the bytes of memory that the draft holds.
    pub fn bytes(&self) -> usize {
        let inputs: usize = self.places.iter().map(|place| place.input.bytes()).sum();
        let places = if self.places.spilled() { self.places.capacity() } else { 0 };
        size_of::<Self>()
            + self.prompt.tokens.capacity() * size_of::<u32>()
            + places * size_of::<Place>()
            + inputs
    }

    fn answered(
        &mut self,
        now: Instant,
        name: StepName,
        output: &StepOutput,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        let Some(index) = self.awaiting(name) else { return Ok(()) };
        let last = index + 1 == self.places.len();
        let place = &mut self.places[index];
        let Some(positions) = place.sent().map(|sent| sent.positions) else { return Ok(()) };
        let token = match output {
            StepOutput::Token(token) if last => Some(*token),
            StepOutput::Activations(values) if !last && values.len() == positions as usize => None,
            _ => return self.failed(now, index, Fault::Refused, planner),
        };
        place.work = Work::Idle;
        place.kv += positions;
        place.input.trim(place.kv);
        self.tally.run += u64::from(positions) * u64::from(place.stage.layers.len());
        if let StepOutput::Activations(values) = output {
            self.places[index + 1].input.extend(name.position, values);
            self.keep_budget();
        }
        if let Some(token) = token.filter(|_| self.places[index].kv == self.length()) {
            self.commit(now, token);
        }
        Ok(())
    }

    fn commit(&mut self, now: Instant, token: u32) {
        let layers = self.places.last().map_or(0, |place| place.stage.layers.to);
        self.tally.needed = u64::from(self.length()) * u64::from(layers);
        self.actions.push(Action::Commit { position: self.length(), token });
        self.prompt.tokens.push(token);
        if let Some(loss) = self.loss.take() {
            self.actions.push(Action::Recovered {
                detection: loss.known.since(loss.sent),
                rebuild: now.since(loss.known),
            });
        }
        if self.is_whole() {
            self.finish();
        }
    }

    fn is_whole(&self) -> bool {
        let stopped =
            self.prompt.stop.is_some() && self.answer().last() == self.prompt.stop.as_ref();
        self.count() >= self.prompt.most || stopped
    }

    fn finish(&mut self) {
        self.cancel_all();
        self.exchange = None;
        let bytes: Vec<u8> = self.answer().iter().flat_map(|token| token.to_le_bytes()).collect();
        self.actions.push(Action::Finish { count: self.count(), digest: Digest::of(&bytes) });
    }

    fn fail(&mut self, error: Error) {
        self.cancel_all();
        let verdict = self.exchange.take().map_or(Verdict::MayHaveRun, Exchange::lose);
        let helps = !matches!(error, Error::Cancelled | Error::Prompt);
        let retry_after = helps.then_some(self.prompt.settings.retry_after);
        self.actions.push(Action::Fail(Failure { error, verdict, retry_after }));
    }

    fn cancel_all(&mut self) {
        for index in 0..self.places.len() {
            self.cancel_place(index);
        }
        self.places.clear();
    }

    /// Returns the place that awaits the answer to a step.
    fn awaiting(&mut self, name: StepName) -> Option<usize> {
        let awaited = |place: &Place| place.sent().is_some_and(|sent| sent.name == name);
        let index = self.places.iter().position(awaited);
        self.tally.ignored += u64::from(index.is_none());
        index
    }

    /// Returns the length of the prompt and the answer so far.
    pub(super) fn length(&self) -> u32 {
        self.prompt.tokens.len() as u32
    }

    fn count(&self) -> u32 {
        self.answer().len() as u32
    }
}
