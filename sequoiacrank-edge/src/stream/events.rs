//! Splits a stream into events.

use bytes::Bytes;
use bytes::BytesMut;
use sequoiacrank_kernel::edge::sequence;

/// Length of the longest event in bytes: hundreds of times that of an engine's events, which hold a
/// few tokens, but small compared to the memory of a host.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Size of the smallest buffer in bytes, and of the largest one that is kept while it is empty.
const MIN_ALLOCATION: usize = 1 << 10;

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    /// Bytes that the buffer takes, with those in front that were split off.
    allocated: usize,
    /// Length of the prefix of the buffer in which no event ends.
    searched: usize,
    /// Ids of the events that were returned.
    sequence: sequence::Sequence,
    /// Whether an event did not continue the stream of an earlier endpoint.
    misplaced: bool,
    /// Whether an event was returned.
    has_begun: bool,
}

/// The bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";

impl Events {
    /// The events of a stream that its caller has up to the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Events { sequence: sequence::Sequence::after(last), ..Events::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.has_room(bytes.len()) {
            self.allocated = self.allocation_for(bytes.len());
            let mut grown = BytesMut::with_capacity(self.allocated);
            grown.extend_from_slice(&self.buffer);
            self.buffer = grown;
        }
        self.buffer.extend_from_slice(bytes);
    }

    fn has_room(&self, more: usize) -> bool {
        self.buffer.len() + more <= self.buffer.capacity()
    }

    /// Bytes that the buffer takes.
    pub fn allocated(&self) -> usize {
        self.allocated
    }

    /// Bytes that the buffer will take once `more` are appended.
    pub fn allocation_for(&self, more: usize) -> usize {
        let length = self.buffer.len();
        match self.has_room(more) {
            true => self.allocated,
            false => (length + more).max(2 * length).max(MIN_ALLOCATION),
        }
    }

    /// Releases the buffer if it is large and empty.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() && self.allocated > MIN_ALLOCATION {
            self.buffer = BytesMut::new();
            self.allocated = 0;
        }
    }

    /// Returns the next complete event. Events that the caller already has, by their ids, are
    /// skipped, and so are comments before the first event of another endpoint. An event that does
    /// not continue the stream is a fault and is not returned.
    pub fn next(&mut self) -> Option<Bytes> {
        loop {
            let unsearched = &self.buffer[self.searched..];
            let Some(end) =
                unsearched.windows(EVENT_END.len()).position(|window| window == EVENT_END)
            else {
                self.searched = (self.buffer.len() + 1).saturating_sub(EVENT_END.len());
                return None;
            };
            let event = self.buffer.split_to(self.searched + end + EVENT_END.len()).freeze();
            self.searched = 0;
            if is_comment(&event) {
                match self.sequence.is_resuming() {
                    true => continue,
                    false => return Some(event),
                }
            }
            match self.sequence.place(event_id(&event)) {
                sequence::Place::Next => {
                    self.has_begun = true;
                    return Some(event);
                }
                sequence::Place::Earlier => {}
                sequence::Place::Elsewhere => {
                    self.misplaced = true;
                    return None;
                }
            }
        }
    }

    /// Why the received bytes can't be part of the stream, if they can't.
    pub fn fault(&self) -> Option<&'static str> {
        match self.misplaced {
            true => Some("another event than the next"),
            false => (self.buffer.len() > MAX_EVENT_BYTES).then_some("event too long"),
        }
    }

    /// Why the stream is not complete after the end of an endpoint's answer, if it is not. An answer
    /// that is not framed ends with its connection, also if the endpoint crashes.
    pub fn end_fault(&self, is_framed: bool) -> Option<&'static str> {
        match () {
            () if self.sequence.is_resuming() => Some("no event after the last one"),
            () if !is_blank(&self.buffer) => Some("ended inside an event"),
            () if !is_framed && !self.has_begun => Some("ended before the first event"),
            () => None,
        }
    }

    /// Expects the next event from another endpoint. Drops an incomplete event.
    pub fn switch_endpoint(&mut self) {
        self.searched = 0;
        self.buffer.clear();
        self.misplaced = false;
        self.sequence.resume();
    }

    /// Returns the rest of the buffer after the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Id of the last event that was returned; `None` if another endpoint begins the stream anew.
    pub fn last_id(&self) -> Option<u64> {
        self.sequence.last()
    }

    /// Whether another endpoint can continue the stream.
    pub fn is_resumable(&self) -> bool {
        self.sequence.is_resumable()
    }
}

/// Whether bytes hold nothing but ends of lines.
fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| b"\r\n".contains(byte))
}

/// Whether an event holds only comments, which keep the connection alive but show no progress of
/// the stream.
pub fn is_comment(event: &[u8]) -> bool {
    event.split(|&byte| byte == b'\n').all(|line| line.is_empty() || line.starts_with(b":"))
}

/// The id of an event, if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&byte| byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
