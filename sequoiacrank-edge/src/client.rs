//! Connections to endpoints and to the store.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use quick_error::quick_error;
use sequoiacrank_adapter::call;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::edge::notice;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use tokio::task;

use crate::clock;
use crate::dial;
use crate::memory;
use crate::memory::blocks;

/// Time to connect: several times the round trip between availability zones, and well below the
/// shortest target latency of a request.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Maximum number of idle connections to one address.
const MAX_IDLE: usize = 8;
/// An idle connection is reused only within the server's keep-alive time divided by this. The rest
/// of that time allows for the network latency and for timers that fire late.
const REUSE_DIVISOR: u32 = 2;
/// Size of the largest body that `read_body` accepts, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Size of the largest head of an answer in bytes, and of the buffer from which its body is read.
/// The HTTP library holds up to three such buffers for an endpoint that sends without pause. With
/// 64 KiB, 100 endless answers took 15 MB beside their bodies.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Bytes that may be read until the head of an answer is complete, interim answers included, of
/// which the HTTP library takes any number.
const MAX_HEAD_BYTES: usize = 256 << 10;

quick_error! {
    /// Why a call has no answer.
    ///
    /// Only [`Error::Connect`] means that the request was not sent.
    #[derive(Debug)]
    pub enum Error {
        /// The server could not be reached, so nothing was sent.
        Connect(error: io::Error) {
            display("can't connect: {error}")
            source(error)
        }
        /// The connection broke, or the answer is not valid HTTP. The request may have arrived.
        Broken(error: hyper::Error) {
            from()
            display("connection broke or answer is invalid: {error}")
            source(error)
        }
        /// The call timed out. The request may have arrived.
        Timeout {
            display("no answer in time")
        }
        /// The body of the answer is larger than [`read_body`] accepts.
        TooLarge {
            display("the answer is too large")
        }
        /// There was no memory for the body of the answer.
        NoRoom {
            display("no memory for the answer")
        }
    }
}

impl Error {
    /// Whether the request was certainly not sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect(_))
    }
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a server. Dropping it closes it at once, which cancels the request in flight.
pub struct Connection {
    address: net::SocketAddr,
    sender: http1::SendRequest<blocks::Unwritten>,
    _task: AbortOnDrop,
    /// Whether a request has been sent on it.
    used: bool,
    /// Whether another request was sent on it before the last one.
    kept: bool,
    /// Host that relays it.
    relay: Option<net::SocketAddr>,
    allowance: dial::Allowance,
}

impl Connection {
    async fn start(address: net::SocketAddr, stream: dial::Stream) -> Result<Connection, Error> {
        let (relay, allowance) = (stream.relay(), stream.allowance());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await?;
        let task = task::spawn_local(async move {
            // `send` returns the error.
            let _ = connection.await;
        });
        let task = AbortOnDrop(task);
        Ok(Connection { address, sender, _task: task, used: false, kept: false, relay, allowance })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the request was not sent, [`Error::Broken`] if it may have been.
    pub async fn send(
        &mut self,
        mut request: http::Request<blocks::Blocks>,
    ) -> Result<http::Response<body::Incoming>, Error> {
        self.kept = std::mem::replace(&mut self.used, true);
        if let http::header::Entry::Vacant(host) = request.headers_mut().entry(http::header::HOST) {
            let address = http::HeaderValue::from_str(&self.address.to_string());
            host.insert(address.expect("an address is plain text"));
        }
        let request = request.map(blocks::Unwritten::from);
        self.allowance.set(MAX_HEAD_BYTES);
        let answer = self.sender.try_send_request(request).await;
        // Whoever reads the body bounds it.
        self.allowance.set(usize::MAX);
        match answer {
            Ok(answer) => Ok(answer),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(Error::Connect(io::ErrorKind::NotConnected.into())),
                None => Err(Error::Broken(err.into_error())),
            },
        }
    }

    /// Host that relays it, if any.
    pub fn relay(&self) -> Option<net::SocketAddr> {
        self.relay
    }

