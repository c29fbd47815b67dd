//! Sending of steps.

use goldcrestvale_base::{
    engine::{Step, StepInput},
    time::Instant,
};

use super::{
    Action, Draft,
    stage_state::{Sent, Work},
};

impl Draft {
    /// Sends a step at every idle place whose next inputs are known.
    pub(super) fn pump(&mut self, now: Instant) {
        for index in 0..self.places.len() {
            let place = &self.places[index];
            let end = if index == 0 { self.length() } else { place.input.end() };
            if matches!(place.work, Work::Idle) && place.kv < end {
                let positions = (end - place.kv).min(self.most_positions(index, end));
                let place = &mut self.places[index];
                place.work = Work::Awaiting(Sent {
                    name: self.prompt.name(place.attempt, place.kv, place.number),
                    positions,
                    at: now,
                    until: now,
                    again: None,
                    tries: 0,
                });
                self.send(now, index);
            }
        }
    }

    /// Returns the most positions that a step of a place may have. Steps are cut so that the next
    /// stage can run in parallel; where it has its inputs already, as when this stage is rebuilt,
    /// or where there is no next stage, cutting would only cost time.
    fn most_positions(&self, index: usize, end: u32) -> u32 {
        match self.places.get(index + 1) {
            Some(next) if next.input.end() + 1 < end => self.prompt.settings.chunk.max(1),
            _ => u32::MAX,
        }
    }

    /// Sends the awaited step of a place, for the first time or again.
    pub(super) fn send(&mut self, now: Instant, index: usize) {
        let place = &mut self.places[index];
        let Work::Awaiting(sent) = &mut place.work else { return };
        let expected = place.queue + place.stage.time(sent.positions);
        let of_late = expected.saturating_mul(place.stage.slowdown.max(1));
        let timeout = self.prompt.settings.timeout(of_late);
        sent.tries += 1;
        sent.until = now + timeout;
        sent.again = None;
        let (from, to) = (sent.name.position, sent.name.position + sent.positions);
        let input = if index == 0 {
            StepInput::Tokens(self.prompt.tokens[from as usize..to as usize].to_vec())
        } else {
            StepInput::Activations(place.input.slice(from, to).to_vec())
        };
        let step = Step {
            name: sent.name,
            model: self.prompt.model.clone(),
            layers: place.stage.layers,
            priority: self.prompt.priority,
            input,
        };
        self.stats.steps += 1;
        let upstream = place.stage.upstream.clone();
        self.actions.push(Action::Send { upstream, step, expected, timeout });
    }
}
