//! The HTTP interface of an engine.

use std::{future::pending, time::Duration};

use goldcrestvale_upstream::message::{
    Cancel, Kv, Load, Order, Refusal, RefusalBody, Step, StepAnswer, StepInput,
};
use http::{Method, StatusCode};
use hyper::{Request, Response, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use super::{
    Counts, Engine, Faults,
    state::{self, refuse},
};
use crate::{
    fault::Switch,
    reply,
    server::{Body, Closed, Result, Server},
};

impl Server for Engine {
    type Faults = Faults;
    type Counts = Counts;

    fn faults(&self) -> &Switch<Faults> {
        &self.faults
    }

    fn counts(&self) -> Counts {
        let state = self.state();
        Counts {
            runs: state.runs.list(),
            caches: state.caches.len() as u64,
            stale_orders: state.holdings.stale,
            ..state.counts.clone()
        }
    }

    fn leave(&self) {
        self.state().leaving = true;
    }

    async fn drain(&self) {
        let mut caches = self.caches.subscribe();
        let grace = Duration::from_millis(self.settings.grace_ms);
        let empty = caches.wait_for(|caches| *caches == 0);
        let _ = tokio::time::timeout(grace, empty).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "steps"]) => self.step(request).await,
            (&Method::POST, ["v1", "cancel"]) => {
                let cancel = read_body::<Cancel>(request).await?;
                Ok(self.answer_with(cancel.map(|cancel| self.cancel(&cancel))))
            }
            (&Method::GET, ["v1", "kv", request, attempt]) => {
                Ok(self.answer_with(self.export(request, attempt)))
            }
            (&Method::POST, ["v1", "kv"]) => {
                let kv = read_body::<Kv>(request).await?;
                Ok(self.answer_with(kv.and_then(|kv| self.import(&kv))))
            }
            (&Method::GET, ["v1", "load"]) => Ok(reply::json(StatusCode::OK, &self.load())),
            (&Method::GET, ["v1", "events"]) => {
                let from = reply::number(request.uri().query(), "from").unwrap_or(0);
                Ok(reply::json(StatusCode::OK, &self.state().prefixes.events(from)))
            }
            (&Method::POST, ["v1", "orders"]) => self.order(request).await,
            (&Method::GET, ["v1", "orders"]) => {
                Ok(reply::json(StatusCode::OK, &self.state().holdings.orders()))
            }
            _ => Ok(reply::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Engine {
    async fn step(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let step = match read_body::<Step>(request).await? {
            Ok(step) => step,
            Err(refusal) => return Ok(self.answer_with::<()>(Err(refusal))),
        };
        self.apply_step_faults(&step).await;
        let outcome = if self.faults.get().busy {
            refuse(Refusal::Busy, "busy by a fault setting")
        } else if self.settings.time_scale > 0.0 {
            let cancelled = || refuse(Refusal::Gap, "the step was cancelled while it waited");
            self.queue.push(step).await.unwrap_or_else(|_| cancelled())
        } else {
            self.run(&step)
        };
        let faults = self.faults.get();
        if faults.hang_after {
            pending::<()>().await;
        }
        if faults.late_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
        }
        self.answer_step(outcome).await
    }

    /// Applies the faults that keep a step from running.
    async fn apply_step_faults(&self, step: &Step) {
        let sequence = self.faults.get().die_on;
        if !sequence.is_empty()
            && let StepInput::Tokens(tokens) = &step.input
            && tokens.windows(sequence.len()).any(|window| window == sequence)
        {
            self.faults.change(|faults| faults.die = true);
        }
        let counted = self.faults.take(|faults| &mut faults.die_at_step);
        if counted && self.faults.get().die_at_step == 0 {
            self.faults.change(|faults| faults.die = true);
        }
        let faults = self.faults.get();
        if faults.hang || faults.die {
            pending::<()>().await;
        }
    }

    async fn answer_step(&self, outcome: state::Result<StepAnswer>) -> Result<Response<Body>> {
        let Ok(mut answer) = outcome else { return Ok(self.answer_with(outcome)) };
        if self.faults.take(|faults| &mut faults.lose_answers) {
            return Err(Closed);
        }
        if self.faults.take(|faults| &mut faults.cross) {
            answer.name.position += 1;
        }
        let response = reply::json(StatusCode::OK, &answer);
        if self.faults.take(|faults| &mut faults.cut) {
            return reply::cut(response, self.faults.get().cut_bytes).await;
        }
        Ok(response)
    }

    /// Runs one step without batching.
    pub(super) fn run(&self, step: &Step) -> state::Result<StepAnswer> {
        let mut state = self.state();
        let outcome = state.step(step);
        self.caches.send_replace(state.caches.len());
        outcome
    }

    fn cancel(&self, cancel: &Cancel) {
        self.queue.cancel(cancel);
        let mut state = self.state();
        state.cancel(cancel);
        self.caches.send_replace(state.caches.len());
    }

    fn export(&self, request: &str, attempt: &str) -> state::Result<Kv> {
        match request.parse().ok().zip(attempt.parse().ok()) {
            Some((request, attempt)) => self.state().export(request, attempt),
            None => refuse(Refusal::Malformed, "the path is /v1/kv/{request}/{attempt}"),
        }
    }

    fn import(&self, kv: &Kv) -> state::Result<()> {
        let mut state = self.state();
        let outcome = state.import(kv);
        self.caches.send_replace(state.caches.len());
        outcome
    }

    async fn order(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let order = read_body::<Order>(request).await?;
        let outcome = order.and_then(|order| {
            let mut state = self.state();
            state.holdings.receive(Instant::now(), order)?;
            state.counts.orders += 1;
            Ok(())
        });
        if outcome.is_ok() && self.faults.take(|faults| &mut faults.lose_order_answers) {
            return Err(Closed);
        }
        Ok(self.answer_with(outcome))
    }

    fn load(&self) -> Load {
        let (load, age_ms) = self.load.read(|| {
            let state = self.state();
            Load {
                upstream: self.settings.name.clone(),
                incarnation: self.incarnation.clone(),
                accelerator: self.settings.accelerator.clone(),
                holds: state.holdings.held.clone(),
                running: state.running,
                waiting: self.queue.len(),
                kv_bytes: state.kv_bytes(),
                age_ms: 0,
                leaving: state.leaving,
            }
        });
        Load { age_ms, ..load }
    }

    fn answer_with<T: Serialize>(&self, outcome: state::Result<T>) -> Response<Body> {
        let body = match outcome {
            Ok(body) => return reply::json(StatusCode::OK, &body),
            Err(refusal) => refusal,
        };
        let status = match body.refusal {
            Refusal::Leaving | Refusal::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NotHeld | Refusal::Gap => StatusCode::CONFLICT,
            Refusal::Fenced | Refusal::Sender => StatusCode::FORBIDDEN,
            Refusal::Malformed => StatusCode::BAD_REQUEST,
        };
        if body.refusal != Refusal::Gap {
            self.state().counts.refusals += 1;
        }
        reply::json(status, &body)
    }
}

async fn read_body<T: DeserializeOwned>(request: Request<Incoming>) -> Result<state::Result<T>> {
    let body = reply::read_json(request).await?;
    Ok(body.map_err(|detail| RefusalBody { refusal: Refusal::Malformed, detail }))
}
