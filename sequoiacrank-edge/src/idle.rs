//! The idle time of callers' connections.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;
use std::time;

use hyper::body::Frame;
use hyper_util::rt;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::id;
use tokio::net::TcpStream;

use crate::body;
use crate::host;
use crate::memory::blocks;

/// Shortest limit, so that a limit of zero does not keep the process busy.
const MIN_LIMIT: time::Duration = time::Duration::from_millis(100);

/// When a connection became idle.
#[derive(Clone)]
pub struct Idle(rc::Rc<State>);

struct State {
    host: rc::Rc<host::Host>,
    /// When its last request ended, or its last byte was written; `None` while a request is in
    /// progress on it.
    since: cell::Cell<Option<id::Time>>,
    /// Since when bytes wait to be written and none could be; `None` if no bytes wait.
    blocked_since: cell::Cell<Option<id::Time>>,
    /// Whether bytes were read since the last request began to be served. Outside a request these
    /// are the beginning of a head.
    head_begun: cell::Cell<bool>,
}

/// A request in progress. The connection is idle again when this is dropped.
pub struct Busy(Idle);

impl Drop for Busy {
    fn drop(&mut self) {
        let state = &self.0.0;
        // What was read until now belongs to the request that ends.
        state.head_begun.set(false);
        state.since.set(Some(state.host.clock.now()));
    }
}

/// The body of an answer, which keeps its connection busy until it is handed over for writing.
pub struct Body {
    body: body::Body,
    _busy: Busy,
}

impl Idle {
    /// A connection that is idle from now on.
    pub fn new(host: &rc::Rc<host::Host>) -> Self {
        let since = cell::Cell::new(Some(host.clock.now()));
        Idle(rc::Rc::new(State {
            host: host.clone(),
            since,
            blocked_since: cell::Cell::new(None),
            head_begun: cell::Cell::new(false),
        }))
    }

    /// Begins a request.
    pub fn begin(&self) -> Busy {
        self.0.since.set(None);
        Busy(self.clone())
    }

    /// Time for which the connection has been idle; `None` if it is not.
    fn time(&self) -> Option<time::Duration> {
        self.since().map(|since| self.0.host.clock.now().saturating_sub(since))
    }

    /// Since when the connection is idle by the rules of HTTP: no request has begun on it, and no
    /// bytes wait to be written. `None` if it is not.
    pub fn unused_since(&self) -> Option<id::Time> {
        self.since().filter(|_| !self.0.head_begun.get())
    }

    /// Since when no request is being served and no bytes wait to be written.
    pub fn since(&self) -> Option<id::Time> {
        self.0.since.get().filter(|_| self.0.blocked_since.get().is_none())
    }

    /// Since when bytes wait to be written and none could be; `None` if no bytes wait.
    pub fn blocked_since(&self) -> Option<id::Time> {
        self.0.blocked_since.get()
    }

    /// Waits until the connection has been idle for the time that `limit` takes from the newest
    /// limits.
    pub async fn expired<F>(&self, limit: F)
    where
        F: Fn(&catalog::Limits) -> time::Duration,
    {
        let mut limits = self.0.host.limits.subscribe();
        loop {
            let limit = limit(&limits.borrow_and_update()).max(MIN_LIMIT);
            let left = limit.saturating_sub(self.time().unwrap_or_default());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                // The sender lives as long as the host.
                Ok(()) = limits.changed() => {}
            }
        }
    }

    /// Records the result of a write.
    fn record_write(&self, written: &task::Poll<io::Result<usize>>) {
        let state = &self.0;
        self.set_blocked(written.is_pending());
        if written.is_ready() && state.since.get().is_some() {
            state.since.set(Some(state.host.clock.now()));
        }
    }

    fn set_blocked(&self, blocked: bool) {
        let state = &self.0;
        if state.blocked_since.get().is_some() != blocked {
            state.blocked_since.set(blocked.then(|| state.host.clock.now()));
            state.host.stop.count_blocked(blocked);
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        if self.blocked_since.get().is_some() {
            self.host.stop.count_blocked(false);
        }
    }
}

/// A connection of a caller that records whether bytes wait to be written.
pub struct Stream {
    stream: rt::TokioIo<TcpStream>,
    idle: Idle,
}

impl Stream {
    /// The connection that `idle` belongs to.
    pub fn new(stream: TcpStream, idle: Idle) -> Self {
        Stream { stream: rt::TokioIo::new(stream), idle }
    }
}

impl hyper::rt::Read for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let read = pin::Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_ready() {
            self.idle.0.head_begun.set(true);
        }
        read
    }
}

impl hyper::rt::Write for Stream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.idle.record_write(&written);
        written
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.idle.record_write(&written);
        written
    }
}

impl Busy {
    /// Keeps the connection busy until the answer is written.
    pub fn until_written(self, answer: http::Response<body::Body>) -> http::Response<Body> {
        answer.map(|body| Body { body, _busy: self })
    }
}

impl hyper::body::Body for Body {
    type Data = blocks::Chunk;
    type Error = body::StreamError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<blocks::Chunk>, body::StreamError>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
