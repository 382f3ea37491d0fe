//! Messages queued for one peer.

use std::collections;
use std::time;

use prost::Message as _;

use crate::wire;

/// A queued message.
pub(crate) struct Pending {
    queued_at: time::Instant,
    pub(crate) message: wire::Message,
}

/// A bounded queue that drops its oldest message when it is full.
pub(crate) struct Queue {
    pending: collections::VecDeque<Pending>,
    capacity: usize,
    max_age: time::Duration,
}

impl Queue {
    pub(crate) fn new(capacity: usize, max_age: time::Duration) -> Queue {
        Queue { pending: collections::VecDeque::new(), capacity, max_age }
    }

    /// Adds a message; returns the number of messages dropped to make room.
    pub(crate) fn push(&mut self, now: time::Instant, message: wire::Message) -> u64 {
        self.pending.push_back(Pending { queued_at: now, message });
        self.drop_excess()
    }

    /// Removes the oldest messages of at most `max_bytes` in total, or one larger message.
    pub(crate) fn take_batch(&mut self, max_bytes: usize) -> Vec<Pending> {
        let mut size = 0;
        let fits = |pending: &&Pending| {
            size += pending.message.encoded_len();
            size <= max_bytes
        };
        let count = self.pending.iter().take_while(fits).count().max(1);
        self.pending.drain(..count.min(self.pending.len())).collect()
    }

    /// Puts back an undelivered batch; returns the number of messages dropped to make room.
    pub(crate) fn put_back(&mut self, batch: Vec<Pending>) -> u64 {
        batch.into_iter().rev().for_each(|pending| self.pending.push_front(pending));
        self.drop_excess()
    }

    /// Drops messages queued for longer than `max_age`; returns their number.
    pub(crate) fn expire(&mut self, now: time::Instant) -> u64 {
        let max_age = self.max_age;
        let unexpired =
            |pending: &Pending| now.saturating_duration_since(pending.queued_at) <= max_age;
        let expired = self.pending.iter().position(unexpired).unwrap_or(self.pending.len());
        self.pending.drain(..expired).count() as u64
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn drop_excess(&mut self) -> u64 {
        let excess = self.pending.len().saturating_sub(self.capacity);
        self.pending.drain(..excess).count() as u64
    }
}
