//! Bodies of answers to callers.

use std::convert;
use std::pin;
use std::task;

use http_body::Frame;
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::memory::blocks;

quick_error! {
    /// Why the body of an answer failed. The error closes the connection, so that the caller does
    /// not take the stream for a complete one.
    #[derive(Debug)]
    pub enum StreamError {
        /// The stream broke before its last event and no other endpoint could continue it.
        Truncated {
            display("the stream ended before its last event")
        }
    }
}

impl From<convert::Infallible> for StreamError {
    fn from(never: convert::Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer.
pub enum Body {
    /// What is left of a complete body.
    Full(blocks::Unwritten),
    /// A stream of chunks, and the error with which it fails once the chunks are written.
    Stream(mpsc::Receiver<Result<blocks::Chunk, StreamError>>, Option<StreamError>),
}

impl Body {
    /// A body whose chunks are received from `chunks`.
    pub fn stream(chunks: mpsc::Receiver<Result<blocks::Chunk, StreamError>>) -> Self {
        Body::Stream(chunks, None)
    }

    /// A body of which all bytes are available.
    pub fn full(body: blocks::Blocks) -> Self {
        Body::Full(body.into())
    }

    /// A body without bytes.
    pub fn empty() -> Self {
        Body::Full(blocks::Unwritten::default())
    }
}

impl http_body::Body for Body {
    type Data = blocks::Chunk;
    type Error = StreamError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<blocks::Chunk>, StreamError>>> {
        match &mut *self {
            Body::Full(rest) => task::Poll::Ready(rest.take_chunk().map(|it| Ok(Frame::data(it)))),
            Body::Stream(chunks, failure) => match failure.take() {
                Some(err) => task::Poll::Ready(Some(Err(err))),
                None => match chunks.poll_recv(cx) {
                    task::Poll::Ready(Some(Err(err))) => {
                        // The server writes the chunks before it polls again; at an error it drops
                        // those that it has not written.
                        *failure = Some(err);
                        cx.waker().wake_by_ref();
                        task::Poll::Pending
                    }
                    chunk => chunk.map(|chunk| chunk.map(|it| it.map(Frame::data))),
                },
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(rest) if rest.length() == 0)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Full(rest) => http_body::SizeHint::with_exact(rest.length()),
            Body::Stream(..) => http_body::SizeHint::default(),
        }
    }
}
