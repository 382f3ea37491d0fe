//! HTTP calls and their answers.

use std::io;
use std::io::Read;
use std::io::Write;
use std::time;

use serde::Serialize;
use serde::de;

use crate::fault;
use crate::timer;

const MAX_BODY_BYTES: u64 = 64 << 20;
const OPEN_TIME: time::Duration = time::Duration::from_secs(60);
const ATTEMPT_HEADER: &str = "Sequoiacrank-Attempt";
const RESUMED_HEADER: &str = "Sequoiacrank-Resumed";
const ROUTE_HEADER: &str = "Sequoiacrank-Route";

/// A call whose body has been read.
pub(crate) struct Call {
    pub(crate) method: tiny_http::Method,
    pub(crate) path: String,
    query: String,
    pub(crate) body: Vec<u8>,
    request: tiny_http::Request,
    timer: timer::Timer,
}

impl Call {
    /// Reads the body, up to [`MAX_BODY_BYTES`]. Fails if the connection breaks.
    pub(crate) fn read(mut request: tiny_http::Request, timer: timer::Timer) -> io::Result<Call> {
        let mut body = Vec::new();
        request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body)?;
        let (path, query) = match request.url().split_once('?') {
            Some((path, query)) => (path.to_owned(), query.to_owned()),
            None => (request.url().to_owned(), String::new()),
        };
        Ok(Call { method: request.method().clone(), path, query, body, request, timer })
    }

    /// Segments of the path.
    pub(crate) fn path_segments(&self) -> Vec<&str> {
        self.path.trim_start_matches('/').split('/').collect()
    }

    /// Value of a header; its name is matched without regard to case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let matches =
            |header: &&tiny_http::Header| header.field.as_str().as_str().eq_ignore_ascii_case(name);
        self.request.headers().iter().find(matches).map(|header| header.value.as_str())
    }

    /// Value of a numeric query parameter, if it is present and valid.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }

    /// Route named in the headers.
    pub(crate) fn route(&self) -> Option<&str> {
        self.header(ROUTE_HEADER)
    }

    /// Attempt id that the client sent, or an empty string.
    pub(crate) fn attempt(&self) -> String {
        self.header(ATTEMPT_HEADER).unwrap_or_default().to_owned()
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T>(&self) -> Result<T, serde_json::Error>
    where
        T: de::DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
    }

    /// Turns the call into its answer, which is still to be sent.
    pub(crate) fn reply(self) -> Reply {
        let attempt = self.attempt();
        let Call { request, timer, .. } = self;
        Reply {
            attempt,
            fault: None,
            resume_from: 0,
            status: 500,
            writer: request.into_writer(),
            timer,
        }
    }
}

/// Body of an error answer.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Answer to one call. Dropping it unsent closes the connection if the client asked for the
/// connection to be closed after the call.
pub(crate) struct Reply {
    pub(crate) attempt: String,
    pub(crate) fault: Option<fault::CallFault>,
    /// Number of tokens that a resumed generation skips.
    pub(crate) resume_from: u32,
    /// Status of the answer under [`fault::CallFault::FailAfter`].
    status: u16,
    writer: Box<dyn Write + Send>,
    timer: timer::Timer,
}

impl Reply {
    /// Applies the effect of the fault switches to the answer.
    pub(crate) fn apply(&mut self, effect: fault::Effect) {
        self.fault = effect.fault;
        self.status = effect.status;
        if effect.fault == Some(fault::CallFault::Other) {
            self.attempt = uuid::Uuid::new_v4().to_string();
        }
    }

    /// Keeps the connection open for [`OPEN_TIME`] without sending anything more.
    pub(crate) fn keep_open(self) {
        let timer = self.timer.clone();
        timer.run_after(OPEN_TIME, move || drop(self));
    }

    /// Sends a JSON body, altered by the fault if there is one.
    pub(crate) fn json<T>(self, status: u16, body: &T) -> io::Result<()>
    where
        T: Serialize,
    {
        self.json_bytes(status, &serde_json::to_vec(body)?)
    }

    /// Sends a body that is already encoded as JSON.
    pub(crate) fn json_bytes(self, status: u16, body: &[u8]) -> io::Result<()> {
        self.send(status, "application/json", body, &[])
    }

    /// Sends an error with this message.
    pub(crate) fn error(self, status: u16, error: &str) -> io::Result<()> {
        self.json(status, &ErrorBody { error })
    }

    /// Refuses a call over the rate limit, with the seconds after which to retry.
    pub(crate) fn rate_limited(self, retry_after_s: u64) -> io::Result<()> {
        let body = serde_json::to_vec(&ErrorBody { error: "too many calls" })?;
        self.send(429, "application/json", &body, &[("Retry-After", retry_after_s.to_string())])
    }

    /// Sends a complete answer with additional headers, altered by the fault if there is one.
    pub(crate) fn send(
        mut self,
        status: u16,
        content_type: &str,
        body: &[u8],
        headers: &[(&str, String)],
    ) -> io::Result<()> {
        let status = match self.fault {
            Some(fault::CallFault::FailAfter) => self.status,
            _ => status,
        };
        let mut head = self.head(status, content_type);
        headers.iter().for_each(|(name, value)| head += &format!("{name}: {value}\r\n"));
        match self.fault {
            Some(fault::CallFault::Lost | fault::CallFault::Late) => Ok(()),
            Some(fault::CallFault::Truncate) => {
                self.write_sized(&head, body.len(), &body[..body.len() / 2])
            }
            Some(fault::CallFault::Stall) => {
                self.write_sized(&head, body.len(), &body[..body.len() / 2])?;
                self.keep_open();
                Ok(())
            }
            Some(fault::CallFault::Garbage) => {
                let garbage = &b"{\"\xff\xfe garbage"[..];
                self.write_sized(&head, garbage.len(), garbage)
            }
            Some(fault::CallFault::Twice) => {
                self.write_sized(&head, 2 * body.len(), &[body, body].concat())
            }
            _ => self.write_sized(&head, body.len(), body),
        }
    }

    /// Sends the head of a stream of server-sent events.
    pub(crate) fn begin_stream(&mut self) -> io::Result<()> {
        let head = self.head(200, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n";
        self.writer.write_all(head.as_bytes())?;
        self.writer.flush()
    }

    /// Sends one event of a stream.
    pub(crate) fn send_event(&mut self, data: &str) -> io::Result<()> {
        let length = data.len() + "data: \n\n".len();
        self.writer.write_all(format!("{length:x}\r\ndata: {data}\n\n\r\n").as_bytes())?;
        self.writer.flush()
    }

    /// Ends a stream.
    pub(crate) fn end_stream(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn head(&self, status: u16, content_type: &str) -> String {
        let phrase = tiny_http::StatusCode(status).default_reason_phrase();
        let mut head = format!("HTTP/1.1 {status} {phrase}\r\nContent-Type: {content_type}\r\n");
        if !self.attempt.is_empty() {
            head += &format!("{ATTEMPT_HEADER}: {}\r\n", self.attempt);
        }
        if self.resume_from > 0 {
            head += &format!("{RESUMED_HEADER}: {}\r\n", self.resume_from);
        }
        head
    }

    /// Writes a head that announces `length` bytes, followed by `body`.
    fn write_sized(&mut self, head: &str, length: usize, body: &[u8]) -> io::Result<()> {
        let head = format!("{head}Content-Length: {length}\r\n\r\n");
        self.writer.write_all(&[head.as_bytes(), body].concat())?;
        self.writer.flush()
    }
}
