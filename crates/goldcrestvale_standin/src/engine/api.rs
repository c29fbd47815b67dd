//! The HTTP interface of an engine.

use std::time::Duration;

use goldcrestvale_upstream::message::{CacheEvents, Cancel, Kv, Load, Refusal, RefusalBody, Step};
use http::{Method, StatusCode};
use hyper::{Request, Response, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;

use super::{Counts, Engine, Faults, state};
use crate::{
    reply,
    server::{Body, Closed, Result, Site},
};

impl Site for Engine {
    type Faults = Faults;
    type Counts = Counts;

    fn faults(&self) -> &watch::Sender<Faults> {
        &self.faults
    }

    fn counts(&self) -> Counts {
        self.state().counts.clone()
    }

    fn leave(&self) {
        self.state().leaving = true;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "steps"]) => self.step(request).await,
            (&Method::POST, ["v1", "cancel"]) => {
                let cancel = body::<Cancel>(request).await?;
                Ok(answer(cancel.map(|cancel| self.state().cancel(&cancel))))
            }
            (&Method::GET, ["v1", "kv", request, attempt]) => {
                let name = request.parse().ok().zip(attempt.parse().ok());
                let kv = name.and_then(|(request, attempt)| self.state().export(request, attempt));
                Ok(match kv {
                    Some(kv) => reply::json(StatusCode::OK, &kv),
                    None => refusal(&RefusalBody {
                        refusal: Refusal::Gap,
                        detail: "no such KV cache".into(),
                    }),
                })
            }
            (&Method::POST, ["v1", "kv"]) => {
                let kv = body::<Kv>(request).await?;
                Ok(answer(kv.and_then(|kv| self.state().import(&kv))))
            }
            (&Method::GET, ["v1", "load"]) => Ok(reply::json(StatusCode::OK, &self.load())),
            (&Method::GET, ["v1", "events"]) => {
                let next = reply::number(request.uri().query(), "from").unwrap_or(0);
                Ok(reply::json(StatusCode::OK, &CacheEvents { next, events: Vec::new() }))
            }
            _ => Ok(reply::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Engine {
    async fn step(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let step = match body::<Step>(request).await? {
            Ok(step) => step,
            Err(fault) => return Ok(refusal(&fault)),
        };
        if self.faults.borrow().hang {
            std::future::pending::<()>().await;
        }
        let outcome = self.state().step(&step);
        let late = self.faults.borrow().late_ms;
        if late > 0 {
            tokio::time::sleep(Duration::from_millis(late)).await;
        }
        let mut outcome = match outcome {
            Ok(outcome) => outcome,
            Err(fault) => return Ok(refusal(&fault)),
        };
        if self.take(|faults| &mut faults.lose_answers) {
            return Err(Closed);
        }
        if self.take(|faults| &mut faults.cross) {
            outcome.name.position += 1;
        }
        Ok(reply::json(StatusCode::OK, &outcome))
    }

    fn load(&self) -> Load {
        let state = self.state();
        Load {
            upstream: self.settings.name.clone(),
            incarnation: self.incarnation.clone(),
            accelerator: self.settings.accelerator.clone(),
            holds: state.holds.clone(),
            running: state.running,
            waiting: 0,
            kv_bytes: 0,
            age_ms: 0,
            leaving: state.leaving,
        }
    }

    /// Takes one from a counted fault, and returns whether there was one to take.
    fn take(&self, count: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut taken = false;
        self.faults.send_if_modified(|faults| {
            let count = count(faults);
            taken = *count > 0;
            *count = count.saturating_sub(1);
            taken
        });
        taken
    }
}

async fn body<T: DeserializeOwned>(request: Request<Incoming>) -> Result<state::Result<T>> {
    let body = reply::read_json(request).await?;
    Ok(body.map_err(|detail| RefusalBody { refusal: Refusal::Malformed, detail }))
}

fn answer(outcome: state::Result<impl Serialize>) -> Response<Body> {
    match outcome {
        Ok(body) => reply::json(StatusCode::OK, &body),
        Err(fault) => refusal(&fault),
    }
}

fn refusal(fault: &RefusalBody) -> Response<Body> {
    let status = match fault.refusal {
        Refusal::Leaving | Refusal::Busy => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::NotHeld | Refusal::Gap => StatusCode::CONFLICT,
        Refusal::Fenced | Refusal::Sender => StatusCode::FORBIDDEN,
        Refusal::Malformed => StatusCode::BAD_REQUEST,
    };
    reply::json(status, fault)
}