    /// Whether a request has been sent on it.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Decodes the head of the answer to the request `attempt`, the last one sent on it.
    pub fn decode(&self, head: &http::response::Parts, attempt: &str) -> call::Answer {
        self.mark_kept(call::Answer::decode(head.status, &head.headers, attempt))
    }

    fn mark_kept(&self, answer: call::Answer) -> call::Answer {
        if self.kept { answer.on_kept_connection() } else { answer }
    }
}

struct Idle {
    connection: Connection,
    /// When it becomes too old to be reused.
    until: id::Time,
}

/// A pool of idle connections.
pub struct Pool {
    /// Opens the connections.
    pub dialer: rc::Rc<dial::Dialer>,
    clock: clock::Clock,
    memory: rc::Rc<memory::Memory>,
    idle: cell::RefCell<map::FastMap<net::SocketAddr, Vec<Idle>>>,
    opened: cell::Cell<u64>,
}

/// An answer with its complete body.
pub struct Answer {
    /// Status of the answer.
    pub status: http::StatusCode,
    /// Headers of the answer.
    pub headers: http::HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
    /// Keeps the memory of the body accounted for.
    _lease: Option<rc::Rc<memory::Lease>>,
    /// What the endpoint reports about itself in its headers.
    pub notice: notice::Notice,
    /// Whether it is certainly the answer to this call, and not to an earlier one.
    pub certain: bool,
}

impl Pool {
    /// An empty pool; the answers to its calls take part of `memory`.
    pub fn new(
        clock: clock::Clock,
        memory: rc::Rc<memory::Memory>,
        dialer: rc::Rc<dial::Dialer>,
    ) -> Self {
        let (idle, opened) = (cell::RefCell::default(), cell::Cell::new(0));
        Pool { dialer, clock, memory, idle, opened }
    }

    /// Opens a new connection to an endpoint.
    ///
    /// # Errors
    ///
    /// When the address can't be reached in time, or the HTTP handshake fails.
    pub async fn connect(&self, address: net::SocketAddr) -> Result<Connection, Error> {
        self.opened.set(self.opened.get() + 1);
        let stream = self.dialer.connect(address, CONNECT_TIMEOUT).await.map_err(Error::Connect)?;
        Connection::start(address, stream).await
    }

    /// Opens a new connection to another server than an endpoint.
    ///
    /// # Errors
    ///
    /// As for [`Pool::connect`].
    pub async fn connect_direct(&self, address: net::SocketAddr) -> Result<Connection, Error> {
        self.opened.set(self.opened.get() + 1);
        let stream = self.dialer.connect_direct(address, CONNECT_TIMEOUT).await;
        Connection::start(address, stream.map_err(Error::Connect)?).await
    }

