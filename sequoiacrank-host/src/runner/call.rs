//! Executes one call over HTTP.

use std::io;
use std::io::Read as _;
use std::time;

use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

use crate::clock;
use crate::runner;
use crate::runner::answer;
use crate::runner::body;
use crate::runner::stream;

/// Header with the id of the attempt; an endpoint may send it back.
const ATTEMPT_HEADER: &str = "Sequoiacrank-Attempt";
/// Header by which an engine confirms that it skipped the number of tokens given in `resume_from`.
const RESUMED_HEADER: &str = "Sequoiacrank-Resumed";
/// Header with the priority of the call.
const PRIORITY_HEADER: &str = "Sequoiacrank-Priority";
/// Header with the route of the request.
const ROUTE_HEADER: &str = "Sequoiacrank-Route";
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Shortest read timeout, since the system takes zero as no timeout.
const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(1);
/// Largest answer that is accepted.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a call ended without a complete answer.
enum Error {
    Fault(traffic::Fault),
    /// The engine would generate again the tokens that the caller has received already.
    NotResumed,
    Cancelled,
}

impl From<traffic::Fault> for Error {
    fn from(fault: traffic::Fault) -> Self {
        Error::Fault(fault)
    }
}

/// Runs a call to its end.
pub fn run(call: &runner::Call, clock: &clock::Clock, sink: &dyn runner::Sink) -> traffic::Ending {
    match exchange(call, clock, sink) {
        Ok(tokens) => traffic::Ending::Good { tokens },
        Err(Error::Cancelled) => traffic::Ending::Cancelled,
        Err(Error::Fault(_)) if call.cancelled() => traffic::Ending::Cancelled,
        Err(Error::NotResumed) => {
            traffic::Ending::Bad { fault: traffic::Fault::Garbled, delivered: true }
        }
        // Engines resume a generation after the delivered tokens; other answers are not delivered
        // before they are complete.
        Err(Error::Fault(fault)) => traffic::Ending::Bad { fault, delivered: false },
    }
}

fn exchange(
    call: &runner::Call,
    clock: &clock::Clock,
    sink: &dyn runner::Sink,
) -> Result<u32, Error> {
    if call.cancelled() {
        return Err(Error::Cancelled);
    }
    let response = send(call, clock)?;
    let status = response.status().as_u16();
    match status {
        200..=299 => {}
        429 | 503 => return Err(traffic::Fault::Overloaded.into()),
        _ => return Err(traffic::Fault::Status(status).into()),
    }
    let attempt = call.dispatch.attempt.to_string();
    if response
        .headers()
        .get(ATTEMPT_HEADER)
        .is_some_and(|value| value.as_bytes() != attempt.as_bytes())
    {
        return Err(traffic::Fault::Garbled.into());
    }
    if !is_resumed(call, response.headers()) {
        return Err(Error::NotResumed);
    }
    let streamed = response
        .headers()
        .get("content-type")
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    match (call.kind, streamed) {
        (plan::Kind::Generate, true) => read_events(call, clock, sink, response),
        (_, false) => read_answer(call, sink, response),
        _ => Err(traffic::Fault::Garbled.into()),
    }
}

/// Whether an engine that was asked to resume a generation confirms it; true if it was not asked.
fn is_resumed(call: &runner::Call, headers: &attohttpc::header::HeaderMap) -> bool {
    let delivered = match call.kind {
        plan::Kind::Generate if call.is_last_stage() => call.session.delivered().1,
        _ => 0,
    };
    let confirmed = headers.get(RESUMED_HEADER).and_then(|value| value.to_str().ok());
    delivered == 0 || confirmed.and_then(|value| value.parse().ok()) == Some(delivered)
}

fn send(call: &runner::Call, clock: &clock::Clock) -> Result<attohttpc::Response, traffic::Fault> {
    let stage = call.stage().ok_or(traffic::Fault::Garbled)?;
    let remaining = call.dispatch.deadline.saturating_sub(clock.now());
    let timeout = stage.idle.min(remaining).max(MIN_TIMEOUT);
    let url = format!("http://{}{}", call.address, stage.path);
    let accept = match call.kind {
        plan::Kind::Generate => "text/event-stream",
        _ => "application/json",
    };
    let request = attohttpc::post(url)
        .header("Accept", accept)
        .header("Content-Type", "application/json")
        .header("Connection", "close")
        .header(ATTEMPT_HEADER, call.dispatch.attempt.to_string())
        .header(PRIORITY_HEADER, body::priority(call.session.pipeline.class).to_string())
        .header(ROUTE_HEADER, call.session.request.route.as_str())
        .connect_timeout(CONNECT_TIMEOUT.min(timeout))
        .read_timeout(timeout)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build());
    let request = match call.session.request.key {
        Some(key) => request.header("Idempotency-Key", key.to_string()),
        None => request,
    };
    let body = body::build(call).to_string();
    request.text(body).send().map_err(|error| send_fault(&error))
}

fn send_fault(error: &attohttpc::Error) -> traffic::Fault {
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => io_fault(error),
        _ => traffic::Fault::Garbled,
    }
}

