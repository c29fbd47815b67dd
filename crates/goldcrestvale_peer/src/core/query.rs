//! Queries for the results of idempotent calls, sent and received.

use std::sync::Arc;

use goldcrestvale_base::id::Incarnation;
use goldcrestvale_wire::{field, message as wire};

use super::Core;
use crate::{
    events::{EventHandler, Reply, ResultQuery},
    query::{self, Query},
};

impl<E: EventHandler> Core<E> {
    pub(super) fn start_query(&mut self, query: Query) {
        let now = self.shared.clock.now();
        let owner = query.owner;
        if let Err(error) = self.check_query(owner) {
            let _ = query.reply.send(Err(error));
            return;
        }
        self.shared.counts.asks.inc();
        let id = self.queries.add(query, now + self.shared.settings.query_timeout);
        match self.links.touch(now, owner).map(|link| link.id) {
            Some(link) => self.send_query(id, link, owner),
            None => {
                let peer = self.member.view().peers().find(|peer| peer.incarnation == Some(owner));
                if let Some(address) = peer.map(|peer| peer.seed.address) {
                    self.connect(address);
                }
            }
        }
    }

    fn check_query(&self, owner: Incarnation) -> query::Result<()> {
        let view = self.member.view();
        if self.queries.len() >= self.shared.settings.max_queries {
            Err(query::Error::TooMany)
        } else if view.has_ended(owner) {
            Err(query::Error::Gone)
        } else if !view.peers().any(|peer| peer.incarnation == Some(owner)) {
            Err(query::Error::Unknown)
        } else {
            Ok(())
        }
    }

    pub(super) fn send_query(&mut self, id: u64, link: u64, owner: Incarnation) {
        let now = self.shared.clock.now();
        let queue = self.links.touch(now, owner).map(|link| Arc::clone(&link.queue));
        if let (Some(queue), Some(message)) = (queue, self.queries.send(id, link)) {
            self.push(&queue, message.into());
        }
    }

    pub(super) fn query_received(&self, link: u64, ask: &wire::AnswerAsk) -> field::Result<()> {
        let Some(link) = self.links.iter().find(|candidate| candidate.id == link) else {
            return Ok(());
        };
        let reply = Reply {
            ask: ask.ask,
            queue: Arc::clone(&link.queue),
            counts: Arc::clone(&self.shared.counts),
            max_body: self.shared.settings.max_body(),
        };
        let from = link.peer.instance.clone();
        let query = ResultQuery {
            from,
            key: field::decode_key(&ask.key)?,
            digest: field::decode_digest(&ask.digest)?,
        };
        self.events.result_queried(query, reply);
        Ok(())
    }
}
