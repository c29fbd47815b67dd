//! Calls to engines on behalf of a draft; each resolves to events for the draft.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use goldcrestvale_base::{
    crash::Suspect,
    engine::{Layers, Step},
    id::Request,
};
use goldcrestvale_route::{
    draft::{Event, Fault},
    health::Outcome,
};
use goldcrestvale_upstream::{
    Error, Result,
    message::{Cancel, Kv, Refusal},
};
use smallvec::{SmallVec, smallvec};

use crate::{callers::crash, node::Node, table::Row};

/// The events that result from one call.
pub(super) type Events = SmallVec<[Event; 2]>;

/// A call in progress.
pub(super) type Call = BoxFuture<'static, Events>;

/// Sends a step; `suspect` is the draft if it is at its start, which the loss of the engine may be
/// due to.
///
/// After the timeout a failure of the engine is recorded, but the call still waits for the
/// answer: the draft decides whether it can use it.
pub(super) fn step(
    node: Arc<Node>,
    row: Arc<Row>,
    step: Step,
    expected: Duration,
    timeout: Duration,
    suspect: Option<Suspect>,
) -> Call {
    Box::pin(async move {
        let _guard = row.enter_step(step.input.positions());
        let sent = node.clock.now();
        let answer_timeout = node.settings.upstream.step_timeout.max(timeout);
        let answer = node.engines.step(row.address, &step, answer_timeout);
        tokio::pin!(answer);
        let answer = match tokio::time::timeout(timeout, answer.as_mut()).await {
            Ok(answer) => answer,
            Err(_) => {
                node.health.observe(&row.name, Outcome::Failed(Fault::Timeout));
                answer.await
            }
        };
        let (outcome, events): (Outcome, Events) = match answer {
            Ok(answer) => {
                let took = node.clock.now().since(sent);
                let name = answer.name;
                let mut events = smallvec![Event::Answered { name, output: answer.output }];
                // The exchange has ended with the answer to another step.
                if name != step.name {
                    events.push(Event::Failed { name: step.name, fault: Fault::Lost });
                }
                (Outcome::Answered { took, expected }, events)
            }
            Err(error) => {
                let fault = fault(&error);
                if fault == Fault::Leaving {
                    node.peers.record_refusal(&row, node.clock.wall());
                }
                log::debug!(upstream:% = row.name, error:% = error; "step failed");
                if let Some(suspect) = suspect.filter(|_| matches!(error, Error::Broken { .. })) {
                    crash::report_break(&node, &row, suspect).await;
                }
                (Outcome::Failed(fault), smallvec![Event::Failed { name: step.name, fault }])
            }
        };
        node.health.observe(&row.name, outcome);
        events
    })
}

/// Moves a KV cache from one engine to another, where it belongs to a new attempt.
pub(super) fn move_kv(node: Arc<Node>, from: Arc<Row>, to: Arc<Row>, kv_move: KvMove) -> Call {
    Box::pin(async move {
        let attempt = kv_move.new_attempt;
        let kv = match export(&node, &from, &kv_move).await {
            Ok(kv) => kv,
            Err(error) => return smallvec![kv_failed(&from, attempt, false, &error)],
        };
        match node.engines.import_kv(to.address, &kv, kv_move.timeout).await {
            Ok(()) => smallvec![Event::KvMoved { attempt, positions: kv.positions }],
            Err(error) => smallvec![kv_failed(&to, attempt, true, &error)],
        }
    })
}

/// The KV cache to move, and the attempt that takes it over.
#[derive(Debug)]
pub(super) struct KvMove {
    pub(super) request: Request,
    pub(super) attempt: u32,
    pub(super) new_attempt: u32,
    pub(super) layers: Layers,
    /// Timeout of the export and of the import, each.
    pub(super) timeout: Duration,
}

async fn export(node: &Node, from: &Row, kv_move: &KvMove) -> Result<Kv> {
    let (request, attempt) = (kv_move.request, kv_move.attempt);
    let kv = node.engines.export_kv(from.address, request, attempt, kv_move.timeout).await?;
    if kv.layers != kv_move.layers {
        let detail = format!("a KV cache of layers {:?}", kv.layers);
        return Err(Error::Malformed { address: from.address, detail });
    }
    Ok(Kv { attempt: kv_move.new_attempt, ..kv })
}

fn kv_failed(row: &Row, attempt: u32, exported: bool, error: &Error) -> Event {
    log::debug!(upstream:% = row.name, error:% = error; "KV cache not moved");
    Event::KvFailed { attempt, exported }
}

/// Cancels an attempt in the background.
pub(super) fn cancel(node: Arc<Node>, row: Arc<Row>, request: Request, attempt: u32) {
    tokio::spawn(async move {
        let timeout = node.settings.upstream.load_timeout;
        let cancel = Cancel { request, attempt: Some(attempt) };
        // An unreachable engine drops the state later by itself.
        let _ = node.engines.cancel(row.address, &cancel, timeout).await;
    });
}

fn fault(error: &Error) -> Fault {
    match error {
        Error::Unsent { .. } | Error::Broken { .. } => Fault::Lost,
        Error::Timeout { .. } => Fault::Timeout,
        Error::Oversized { .. } | Error::Malformed { .. } => Fault::Refused,
        Error::Refused { refusal, .. } => match refusal {
            Refusal::Leaving => Fault::Leaving,
            Refusal::Busy => Fault::Busy,
            Refusal::NotHeld => Fault::NotHeld,
            Refusal::Gap => Fault::Gap,
            Refusal::Fenced | Refusal::Sender | Refusal::Malformed => Fault::Refused,
        },
    }
}
