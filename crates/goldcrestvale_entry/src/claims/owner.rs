use std::sync::{Arc, Weak};

use bytes::Bytes;
use goldcrestvale_ledger::claim::OwnerAnswer;
use goldcrestvale_peer::events::{AnswerState, Header, Reply, ResultQuery, StoredResult as Result};
use goldcrestvale_upstream::service::Answer;
use tokio::sync::oneshot;

use super::Command;
use crate::{node::Node, peers::Owner};

/// Answers queries of other instances for the outcomes of calls at this one.
pub(super) struct QueryHandler {
    node: Weak<Node>,
}

impl QueryHandler {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self { node: Arc::downgrade(node) }
    }
}

impl Owner for QueryHandler {
    fn answer(&self, query: ResultQuery, reply: Reply) {
        let Some(node) = self.node.upgrade() else { return };
        let (sender, outcome) = oneshot::channel();
        let sent = node
            .claims
            .coordinator(&query.key)
            .map(|coordinator| coordinator.send(Command::QueryOutcome(query.key, sender)));
        if !matches!(sent, Some(Ok(()))) {
            return reply.send(Result::without_answer(AnswerState::Unknown));
        }
        tokio::spawn(async move {
            let outcome = outcome.await.unwrap_or(OwnerAnswer::Silent);
            let answer = node.claims.answers().get(&query.key);
            reply.send(result(&outcome, answer.as_deref()));
        });
    }
}

fn result(outcome: &OwnerAnswer, answer: Option<&Answer>) -> Result {
    match (outcome, answer) {
        (OwnerAnswer::Ran, Some(answer)) => Result {
            state: AnswerState::Settled,
            status: answer.status.as_u16(),
            headers: headers(answer),
            body: answer.body.clone(),
        },
        (OwnerAnswer::Ran, None) => Result::without_answer(AnswerState::TooLong),
        (OwnerAnswer::MayHaveRun, _) => Result::without_answer(AnswerState::Running),
        (OwnerAnswer::GivenUp, _) => Result::without_answer(AnswerState::Abandoned),
        (OwnerAnswer::Silent, _) => Result::without_answer(AnswerState::Unknown),
    }
}

fn headers(answer: &Answer) -> Vec<Header> {
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| Header {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    answer.headers.iter().map(header).collect()
}
