//! The ids of a stream's events, which show whether another endpoint's events continue it.

/// Number of events after which ids without a gap show that later ones have none either. Some
/// streams number tokens, of which an event holds several.
const MIN_EVENTS: u64 = 2;

/// Where an event belongs in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Behind the events before it.
    Next,
    /// Before the last event, so that the caller has it.
    Earlier,
    /// It is the first one of an endpoint that was to continue the stream, and is not the event
    /// after the last one.
    Elsewhere,
}

/// The ids of the events of a stream.
#[derive(Debug, Default)]
pub struct Sequence {
    /// Id of the last event.
    last: Option<u64>,
    /// Number of events with ids.
    count: u64,
    /// Whether an id was not the successor of the one before it.
    has_gap: bool,
    /// Whether an endpoint is to continue the stream and has not sent an event yet.
    resuming: bool,
    /// Whether an event without an id came after the last one with an id.
    unnumbered: bool,
}

impl Sequence {
    /// The events that follow `last`.
    pub fn after(last: Option<u64>) -> Self {
        Sequence { last, ..Sequence::default() }
    }

    /// Id of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether another endpoint can continue the stream. The ids do not tell it where to go on
    /// after an event without one.
    pub fn is_resumable(&self) -> bool {
        !self.unnumbered
    }

    /// Records that the next event is the first one of another endpoint.
    pub fn resume(&mut self) {
        self.resuming = true;
    }

    /// Whether the first event of another endpoint is still due.
    pub fn is_resuming(&self) -> bool {
        self.resuming
    }

    /// Finds the place of an event with this id, which is `None` if it has none. Comments are no
    /// events.
    pub fn place(&mut self, id: Option<u64>) -> Place {
        let place = match (id, self.last) {
            (None, Some(_)) if self.resuming => Place::Elsewhere,
            (Some(id), Some(last)) if self.resuming && !self.follows(id, last) => Place::Elsewhere,
            (Some(id), Some(last)) if id <= last => Place::Earlier,
            (Some(id), last) => {
                self.has_gap |= last.is_some_and(|last| id - last > 1);
                self.last = Some(id);
                self.count += 1;
                self.unnumbered = false;
                Place::Next
            }
            (None, _) => {
                self.unnumbered = true;
                Place::Next
            }
        };
        self.resuming &= place == Place::Elsewhere;
        place
    }

    /// Whether an event with this id is the one after the event `last`, as far as the ids show.
    fn follows(&self, id: u64, last: u64) -> bool {
        let is_counted = self.count >= MIN_EVENTS && !self.has_gap;
        id > last && (!is_counted || id - last == 1)
    }
}