fn io_fault(error: &io::Error) -> traffic::Fault {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => traffic::Fault::Refused,
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => traffic::Fault::Timeout,
        io::ErrorKind::InvalidData | io::ErrorKind::Other => traffic::Fault::Garbled,
        _ => traffic::Fault::Reset,
    }
}

/// The fault of an established connection, which can no longer be refused.
fn read_fault(error: &io::Error) -> traffic::Fault {
    match io_fault(error) {
        traffic::Fault::Refused => traffic::Fault::Reset,
        fault => fault,
    }
}

/// Reads an answer that is not streamed.
fn read_answer(
    call: &runner::Call,
    sink: &dyn runner::Sink,
    response: attohttpc::Response,
) -> Result<u32, Error> {
    let (_, headers, reader) = response.split();
    let mut bytes = Vec::new();
    let read = reader.take(MAX_ANSWER_BYTES + 1).read_to_end(&mut bytes);
    read.map_err(|error| read_fault(&error))?;
    sink.first_byte(call);
    let content_length = headers.get("content-length").and_then(|length| length.to_str().ok());
    let content_length = content_length.and_then(|length| length.parse::<u64>().ok());
    match bytes.len() as u64 {
        length if length > MAX_ANSWER_BYTES => return Err(traffic::Fault::Garbled.into()),
        length if content_length.is_some_and(|content_length| length < content_length) => {
            return Err(traffic::Fault::Reset.into());
        }
        _ => {}
    }
    let value: serde_json::Value =
        serde_json::from_slice(&bytes).map_err(|_| traffic::Fault::Garbled)?;
    if !answer::matches_attempt(&value, call.dispatch.attempt) {
        return Err(traffic::Fault::Garbled.into());
    }
    let mut context = answer::apply(call.kind, &call.session.context(), value)?;
    if let (plan::Kind::Generate, true, Some(text)) =
        (call.kind, call.is_last_stage(), &context.text)
    {
        call.session.add_text(call.dispatch.attempt, text);
        context.text = Some(call.session.delivered().0);
    }
    match call.session.update_context(call.dispatch.attempt, |current| *current = context) {
        true => Ok(1),
        false => Err(Error::Cancelled),
    }
}

/// The state of a streamed generation.
struct Generation {
    text: String,
    tokens: u32,
    bytes: u64,
    done: bool,
    error: Option<Error>,
}

/// Reads a generation from a stream of events.
fn read_events(
    call: &runner::Call,
    clock: &clock::Clock,
    sink: &dyn runner::Sink,
    response: attohttpc::Response,
) -> Result<u32, Error> {
    let (_, _, mut reader) = response.split();
    let mut parser = stream::Parser::default();
    let mut generation =
        Generation { text: String::new(), tokens: 0, bytes: 0, done: false, error: None };
    let mut bytes = [0; READ_BUFFER_BYTES];
    let mut is_first = true;
    while !generation.done {
        let count = match reader.read(&mut bytes) {
            Ok(0) => return Err(traffic::Fault::Reset.into()),
            Ok(count) => count,
            Err(error) => return Err(read_fault(&error).into()),
        };
        if call.cancelled() {
            return Err(Error::Cancelled);
        }
        if std::mem::take(&mut is_first) {
            sink.first_byte(call);
        }
        parser
            .push(&bytes[..count], |data| generation.handle_event(call, data))
            .map_err(|stream::Malformed| traffic::Fault::Garbled)?;
        if let Some(error) = generation.error.take() {
            return Err(error);
        }
        if clock.now() > call.dispatch.deadline && !generation.done {
            return Err(traffic::Fault::Timeout.into());
        }
    }
    finish_generation(call, generation)
}

fn finish_generation(call: &runner::Call, generation: Generation) -> Result<u32, Error> {
    let text = match call.is_last_stage() {
        true => call.session.delivered().0,
        false => generation.text,
    };
    match call.session.update_context(call.dispatch.attempt, |context| context.text = Some(text)) {
        true => Ok(generation.tokens),
        false => Err(Error::Cancelled),
    }
}

impl Generation {
    /// Handles one event; returns whether to read on.
    fn handle_event(&mut self, call: &runner::Call, data: &str) -> bool {
        if data == "[DONE]" {
            self.done = true;
            return false;
        }
        match self.handle_chunk(call, data) {
            Ok(()) => true,
            Err(error) => {
                self.error = Some(error);
                false
            }
        }
    }

    fn handle_chunk(&mut self, call: &runner::Call, data: &str) -> Result<(), Error> {
        let chunk: serde_json::Value =
            serde_json::from_str(data).map_err(|_| traffic::Fault::Garbled)?;
        if !answer::matches_attempt(&chunk, call.dispatch.attempt) {
            return Err(traffic::Fault::Garbled.into());
        }
        let text = answer::text_delta(&chunk).ok_or(traffic::Fault::Garbled)?;
        if text.is_empty() {
            return Ok(());
        }
        self.tokens += 1;
        self.bytes += text.len() as u64;
        if self.bytes > MAX_ANSWER_BYTES {
            return Err(traffic::Fault::Garbled.into());
        }
        match call.is_last_stage() {
            true if !call.session.add_text(call.dispatch.attempt, &text) => Err(Error::Cancelled),
            true => Ok(()),
            false => {
                self.text.push_str(&text);
                Ok(())
            }
        }
    }
}
