//! A caller's connection, on which requests are handled one after the other.

use std::io;
use std::net;
use std::time;

use crate::gate::buffer;
use crate::gate::head;
use crate::problem;

/// Most response bytes buffered for a slow caller; beyond it the gate stops reading from the
/// internal HTTP server.
const MAX_OUTPUT_BYTES: usize = 256 * 1024;
/// Longest time without progress while a caller has a response to read.
const READ_STALL_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// How long a caller may continue to send after its last response. Closing at once could reset the
/// connection before the caller has read the response.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Most bytes relayed in one turn, so that a busy connection leaves time for the others.
const MAX_TURN_BYTES: usize = 64 * 1024;

/// State of a connection.
#[derive(Debug)]
pub enum Phase {
    /// Waiting for a complete head.
    Head,
    /// Waiting for a complete body.
    Body(head::Head),
    /// Relaying a request to the internal HTTP server and its response to the caller.
    Relay(Relay),
    /// Writing the last response; received bytes are dropped.
    Closing,
}

/// A request that was handed to the internal HTTP server.
#[derive(Debug)]
pub struct Relay {
    /// Connection to the internal HTTP server.
    pub internal: mio::net::TcpStream,
    /// Number of the request at the gate.
    pub number: u64,
    /// Whether the request runs a pipeline or follows a request.
    pub long_running: bool,
    request: buffer::Buffer,
    response: Response,
    keep_alive: bool,
    is_eof: bool,
}

impl Relay {
    /// A relay that sends `bytes` to `internal`.
    pub fn new(
        internal: mio::net::TcpStream,
        number: u64,
        head: &head::Head,
        bytes: &[u8],
    ) -> Self {
        let mut request = buffer::Buffer::default();
        request.push(bytes);
        Relay {
            internal,
            number,
            long_running: head.long_running,
            request,
            response: Response::default(),
            keep_alive: head.keep_alive,
            is_eof: false,
        }
    }
}

/// Tracks the framing of a response, to tell a complete one from a truncated one.
#[derive(Debug, Default)]
struct Response {
    /// Bytes of the head until it is complete.
    head: Vec<u8>,
    /// Body bytes still to come, if the response has a `Content-Length`.
    remaining: Option<u64>,
    /// Last bytes of a chunked response; not empty once its head is complete.
    last_bytes: Vec<u8>,
}

impl Response {
    const CHUNKED_END: &'static [u8] = b"0\r\n\r\n";

    fn observe(&mut self, bytes: &[u8]) {
        let mut bytes = bytes;
        if self.remaining.is_none() && self.last_bytes.is_empty() {
            let offset = self.head.len();
            self.head.extend_from_slice(bytes);
            let Some(end) = self.head.windows(4).position(|window| window == b"\r\n\r\n") else {
                return;
            };
            bytes = &bytes[end + 4 - offset..];
            self.remaining = content_length(&self.head[..end]);
            self.last_bytes = vec![b'\n'];
            self.head = Vec::new();
        }
        match &mut self.remaining {
            Some(remaining) => *remaining = remaining.saturating_sub(bytes.len() as u64),
            None => self.observe_chunked(bytes),
        }
    }

    fn observe_chunked(&mut self, bytes: &[u8]) {
        self.last_bytes
            .extend_from_slice(&bytes[bytes.len().saturating_sub(Self::CHUNKED_END.len())..]);
        let excess = self.last_bytes.len().saturating_sub(Self::CHUNKED_END.len());
        self.last_bytes.drain(..excess);
    }

    fn is_complete(&self) -> bool {
        match self.remaining {
            Some(remaining) => remaining == 0,
            None => self.last_bytes == Self::CHUNKED_END,
        }
    }
}

fn content_length(head: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(head).ok()?;
    text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    })
}

/// A caller's connection.
#[derive(Debug)]
pub struct Connection {
    /// Socket of the caller.
    pub caller: mio::net::TcpStream,
    /// State.
    pub phase: Phase,
    /// When the connection times out; `None` while it has no time limit.
    pub deadline: Option<time::Instant>,
    /// Changes whenever the connection begins to wait for a head, which marks older queue entries
    /// as outdated.
    pub stamp: u64,
    /// Received bytes that were not processed yet.
    pub input: buffer::Buffer,
    output: buffer::Buffer,
    write_closed: bool,
}

