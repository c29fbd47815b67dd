//! Changes by operators, which are appended to the log and answered once they are read back.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::RecordId;
use goldcrestvale_config::{
    change::{Change, STREAM},
    submission::{Action, Answer, AppendResult, Origin},
};
use goldcrestvale_platform::message::Entry;
use serde_json::value::RawValue;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::{Manager, State};
use crate::node::Node;

/// Maximum time until an operator's change is read back from the log.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between checks for due retries and passed deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

impl Manager {
    /// Submits a change and waits for its answer.
    pub async fn submit(
        &self,
        node: &Arc<Node>,
        id: RecordId,
        change: &Change,
        origin: Origin,
    ) -> Answer {
        let (sender, answer) = oneshot::channel();
        let now = node.clock.now();
        let actions = {
            let mut state = self.state();
            state.waiters.entry(id).or_default().push(sender);
            let State { fold, submissions, .. } = &mut *state;
            submissions.submit(now, id, change, origin, now + CHANGE_TIMEOUT, fold)
        };
        perform(node, actions);
        // The queue answers at the deadline at the latest.
        answer.await.unwrap_or(Answer::Unknown { id })
    }
}

/// Performs the actions that the queue of changes returned.
pub(super) fn perform(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Append { id, data } => {
                tokio::runtime::Handle::current().spawn(append(node.clone(), id, data));
            }
            Action::Answer { id, answer } => {
                let waiters = node.configuration.state().waiters.remove(&id);
                for sender in waiters.into_iter().flatten() {
                    // The operator may have disconnected.
                    let _ = sender.send(answer.clone());
                }
            }
        }
    }
}

/// Retries appends that are due and answers changes whose deadline has passed.
pub(super) async fn tick(node: Arc<Node>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let actions = node.configuration.state().submissions.tick(node.clock.now());
        perform(&node, actions);
    }
}

async fn append(node: Arc<Node>, id: RecordId, data: Arc<str>) {
    let result = match RawValue::from_string(data.as_ref().to_owned()) {
        Ok(data) => node.log.append(STREAM, vec![Entry { id, data }]).await,
        Err(_) => return,
    };
    let outcome = match result {
        Ok(_) => AppendResult::Stored,
        Err(e) if e.may_have_appended() => AppendResult::Lost,
        Err(e) => AppendResult::Refused(e.to_string()),
    };
    let mut state = node.configuration.state();
    let State { submissions, rng, .. } = &mut *state;
    submissions.record_append(node.clock.now(), &id, &outcome, rng);
}
