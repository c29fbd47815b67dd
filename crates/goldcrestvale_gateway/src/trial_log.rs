//! Claims trials of requests that may crash upstreams, in the log of the platform.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::{Offset, Upstream};
use goldcrestvale_entry::{
    clock::Clock,
    crash_watch::CrashWatch,
    trial_log::{self, Attempt, Error, Held, Host, List, Page, Position},
};
use goldcrestvale_route::trials::Record;

use crate::{
    error_response::ErrorResponse,
    forward::Matched,
    gateway::Gateway,
    port::{self, Port, TrialPage},
};

impl<P: Port> Host for Gateway<P> {
    fn watch(&self) -> &Arc<CrashWatch> {
        &self.crash_watch
    }

    fn position(&self) -> &Position {
        &self.trial_log
    }

    fn clock(&self) -> Clock {
        self.clock
    }

    fn cleans(&self) -> bool {
        // The first instance by name.
        self.peers.snapshot().rank == 0
    }

    fn count_failure(&self) {
        self.metrics.count_directory_failure("trials");
    }

    async fn list(&self) -> trial_log::Result<List> {
        let list = self.port.list_trials().await.map_err(error)?;
        Ok(List { page: page(list.page), is_partial: list.is_partial })
    }

    async fn tail(&self, from: Offset, wait: Duration) -> trial_log::Result<Page> {
        self.port.tail_trials(from, wait).await.map(page).map_err(error)
    }

    async fn append(&self, records: &[Record]) -> trial_log::Result<()> {
        self.port.append_trials(records).await.map_err(error)
    }
}

fn page(TrialPage { records, next }: TrialPage) -> Page {
    Page { records, next }
}

fn error(error: port::Error) -> Error {
    match error {
        port::Error::Trimmed { .. } | port::Error::Restored { .. } => Error::Trimmed,
        error => Error::Failed(error.to_string()),
    }
}

/// Claims a trial of a request if it needs one.
///
/// # Errors
///
/// Fails with the refusal of the request if it may not be sent now.
pub(crate) async fn claim<P: Port>(
    matched: &mut Matched<P>,
    upstream: &Upstream,
) -> Result<(), ErrorResponse> {
    let gateway = matched.gateway.clone();
    let attempt = Attempt {
        request: matched.content,
        upstream,
        is_repeat: !matched.trace.tried.is_empty(),
        time_left: matched.time_left(gateway.now()),
    };
    trial_log::claim(&gateway, &mut matched.trial, attempt).await.map_err(|held| refusal(&held))
}

/// Returns the refusal of a request that crashes upstreams.
pub(crate) fn refusal(held: &Held) -> ErrorResponse {
    ErrorResponse::not_run("quarantined", held.to_string(), held.left)
}
