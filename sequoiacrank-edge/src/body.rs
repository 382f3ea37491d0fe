//! Bodies of answers to callers.

use std::convert;
use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Frame;
use quick_error::quick_error;
use tokio::sync::mpsc;

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
    /// The complete body; `None` once it is sent, or if it is empty.
    Full(Option<Bytes>),
    /// A stream of chunks, and the error with which it fails once the chunks are written.
    Stream(mpsc::Receiver<Result<Bytes, StreamError>>, Option<StreamError>),
}

impl Body {
    /// A body whose chunks are received from `chunks`.
    pub fn stream(chunks: mpsc::Receiver<Result<Bytes, StreamError>>) -> Self {
        Body::Stream(chunks, None)
    }

    /// A body of which all bytes are available.
    pub fn full(bytes: Bytes) -> Self {
        Body::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut *self {
            Body::Full(bytes) => task::Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
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
        matches!(self, Body::Full(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Full(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Body::Stream(..) => http_body::SizeHint::default(),
        }
    }
}
