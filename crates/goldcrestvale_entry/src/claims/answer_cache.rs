use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{id::Key, time::Instant};
use goldcrestvale_upstream::service::Answer;
use indexmap::IndexMap;

/// Bytes counted for an answer beside its body.
const ANSWER_OVERHEAD: usize = 1_024;

/// Answers of services, kept for repeated calls within bounds of bytes and time.
#[derive(Debug)]
pub struct AnswerCache {
    most: usize,
    window: Duration,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    by_key: IndexMap<Key, Arc<Answer>>,
    order: VecDeque<(Instant, Key)>,
    bytes: usize,
}

impl AnswerCache {
    /// Makes an empty store that holds this many bytes for this long.
    pub fn new(most: usize, window: Duration) -> Self {
        Self { most, window, kept: Mutex::default() }
    }

    /// Keeps an answer; the oldest ones go where there is no room.
    pub fn insert(&self, key: Key, answer: Arc<Answer>, now: Instant) {
        let size = size_of(&answer);
        if size > self.most {
            return;
        }
        let mut kept = self.lock();
        kept.expire(now, self.window);
        while kept.bytes + size > self.most {
            kept.drop_oldest();
        }
        if kept.by_key.insert(key, answer).is_none() {
            kept.bytes += size;
            kept.order.push_back((now, key));
        }
    }

    /// Returns the answer of a key's call.
    pub fn get(&self, key: &Key) -> Option<Arc<Answer>> {
        self.lock().by_key.get(key).cloned()
    }

    /// Returns the number of answers and their bytes.
    pub fn size(&self) -> (usize, usize) {
        let kept = self.lock();
        (kept.by_key.len(), kept.bytes)
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn expire(&mut self, now: Instant, window: Duration) {
        while self.order.front().is_some_and(|(since, _)| now.since(*since) > window) {
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
