//! Finds out whether an engine has ended under the drafts that were at their start on it.

use std::sync::Arc;

use goldcrestvale_base::{
    crash::{Crash, Suspect},
    id::Upstream,
};

use crate::{
    crash_watch::{COLLECT_TIME, Pending},
    node::Node,
    table::Row,
};

/// Reports a draft whose step broke off at its start, and waits until it is known whether the engine
/// has ended.
pub(super) async fn report_break(node: &Arc<Node>, row: &Arc<Row>, suspect: Suspect) {
    let (is_first, done) = node.crash_watch.add(&row.name, suspect);
    if is_first {
        tokio::spawn(investigate(node.clone(), row.clone()));
    }
    done.cancelled().await;
}

async fn investigate(node: Arc<Node>, row: Arc<Row>) {
    tokio::time::sleep(COLLECT_TIME).await;
    let load = node.engines.load(row.address, node.settings.upstream.load_timeout).await;
    let Pending { suspects, done } = node.crash_watch.take(&row.name);
    if load.is_err_and(|error| error.is_transport()) {
        let upstream: Upstream = row.name.clone();
        let crash = Crash { upstream, born_ms: None, suspects };
        if let Some(report) = node.crash_watch.record_own_crash(node.clock.now(), crash) {
            node.peers.send_evidence(report);
        }
    }
    done.cancel();
}
