//! A request and its response, which is framed here.
//!
//! The HTTP library buffers a streamed body until it ends. Responses are therefore written directly
//! to the connection, and each event is a chunk that is flushed at once.

use std::io;
use std::io::Write as _;

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;

use crate::gate;
use crate::problem;

/// Media type of an event stream.
pub const EVENT_STREAM: &str = "text/event-stream";

/// A request that came through the gate.
pub struct Exchange {
    request: tiny_http::Request,
    /// Number of the request at the gate.
    pub number: u64,
}

/// An additional header of a response.
pub struct Header {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

impl Exchange {
    /// An exchange for a request with the gate's header; any other request is dropped without an
    /// answer.
    pub fn new(request: tiny_http::Request, secret: &str) -> Option<Exchange> {
        let mut exchange = Exchange { request, number: 0 };
        let gate_header = gate::GateHeader::parse(exchange.header(gate::GATE_HEADER)?)?;
        exchange.number = gate_header.number;
        (gate_header.secret == secret).then_some(exchange)
    }

    /// The method.
    pub fn method(&self) -> String {
        self.request.method().to_string()
    }

    /// The path without the query.
    pub fn path(&self) -> String {
        let url = self.request.url();
        url.split('?').next().unwrap_or(url).to_owned()
    }

    /// Whether the query holds `parameter`, which may have a value.
    pub fn has_parameter(&self, parameter: &str) -> bool {
        let query = self.request.url().split_once('?').map_or("", |(_, query)| query);
        query.split('&').any(|part| part.split('=').next() == Some(parameter))
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let headers = self.request.headers();
        let found = headers
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
        Some(found.value.as_str())
    }

    /// Whether the caller wants an event stream.
    pub fn wants_stream(&self) -> bool {
        self.header("Accept").is_some_and(|accept| accept.contains(EVENT_STREAM))
    }

    /// Reads the body as text. The gate has bounded its size and received it completely.
    ///
    /// # Errors
    ///
    /// [`code::Code::BadRequest`] if it can't be read or is not UTF-8.
    pub fn body(&mut self) -> Result<String, problem::Problem> {
        let mut body = String::new();
        match self.request.as_reader().read_to_string(&mut body) {
            Ok(_) => Ok(body),
            Err(error) => Err(problem::Problem::refused(
                code::Code::BadRequest,
                format!("the body can't be read: {error}"),
            )),
        }
    }

    /// Answers with text.
    pub fn text(self, status: u16, text: &str) -> io::Result<()> {
        self.answer(status, "text/plain; charset=utf-8", &[], text)
    }

    /// Answers with JSON.
    pub fn json(self, status: u16, body: &str) -> io::Result<()> {
        self.answer(status, "application/json", &[], body)
    }

    /// Answers with an error.
    pub fn problem(self, problem: &problem::Problem) -> io::Result<()> {
        self.request_problem(problem, None)
    }

    /// Answers with an error of the request with this id.
    pub fn request_problem(
        self,
        problem: &problem::Problem,
        request: Option<id::RequestId>,
    ) -> io::Result<()> {
        let seconds = problem.retry_after.map(|after| after.as_secs_f64().ceil().max(1.0) as u64);
        let retry_after =
            seconds.map(|value| Header { name: "Retry-After", value: value.to_string() });
        let headers: Vec<Header> = retry_after.into_iter().collect();
        self.answer(problem.code.status(), problem::MEDIA_TYPE, &headers, &problem.body(request))
    }

    /// Answers with a body of known length.
    pub fn answer(
        self,
        status: u16,
        media_type: &str,
        headers: &[Header],
        body: &str,
    ) -> io::Result<()> {
        let mut head = head(status, media_type, headers);
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut writer = self.request.into_writer();
        writer.write_all((head + body).as_bytes())?;
        writer.flush()
    }

    /// Begins an event stream.
    pub fn stream(self, headers: &[Header]) -> io::Result<Stream> {
        let mut head = head(200, EVENT_STREAM, headers);
        head.push_str("Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n");
        Ok(Stream { writer: self.request.into_writer(), buffer: head })
    }
}

fn head(status: u16, media_type: &str, headers: &[Header]) -> String {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", problem::reason_phrase(status));
    head.push_str(&format!("Content-Type: {media_type}\r\n"));
    for Header { name, value } in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head
}

/// An event stream that is being written.
pub struct Stream {
    writer: Box<dyn io::Write + Send>,
    buffer: String,
}

impl Stream {
    /// Adds an event, which [`Stream::flush`] sends.
    pub fn event(&mut self, number: u64, kind: &str, data: &str) {
        self.chunk(&format!("id: {number}\nevent: {kind}\ndata: {data}\n\n"));
    }

    /// Adds a comment, which keeps the connection alive.
    pub fn comment(&mut self, text: &str) {
        self.chunk(&format!(": {text}\n\n"));
    }

    /// Sends what was added.
    pub fn flush(&mut self) -> io::Result<()> {
        let buffer = std::mem::take(&mut self.buffer);
        self.writer.write_all(buffer.as_bytes())?;
        self.writer.flush()
    }

    /// Ends the stream.
    pub fn end(mut self) -> io::Result<()> {
        self.buffer.push_str("0\r\n\r\n");
        self.flush()
    }

    fn chunk(&mut self, text: &str) {
        self.buffer.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
    }
}
