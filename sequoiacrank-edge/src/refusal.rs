//! Refusals and failures of the host's own.

use std::time;

use sequoiacrank_kernel::code;

use crate::body::Body;
use crate::front;

/// Time to come back after a refusal that will not last: a new endpoint or configuration is known by then.
const SOON: time::Duration = time::Duration::from_millis(300);

/// A refusal or failure of the host's own.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// What happened.
    pub code: code::Code,
    /// Time after which the caller is asked to come back.
    pub after: Option<time::Duration>,
}

impl Refusal {
    /// A refusal after which the caller need not come back at a certain time.
    pub fn new(code: code::Code) -> Self {
        Refusal { code, after: None }
    }

    /// A refusal that will not last.
    pub fn soon(code: code::Code) -> Self {
        Refusal { code, after: Some(SOON) }
    }

    /// The answer to the caller.
    pub fn answer(self) -> front::Answer {
        let text =
            format!("{{\"code\":{},\"title\":\"{}\"}}\n", self.code.number(), self.code.title());
        let mut answer = http::Response::new(Body::whole(text.into()));
        let status = http::StatusCode::from_u16(self.code.status());
        *answer.status_mut() = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        let json = http::HeaderValue::from_static("application/json");
        answer.headers_mut().insert(http::header::CONTENT_TYPE, json);
        if let Some(after) = self.after {
            let seconds = format!("{:.2}", after.as_secs_f64().max(0.05));
            if let Ok(seconds) = http::HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(http::header::RETRY_AFTER, seconds);
            }
        }
        answer
    }
}
