//! The queue of messages for one peer.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use goldcrestvale_wire::{frame::OVERHEAD_BYTES, message::Message};
use tokio::sync::Notify;

/// The result of pushing a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushResult {
    /// The message was queued.
    Queued,
    /// The message was queued, and gossip was dropped to make space for it.
    Displaced {
        /// Number of messages dropped.
        dropped: usize,
    },
    /// The message was dropped: it is gossip, and the queue is full of other messages.
    Dropped,
    /// The queue is full of messages that may not be dropped; the peer is too slow.
    Full,
    /// The connection is closing.
    Closed,
}

/// A bounded queue that drops the oldest gossip first, and never blocks the sender.
///
/// Parts of configurations wait until all other messages are sent, since a transfer may take seconds
/// and a peer whose heartbeats are missing counts as dead.
///
/// # Examples
///
/// ```
/// use goldcrestvale_peer::queue::{PushResult, Queue};
/// use goldcrestvale_wire::message::{ConfigAsk, Heartbeat};
///
/// let queue = Queue::new(1, 1024);
/// assert_eq!(queue.push(Heartbeat::default().into()), PushResult::Queued);
/// assert_eq!(queue.push(ConfigAsk::default().into()), PushResult::Displaced { dropped: 1 });
/// assert_eq!(queue.push(Heartbeat::default().into()), PushResult::Dropped);
/// assert_eq!(queue.push(ConfigAsk::default().into()), PushResult::Full);
/// ```
#[derive(Debug)]
pub struct Queue {
    max_messages: usize,
    max_bytes: usize,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    messages: VecDeque<Message>,
    /// Parts of configurations.
    bulk: VecDeque<Message>,
    bytes: usize,
    closed: bool,
}

impl Queue {
    /// Creates an empty queue with its limits.
    pub fn new(max_messages: usize, max_bytes: usize) -> Self {
        Self { max_messages, max_bytes, state: Mutex::default(), changed: Notify::new() }
    }

    /// Adds a message, dropping the oldest gossip when the queue is full.
    pub fn push(&self, message: Message) -> PushResult {
        let mut state = self.lock();
        if state.closed {
            return PushResult::Closed;
        }
        let bytes = frame_len(&message);
        let is_bulk = is_bulk(&message);
        let mut dropped = 0;
        // The number of parts is limited by their bytes only.
        while (!is_bulk && state.messages.len() >= self.max_messages)
            || state.bytes + bytes > self.max_bytes
        {
            if !state.drop_gossip() {
                return if is_gossip(&message) { PushResult::Dropped } else { PushResult::Full };
            }
            dropped += 1;
        }
        state.bytes += bytes;
        match is_bulk {
            true => state.bulk.push_back(message),
            false => state.messages.push_back(message),
        }
        self.changed.notify_one();
        if dropped == 0 { PushResult::Queued } else { PushResult::Displaced { dropped } }
    }

    /// Closes the queue: messages in it can still be popped, but none can be pushed.
    pub fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_one();
    }

    /// Removes the next message, or returns `None` once the queue is closed and empty.
    pub async fn pop(&self) -> Option<Message> {
        loop {
            // A permit stored before this call still wakes the waiter.
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                if let Some(message) = state.pop() {
                    return Some(message);
                }
                if state.closed {
                    return None;
                }
            }
            changed.await;
        }
    }

    /// Removes the next message, if there is one.
    pub fn try_pop(&self) -> Option<Message> {
        self.lock().pop()
    }

    /// Returns the number of queued messages.
    pub fn len(&self) -> usize {
        let state = self.lock();
        state.messages.len() + state.bulk.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn pop(&mut self) -> Option<Message> {
        let message = self.messages.pop_front().or_else(|| self.bulk.pop_front())?;
        self.bytes -= frame_len(&message);
        Some(message)
    }

    fn drop_gossip(&mut self) -> bool {
        let oldest = self.messages.iter().position(is_gossip);
        match oldest.and_then(|index| self.messages.remove(index)) {
            Some(message) => {
                self.bytes -= frame_len(&message);
                true
            }
            None => false,
        }
    }
}

fn frame_len(message: &Message) -> usize {
    OVERHEAD_BYTES + message.body_len()
}

/// Returns whether a message is part of a transfer that may take long.
fn is_bulk(message: &Message) -> bool {
    matches!(message, Message::ConfigState(_))
}

/// Returns whether a later message supersedes this one, so that it may be dropped. A lost limit of a
/// chain costs one refusal and a lost loan a few retries, less than a connection that ends.
fn is_gossip(message: &Message) -> bool {
    matches!(
        message,
        Message::Heartbeat(_)
            | Message::Members(_)
            | Message::Use(_)
            | Message::Sends(_)
            | Message::CustomerLoad(_)
            | Message::ChainLimits(_)
            | Message::RetryLoans(_)
    )
}
