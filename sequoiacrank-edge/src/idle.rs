//! The idle time of callers' connections.

use std::cell;
use std::pin;
use std::rc;
use std::task;

use hyper::body::Frame;
use sequoiacrank_kernel::id;

use crate::body;
use crate::clock;
use crate::host;

/// When a connection became idle; `None` while a request is in progress on it.
#[derive(Clone)]
pub struct Idle {
    clock: clock::Clock,
    since: rc::Rc<cell::Cell<Option<id::Time>>>,
}

/// A request in progress. The connection is idle again when this is dropped.
pub struct Busy(Idle);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.since.set(Some(self.0.clock.now()));
    }
}

/// The body of an answer, which keeps its connection busy until it is written.
pub struct Body {
    body: body::Body,
    _busy: Busy,
}

impl Idle {
    /// A connection that is idle from now on.
    pub fn new(clock: clock::Clock) -> Self {
        Idle { clock, since: rc::Rc::new(cell::Cell::new(Some(clock.now()))) }
    }

    /// Begins a request.
    pub fn begin(&self) -> Busy {
        self.since.set(None);
        Busy(self.clone())
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.since.get().is_none()
    }

    /// Waits until the connection has been idle for longer than the limit of the newest
    /// configuration.
    pub async fn expired(&self, host: &host::Host) {
        let mut limits = host.limits.subscribe();
        loop {
            let limit = limits.borrow_and_update().idle;
            let idle = self.since.get().map(|since| host.clock.now().saturating_sub(since));
            let left = limit.saturating_sub(idle.unwrap_or_default());
            if left.is_zero() && idle.is_some() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                // The sender lives as long as the host.
                Ok(()) = limits.changed() => {}
            }
        }
    }
}

impl Busy {
    /// Keeps the connection busy until the answer is written.
    pub fn until_written(self, answer: http::Response<body::Body>) -> http::Response<Body> {
        answer.map(|body| Body { body, _busy: self })
    }
}

impl hyper::body::Body for Body {
    type Data = bytes::Bytes;
    type Error = body::StreamError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<bytes::Bytes>, body::StreamError>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