    /// Takes an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// As for [`Pool::connect`].
    pub async fn get(&self, address: net::SocketAddr) -> Result<Connection, Error> {
        // Connections from before the links were lost may hang.
        let idle = self.take_idle(address).filter(|_| !self.dialer.is_cut_off());
        match idle {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Takes an idle connection for answers of `class`, or opens a new one.
    async fn get_as(
        &self,
        class: account::Class,
        address: net::SocketAddr,
    ) -> Result<Connection, Error> {
        match class {
            account::Class::Control => match self.take_idle(address) {
                Some(connection) => Ok(connection),
                None => self.connect_direct(address).await,
            },
            _ => self.get(address).await,
        }
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(Idle { connection, until }) = list.pop() {
            if now < until && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts back a connection whose last answer was read completely. The server closes it when it
    /// is idle for `keep_alive`. Relayed ones are closed, so that they do not keep the relay from
    /// stopping.
    pub fn put(&self, connection: Connection, keep_alive: time::Duration) {
        if connection.relay.is_some() {
            return;
        }
        let until = self.clock.now() + keep_alive / REUSE_DIVISOR;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.address).or_default();
        if list.len() >= MAX_IDLE {
            list.remove(0);
        }
        list.push(Idle { connection, until });
    }

    /// Closes idle connections that are too old to be used again.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|it| now < it.until && !it.connection.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Number of connections opened since the process started.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// [`Pool::call_as`] for the answer of an endpoint.
    ///
    /// # Errors
    ///
    /// When there is no complete answer within `timeout`.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        request: http::Request<Bytes>,
        timeout: time::Duration,
    ) -> Result<Answer, Error> {
        self.call_as(account::Class::Answer, address, request, timeout).await
    }

    /// Sends a repeatable request and reads the complete answer, which takes memory of `class`. If
    /// the server has closed an idle connection, the request is sent again on a new one.
    ///
    /// # Errors
    ///
    /// When there is no complete answer within `timeout`.
    pub async fn call_as(
        &self,
        class: account::Class,
        address: net::SocketAddr,
        request: http::Request<Bytes>,
        timeout: time::Duration,
    ) -> Result<Answer, Error> {
        let request = request.map(blocks::Blocks::from);
        let call = async {
            let mut connection = self.get_as(class, address).await?;
            let answer = match connection.send(request.clone()).await {
                Err(Error::Connect(_)) if connection.is_used() => {
                    connection = match class {
                        account::Class::Control => self.connect_direct(address).await?,
                        _ => self.connect(address).await?,
                    };
                    connection.send(request).await?
                }
                other => other?,
            };
            self.read_answer(class, connection, answer).await
        };
        tokio::time::timeout(timeout, call).await.map_err(|_| Error::Timeout)?
    }

    /// Like [`Pool::call`], but always on a new connection and without a second send. It is for
    /// calls whose answers do not name their request: on a reused connection, a second answer to
    /// the previous request would be taken for the answer to this one.
    ///
    /// # Errors
    ///
    /// When there is no complete answer within `timeout`.
    pub async fn call_on_new(
        &self,
        address: net::SocketAddr,
        request: http::Request<Bytes>,
        timeout: time::Duration,
    ) -> Result<Answer, Error> {
        let request = request.map(blocks::Blocks::from);
        let call = async {
            let mut connection = self.connect(address).await?;
            let answer = connection.send(request).await?;
            self.read_answer(account::Class::Answer, connection, answer).await
        };
        tokio::time::timeout(timeout, call).await.map_err(|_| Error::Timeout)?
    }

    /// Reads the complete body of an answer and puts the connection back if it may be used again.
    async fn read_answer(
        &self,
        class: account::Class,
        connection: Connection,
        answer: http::Response<body::Incoming>,
    ) -> Result<Answer, Error> {
        let (head, body) = answer.into_parts();
        let (body, lease) = read_body(&self.memory, class, body).await?.join();
        let decoded = connection.mark_kept(call::Answer::decode_call(head.status, &head.headers));
        if let Some(keep_alive) = decoded.keep_alive {
            self.put(connection, keep_alive);
        }
        let call::Answer { notice, matches_request: certain, .. } = decoded;
        let http::response::Parts { status, headers, .. } = head;
        Ok(Answer { status, headers, body, _lease: lease, notice, certain })
    }
}

/// Reads the complete body of an answer, which takes memory of this class.
///
/// # Errors
///
/// When the connection breaks, the body is too large, or there is no memory for it.
pub async fn read_body(
    memory: &rc::Rc<memory::Memory>,
    class: account::Class,
    mut body: body::Incoming,
) -> Result<blocks::Blocks, Error> {
    match blocks::collect(memory, class, &mut body, MAX_ANSWER_BYTES).await {
        Ok(blocks) => Ok(blocks),
        Err(blocks::Error::Broken(err)) => Err(Error::Broken(err)),
        Err(blocks::Error::TooLarge) => Err(Error::TooLarge),
        Err(blocks::Error::NoRoom | blocks::Error::Evicted) => {
            memory.pressure.record(memory::pressure::Cause::AnswerLost);
            Err(Error::NoRoom)
        }
    }
}
