//! The memory of one stream: events that wait to be written, and the rest of the last one read.

use std::rc;

use bytes::Bytes;
use sequoiacrank_kernel::edge::memory as account;

use crate::memory;
use crate::memory::blocks;

/// Memory that is held for a buffer.
pub struct Held {
    /// Whether there was no room for it at first.
    pub has_waited: bool,
}

/// The memory of a stream.
pub struct Queue {
    lease: rc::Rc<memory::Lease>,
    /// Bytes that the buffer for the incomplete event holds.
    buffered: usize,
}

impl Queue {
    /// The queue of a stream of which nothing has arrived.
    pub fn new(memory: &rc::Rc<memory::Memory>) -> Self {
        Queue { lease: rc::Rc::new(memory.lease(account::Class::Answer)), buffered: 0 }
    }

    /// Waits until there is room for a buffer of this size.
    pub async fn hold_buffer(&mut self, size: usize) -> Held {
        let has_waited = self.grow(size.saturating_sub(self.buffered)).await;
        self.buffered = self.buffered.max(size);
        Held { has_waited }
    }

    /// Records that the buffer has shrunk to this size.
    pub fn shrink_buffer(&mut self, size: usize) {
        self.lease.shrink(self.buffered.saturating_sub(size));
        self.buffered = self.buffered.min(size);
    }

    /// Copies an event, which is accounted for until it is written. Waits until there is room.
    pub async fn event(&self, event: &[u8]) -> blocks::Chunk {
        self.grow(event.len()).await;
        let share = blocks::Share::new(&self.lease, event.len());
        blocks::Chunk::new(Bytes::copy_from_slice(event), Some(share))
    }

    /// Waits until there is room for `more` bytes, and returns whether there was none for a while.
    /// The endpoint is not read meanwhile; the caller of this function bounds the time.
    async fn grow(&self, more: usize) -> bool {
        let mut has_waited = false;
        while more > 0 && self.lease.grow(more).await.is_err() {
            has_waited = true;
            self.lease.memory.pressure.record(memory::pressure::Cause::StreamPaused);
        }
        has_waited
    }
}
