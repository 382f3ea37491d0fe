//! Bodies of answers to callers.

use std::convert;
use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Frame;
use quick_error::quick_error;
use tokio::sync::mpsc;

quick_error! {
    /// A stream ended before its last event. The connection is closed so that it does not look whole.
    #[derive(Debug)]
    pub enum Broken {
        /// The endpoint broke off and no other one could continue.
        Endpoint {
            display("the stream ended before its last event")
        }
    }
}

impl From<convert::Infallible> for Broken {
    fn from(never: convert::Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer.
pub enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body {
    /// A body that is there as a whole.
    pub fn whole(bytes: Bytes) -> Self {
        Body::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Body::Whole(bytes) => task::Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Body::Pieces(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Whole(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Body::Pieces(_) => http_body::SizeHint::default(),
        }
    }
}
