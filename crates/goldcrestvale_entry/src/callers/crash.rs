//! Finds out whether an upstream has ended under the requests that were at their start on it.

use std::sync::Arc;

use goldcrestvale_base::{
    content::Content,
    crash::{Progress, Suspect},
    prompt::Parts,
};
use goldcrestvale_platform::message::Role;

use crate::{
    crash_watch::{Attempt, COLLECT_TIME},
    node::Node,
    refusal::{Cause, Refusal, Result},
    table::Row,
    trial_log::{self, Attempt as Send, Trial},
};

/// The span of time in which ends of an upstream count as one, in milliseconds. The list of the
/// platform does not tell when an upstream started.
const END_SPAN_MS: u64 = 2_000;

/// Returns the refusal of a request that is kept from upstreams, since it crashes them.
pub(super) fn check(node: &Node, request: Content) -> Result<()> {
    match node.crash_watch.check_request(node.clock.now(), request) {
        Some(left) => {
            let detail = format!("request {request} crashes upstreams");
            Err(Refusal::unsent(Cause::Quarantined, detail).retry_after(left))
        }
        None => Ok(()),
    }
}

/// Claims a trial of a request if it needs one to be sent to an upstream.
pub(super) async fn claim(
    node: &Arc<Node>,
    trial: &mut Option<Trial>,
    send: Send<'_>,
) -> Result<()> {
    trial_log::claim(node, trial, send).await.map_err(|held| {
        Refusal::unsent(Cause::Quarantined, held.to_string()).retry_after(held.left)
    })
}

/// Records that an upstream has answered a request.
pub(super) fn record_answer(node: &Node, request: Content) {
    if let Some(report) = node.crash_watch.record_answer(node.clock.now(), request) {
        node.peers.send_evidence(report);
    }
}

/// Returns a call of a plain service as a suspect for the end of the upstream.
pub(super) fn suspect(request: Content) -> Suspect {
    Suspect { request, parts: Parts::new(), progress: Progress::Waiting }
}

/// Reports a request that broke off at its start, and waits until it is known whether the upstream
/// has ended.
pub(super) async fn report_break(node: &Arc<Node>, row: &Arc<Row>, suspect: Suspect) {
    // The peers learn of it at once, also while this instance tries the request elsewhere.
    let over = Attempt::default();
    let (is_first, done) = node.crash_watch.add(&row.name, suspect, &over);
    drop(over);
    if is_first {
        tokio::spawn(investigate(node.clone(), row.clone()));
    }
    done.cancelled().await;
}

async fn investigate(node: Arc<Node>, row: Arc<Row>) {
    tokio::time::sleep(COLLECT_TIME).await;
    let has_ended = has_ended(&node, &row).await;
    let pending = node.crash_watch.take(&row.name);
    let done = pending.done.clone();
    if has_ended {
        let (now, upstream) = (node.clock.now(), row.name.clone());
        let span_ms = node.clock.wall().0 / END_SPAN_MS * END_SPAN_MS;
        let watch = &node.crash_watch;
        if let Some(report) = watch.record_own_crash(now, upstream, Some(span_ms), pending) {
            node.peers.send_evidence(report);
        }
    }
    done.cancel();
}

async fn has_ended(node: &Node, row: &Row) -> bool {
    let timeout = node.settings.upstream.load_timeout;
    let error = match row.role {
        Role::Engine => node.engines.load(row.address, timeout).await.err(),
        _ => node.services.load(row.address, timeout).await.err(),
    };
    error.is_some_and(|error| error.is_transport())
}
