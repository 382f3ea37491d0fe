//! Errors in answers to callers: `application/problem+json` with a numeric code.

use std::time;

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use serde_json::json;

/// Media type of an error.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// A refusal or failure of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Numeric code, which determines the HTTP status.
    pub code: code::Code,
    /// What is wrong in this case.
    pub detail: String,
    /// Whether any stage of the request ran.
    pub run: code::Run,
    /// Time after which a retry may succeed.
    pub retry_after: Option<time::Duration>,
}

impl Problem {
    /// A refusal of a request none of whose stages ran.
    pub fn refused<S>(code: code::Code, detail: S) -> Self
    where
        S: Into<String>,
    {
        Problem { code, detail: detail.into(), run: code::Run::No, retry_after: None }
    }

    /// The body of the response as JSON.
    pub fn body(&self, request: Option<id::RequestId>) -> String {
        let mut body = json!({
            "type": format!("urn:sequoiacrank:code:{}", self.code.number()),
            "status": self.code.status(),
            "code": self.code.number(),
            "title": self.code.title(),
            "detail": self.detail,
            "run": self.run.to_string(),
        });
        if let Some(after) = self.retry_after {
            body["retry_after_ms"] = json!(after.as_millis() as u64);
        }
        if let Some(request) = request {
            body["request"] = json!(request.to_string());
        }
        body.to_string()
    }

    /// The complete HTTP response, for a connection that is closed after it.
    pub fn response(&self) -> Vec<u8> {
        let body = self.body(None);
        let status = self.code.status();
        format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: {MEDIA_TYPE}\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            reason_phrase(status),
            body.len()
        )
        .into_bytes()
    }
}

/// Reason phrase of an HTTP status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        499 => "Client Closed Request",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
