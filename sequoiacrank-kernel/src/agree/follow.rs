//! Delivers the records of a stream in the order of their offsets, whatever order they are read in.

use std::collections;
use std::time;

use super::{Command, context};
use crate::id;
use crate::log;

/// Time without progress after which missing records are requested again.
const REREAD_DELAY: time::Duration = time::Duration::from_millis(500);

/// Reading position in one stream.
pub(super) struct Follower {
    stream: log::Stream,
    next: id::Offset,
    buffered: collections::BTreeMap<id::Offset, log::Record>,
    end: id::Offset,
    requested: id::Time,
    caught_up: bool,
}

impl Follower {
    /// Starts at the oldest record that the log keeps.
    pub fn new(stream: log::Stream, cx: &mut context::Context<'_>) -> Follower {
        cx.push(Command::Follow { stream, from: 0 });
        let buffered = collections::BTreeMap::new();
        Follower { stream, next: 0, buffered, end: 0, requested: cx.now, caught_up: false }
    }

    /// Whether all records that the log held at some read have been delivered, and no gap was found
    /// since.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Offset behind the last record that the log is known to hold.
    pub fn end(&self) -> id::Offset {
        self.end.max(self.next)
    }

    /// Resets [`Follower::caught_up`] until a later read reaches the end of the stream.
    pub fn mark_stale(&mut self) {
        self.caught_up = false;
    }

    /// Takes the records of a read and returns those that are next in order, each once.
    ///
    /// If records ran out of retention before they were read, the follower is no longer caught up
    /// until it reaches the end of the stream again.
    pub fn read(
        &mut self,
        records: Vec<log::Record>,
        first: id::Offset,
        end: id::Offset,
        cx: &mut context::Context<'_>,
    ) -> Vec<log::Record> {
        if first > self.next {
            self.next = first;
            self.caught_up = false;
            self.buffered.retain(|offset, _| *offset >= first);
        }
        self.end = self.end.max(end);
        let unread = records.into_iter().filter(|record| record.offset >= self.next);
        self.buffered.extend(unread.map(|record| (record.offset, record)));
        let mut ready = Vec::new();
        while let Some(record) = self.buffered.remove(&self.next) {
            self.next += 1;
            ready.push(record);
        }
        self.caught_up |= self.next >= self.end;
        match ready.is_empty() {
            true => self.poll(cx),
            false => self.requested = cx.now,
        }
        ready
    }

    /// Requests missing records again once [`REREAD_DELAY`] has passed.
    pub fn poll(&mut self, cx: &mut context::Context<'_>) {
        let missing = self.next < self.end || !self.buffered.is_empty();
        if missing && cx.now >= self.requested + REREAD_DELAY {
            self.request_read(cx);
        }
    }

    /// Requests the records from the current position on.
    pub fn request_read(&mut self, cx: &mut context::Context<'_>) {
        self.requested = cx.now;
        cx.push(Command::Follow { stream: self.stream, from: self.next });
    }
}