/// Result of a turn of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Nothing can be done until a socket is ready.
    Blocked,
    /// More can be done at once.
    Again,
    /// The response is complete; the next request may have been received already.
    Served,
    /// The response ended and the connection must be closed.
    Close,
    /// The caller closed the connection.
    Disconnected,
}

impl Connection {
    /// A new connection on which a head is due by `deadline`.
    pub fn new(caller: mio::net::TcpStream, deadline: time::Instant) -> Self {
        Connection {
            caller,
            phase: Phase::Head,
            deadline: Some(deadline),
            stamp: 0,
            input: buffer::Buffer::default(),
            output: buffer::Buffer::default(),
            write_closed: false,
        }
    }

    /// Changes the phase.
    pub fn enter(&mut self, phase: Phase, deadline: Option<time::Instant>) {
        self.phase = phase;
        self.deadline = deadline;
    }

    /// Answers with an error and closes the connection.
    pub fn refuse(&mut self, problem: &problem::Problem, now: time::Instant) {
        self.output.push(&problem.response());
        self.start_closing(now);
    }

    /// Closes the connection after the caller has had time to read the response.
    pub fn start_closing(&mut self, now: time::Instant) {
        self.enter(Phase::Closing, Some(now + LINGER_TIMEOUT));
    }

    /// Whether a request or response is in transfer.
    pub fn is_busy(&self) -> bool {
        match self.phase {
            Phase::Head => !self.input.is_empty(),
            Phase::Body(_) | Phase::Relay(_) => true,
            Phase::Closing => !self.output.is_empty(),
        }
    }

    /// Sends `100 Continue` to a caller that waits for it.
    pub fn send_continue(&mut self) {
        self.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Reads and writes what the sockets allow; at most `limit` received bytes are buffered.
    ///
    /// # Errors
    ///
    /// An error of either socket.
    pub fn turn(&mut self, limit: usize, now: time::Instant) -> io::Result<Turn> {
        let mut progressed = self.write(now)?;
        match self.phase {
            Phase::Closing => return self.linger(),
            Phase::Relay(_) => match self.relay(now)? {
                Turn::Again => progressed = true,
                Turn::Blocked => {}
                turn => return Ok(turn),
            },
            _ => {}
        }
        match self.input.fill(&mut self.caller, limit)? {
            Some(0) => Ok(Turn::Disconnected),
            Some(_) => Ok(Turn::Again),
            None if progressed => Ok(Turn::Again),
            None => Ok(Turn::Blocked),
        }
    }

    fn write(&mut self, now: time::Instant) -> io::Result<bool> {
        let written = self.output.drain(&mut self.caller)?;
        if matches!(self.phase, Phase::Relay(_)) && (written > 0 || self.output.is_empty()) {
            self.deadline = (!self.output.is_empty()).then(|| now + READ_STALL_TIMEOUT);
        }
        Ok(written > 0)
    }

    fn relay(&mut self, now: time::Instant) -> io::Result<Turn> {
        let Phase::Relay(relay) = &mut self.phase else { return Ok(Turn::Blocked) };
        let mut relayed = relay.request.drain(&mut relay.internal)?;
        while !relay.is_eof && relayed < MAX_TURN_BYTES {
            let offset = self.output.len();
            match self.output.fill(&mut relay.internal, MAX_OUTPUT_BYTES)? {
                Some(0) => relay.is_eof = true,
                Some(count) => {
                    relay.response.observe(&self.output.bytes()[offset..]);
                    relayed += count;
                }
                None => break,
            }
        }
        if relayed > 0 {
            self.write(now)?;
        }
        let Phase::Relay(relay) = &self.phase else { return Ok(Turn::Blocked) };
        if !self.output.is_empty() && self.deadline.is_none() {
            self.deadline = Some(now + READ_STALL_TIMEOUT);
        }
        match relay.is_eof && self.output.is_empty() {
            true if relay.keep_alive && relay.response.is_complete() => Ok(Turn::Served),
            true => Ok(Turn::Close),
            false if relayed > 0 => Ok(Turn::Again),
            false => Ok(Turn::Blocked),
        }
    }

    fn linger(&mut self) -> io::Result<Turn> {
        if self.output.is_empty() && !self.write_closed {
            self.write_closed = true;
            self.caller.shutdown(net::Shutdown::Write)?;
        }
        self.input = buffer::Buffer::default();
        match self.input.fill(&mut self.caller, MAX_TURN_BYTES)? {
            Some(0) => Ok(Turn::Disconnected),
            Some(_) => Ok(Turn::Again),
            None => Ok(Turn::Blocked),
        }
    }
}
