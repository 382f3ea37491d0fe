//! Prefix cache of prompts and the events that it publishes.

use std::collections;
use std::time;

use serde::Serialize;
use xxhash_rust::xxh3;

use crate::engine::text;

/// Size of a block of a prompt. The key of a block is the XXH3 hash of the prompt up to the end of
/// the block.
const BLOCK_BYTES: usize = 256;
const MAX_EVENTS: usize = 1024;
/// [`Cache::events`] leaves out the events whose number is a multiple of this.
const GAP_INTERVAL: u64 = 16;

/// Reports that a prefix was added to the cache.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    pub(crate) number: u64,
    /// Key of the last block of the prefix, in hexadecimal digits.
    pub(crate) prefix: String,
    #[serde(skip)]
    at: Option<time::Instant>,
}

/// Cached blocks of prompts. The least recently used one is evicted first.
pub(crate) struct Cache {
    /// Number of the last use of each block, by its key.
    uses: collections::BTreeMap<u64, u64>,
    /// Keys of the blocks, by the number of their last use.
    use_order: collections::BTreeMap<u64, u64>,
    /// Number of the latest use.
    last_use: u64,
    max_blocks: usize,
    events: collections::VecDeque<Event>,
    /// Number of the latest event.
    last_number: u64,
}

impl Cache {
    pub(crate) fn new(max_blocks: usize) -> Cache {
        Cache {
            uses: collections::BTreeMap::new(),
            use_order: collections::BTreeMap::new(),
            last_use: 0,
            max_blocks,
            events: collections::VecDeque::new(),
            last_number: 0,
        }
    }

    /// Adds a prompt and returns how many of its tokens were cached already.
    pub(crate) fn insert(&mut self, now: time::Instant, prompt: &str) -> u32 {
        let keys = keys(prompt);
        let cached = keys.iter().take_while(|key| self.uses.contains_key(key)).count();
        for key in &keys {
            self.touch(now, *key);
        }
        u32::try_from(cached * BLOCK_BYTES / text::BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Fraction of the capacity in use.
    pub(crate) fn usage(&self) -> f64 {
        self.uses.len() as f64 / self.max_blocks.max(1) as f64
    }

    /// Events with a number above `after` that are at least `lag` old. Numbers divisible by
    /// [`GAP_INTERVAL`] are never returned, as if those events were lost.
    pub(crate) fn events(&self, now: time::Instant, after: u64, lag: time::Duration) -> Vec<Event> {
        let due = |event: &&Event| event.at.is_some_and(|at| now - at >= lag);
        let published =
            |event: &&Event| event.number > after && !event.number.is_multiple_of(GAP_INTERVAL);
        self.events.iter().filter(due).filter(published).cloned().collect()
    }

    /// Adds a block or renews its use, and evicts blocks over the capacity.
    fn touch(&mut self, now: time::Instant, key: u64) {
        self.last_use += 1;
        match self.uses.insert(key, self.last_use) {
            Some(last) => {
                self.use_order.remove(&last);
            }
            None => self.publish(now, key),
        }
        self.use_order.insert(self.last_use, key);
        while self.uses.len() > self.max_blocks {
            if let Some((_, oldest)) = self.use_order.pop_first() {
                self.uses.remove(&oldest);
            }
        }
    }

    fn publish(&mut self, now: time::Instant, key: u64) {
        self.last_number += 1;
        let prefix = format!("{key:016x}");
        self.events.push_back(Event { number: self.last_number, prefix, at: Some(now) });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Keys of the complete blocks of a prompt.
fn keys(prompt: &str) -> Vec<u64> {
    let mut hash = xxh3::Xxh3::new();
    let mut key = |block: &[u8]| {
        hash.update(block);
        hash.digest()
    };
    prompt.as_bytes().chunks_exact(BLOCK_BYTES).map(&mut key).collect()
}
