//! Answers with which a host itself refuses or fails a request.

use std::time;

use bytes::Bytes;
use sequoiacrank_kernel::code;

use crate::body::Body;
use crate::front;

/// Time to wait after a refusal with a transient cause: by then the host knows a new endpoint or
/// configuration.
const RETRY_SOON: time::Duration = time::Duration::from_millis(300);

/// A result code that the host itself answers with.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Result code.
    pub code: code::Code,
    /// Time after which the caller may retry, if the answer is to say so.
    pub retry_after: Option<time::Duration>,
    /// Whether the host has no memory for the request.
    pub lacks_memory: bool,
}

impl Refusal {
    /// A refusal without a time to retry.
    pub fn new(code: code::Code) -> Self {
        Refusal { code, retry_after: None, lacks_memory: false }
    }

    /// A refusal with a transient cause.
    pub fn retry_soon(code: code::Code) -> Self {
        Refusal { retry_after: Some(RETRY_SOON), ..Refusal::new(code) }
    }

    /// A refusal by a host that is leaving. Other hosts can serve the request at once.
    pub fn leaving() -> Self {
        Refusal { retry_after: Some(time::Duration::ZERO), ..Refusal::new(code::Code::NotReady) }
    }

    /// The answer to the caller.
    pub fn answer(self) -> front::Answer {
        let text =
            format!("{{\"code\":{},\"title\":\"{}\"}}\n", self.code.number(), self.code.title());
        let mut answer = http::Response::new(Body::full(Bytes::from(text).into()));
        let status = http::StatusCode::from_u16(self.code.status());
        *answer.status_mut() = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        let json = http::HeaderValue::from_static("application/json");
        answer.headers_mut().insert(http::header::CONTENT_TYPE, json);
        if self.code == code::Code::BodyLate {
            // The rest of the body would be taken for the next request.
            let close = http::HeaderValue::from_static("close");
            answer.headers_mut().insert(http::header::CONNECTION, close);
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64().max(0.05));
            if let Ok(seconds) = http::HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(http::header::RETRY_AFTER, seconds);
            }
        }
        answer
    }
}
