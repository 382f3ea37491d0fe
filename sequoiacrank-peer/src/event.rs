//! Events of an answer stream, as one host forwards them to another.

use crossbeam::channel;
use sequoiacrank_kernel::id;

/// One numbered event of the answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Sequence number, counted from 1 without gaps.
    pub number: u64,
    /// Kind, such as `text` or `done`.
    pub kind: String,
    /// Payload.
    pub data: String,
}

/// Provides the server with the streams of requests that run on this host.
pub trait Source: Send + Sync {
    /// Events of `request` with numbers above `after`; the channel closes after the last one.
    ///
    /// Returns `None` if this host does not know the request. The call must not block.
    fn follow(&self, request: id::RequestId, after: u64) -> Option<channel::Receiver<StreamEvent>>;
}

/// Item received while following the stream of a request on another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followed {
    /// The next event.
    Event(StreamEvent),
    /// The stream is complete; this is the last item.
    End,
    /// The other host does not know the request; this is the last item.
    Unknown,
    /// The other host is unreachable or the stream broke, with the reason; this is the last item.
    Lost(String),
}
