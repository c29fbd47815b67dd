use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{id::Key, time::Instant};
use goldcrestvale_upstream::service::Answer;
use indexmap::IndexMap;

/// Bytes counted for an answer in addition to its body.
const ANSWER_OVERHEAD: usize = 1_024;

/// Cache of service answers for retried calls, bounded in bytes and by age.
#[derive(Debug)]
pub struct AnswerCache {
    max_bytes: usize,
    window: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    by_key: IndexMap<Key, Arc<Answer>>,
    order: VecDeque<(Instant, Key)>,
    bytes: usize,
}

impl AnswerCache {
    /// Creates an empty cache that holds at most `max_bytes`, each answer for `window`.
    pub fn new(max_bytes: usize, window: Duration) -> Self {
        Self { max_bytes, window, state: Mutex::default() }
    }

    /// Inserts an answer, evicting the oldest ones if it does not fit.
    pub fn insert(&self, key: Key, answer: Arc<Answer>, now: Instant) {
        let size = size_of(&answer);
        if size > self.max_bytes {
            return;
        }
        let mut state = self.lock();
        state.expire(now, self.window);
        while state.bytes + size > self.max_bytes {
            state.drop_oldest();
        }
        if state.by_key.insert(key, answer).is_none() {
            state.bytes += size;
            state.order.push_back((now, key));
        }
    }

    /// Returns the answer to the call of a key.
    pub fn get(&self, key: &Key) -> Option<Arc<Answer>> {
        self.lock().by_key.get(key).cloned()
    }

    /// Returns the number of cached answers and their size in bytes.
    pub fn size(&self) -> (usize, usize) {
        let state = self.lock();
        (state.by_key.len(), state.bytes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn expire(&mut self, now: Instant, window: Duration) {
        while self.order.front().is_some_and(|(inserted, _)| now.since(*inserted) > window) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.order.pop_front();
        if let Some(answer) = oldest.and_then(|(_, key)| self.by_key.swap_remove(&key)) {
            self.bytes -= size_of(&answer);
        }
    }
}

fn size_of(answer: &Answer) -> usize {
    answer.body.len() + ANSWER_OVERHEAD
}
