//! Changes by operators: appended to the log, answered once they are read back.

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

/// How long an operator's change may take to be read back from the log.
const PATIENCE: Duration = Duration::from_secs(5);

/// How often repeats and deadlines are looked at.
const INTERVAL: Duration = Duration::from_millis(50);

impl Manager {
    /// Makes a change and waits for its answer.
    pub async fn change(
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
            state.waiting.entry(id).or_default().push(sender);
            let State { fold, desk, .. } = &mut *state;
            desk.submit(now, id, change, origin, now + PATIENCE, fold)
        };
        act(node, actions);
        // The desk answers at the deadline at the latest.
        answer.await.unwrap_or(Answer::Unknown { id })
    }
}

/// Carries out what the desk decided.
pub(super) fn act(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Append { id, data } => {
                tokio::runtime::Handle::current().spawn(append(node.clone(), id, data));
            }
            Action::Answer { id, answer } => {
                let waiting = node.configuration.state().waiting.remove(&id);
                for sender in waiting.into_iter().flatten() {
                    // An operator who has gone needs no answer.
                    let _ = sender.send(answer.clone());
                }
            }
        }
    }
}

/// Lets the desk repeat appends and answer at deadlines.
pub(super) async fn tick(node: Arc<Node>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let actions = node.configuration.state().desk.tick(node.clock.now());
        act(&node, actions);
    }
}

async fn append(node: Arc<Node>, id: RecordId, data: Arc<str>) {
    let result = match RawValue::from_string(data.as_ref().to_owned()) {
        Ok(data) => node.log.append(STREAM, vec![Entry { id, data }]).await,
        Err(_) => return,
    };
    let append = match result {
        Ok(_) => AppendResult::Stored,
        Err(e) if e.may_have_appended() => AppendResult::Lost,
        Err(e) => AppendResult::Refused(e.to_string()),
    };
    let mut state = node.configuration.state();
    let State { desk, rng, .. } = &mut *state;
    desk.record_append(node.clock.now(), &id, &append, rng);
}
