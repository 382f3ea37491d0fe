//! The HTTP interface for callers and operators, behind the gate.

mod access;
mod answer;
mod configuration;
mod exchange;
mod follow;
mod report;
mod request;
mod submit;

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use quick_error::quick_error;
use sequoiacrank_kernel::code;

use crate::engine;
use crate::gate;
use crate::pool;
use crate::problem;

/// Stack of a thread that serves a request.
const STACK_BYTES: usize = 256 * 1024;
/// Threads beyond the bound on long-running requests, for others such as health checks.
const CONTROL_THREADS: usize = 32;
/// Most connections that wait to be accepted on the internal listener.
const BACKLOG: i32 = 1024;

quick_error! {
    /// Why the front could not start.
    #[derive(Debug)]
    pub enum Error {
        /// An address can't be listened on, or a thread can't be started.
        Io(error: io::Error) {
            from()
            display("can't start the listener for callers: {error}")
            source(error)
        }
        /// The internal HTTP server could not start.
        Server(error: String) {
            display("can't start the HTTP server: {error}")
        }
    }
}

/// State that all requests share.
struct Shared {
    engine: sync::Arc<engine::Engine>,
    callers: sync::Arc<gate::Callers>,
    secret: String,
}

/// A running front.
pub struct Front {
    gate: gate::Gate,
    server: sync::Arc<tiny_http::Server>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts the gate and the internal HTTP server behind it.
///
/// # Errors
///
/// [`Error`] if either of them could not start.
pub fn start(engine: sync::Arc<engine::Engine>) -> Result<Front, Error> {
    let listener = internal_listener()?;
    let internal = listener.local_addr()?;
    let server = tiny_http::Server::from_listener(listener, None)
        .map_err(|error| Error::Server(error.to_string()))?;
    let server = sync::Arc::new(server);
    let bounds = engine.settings.bounds;
    let secret = uuid::Uuid::new_v4().simple().to_string();
    let options =
        gate::Options { listen: engine.settings.listen, internal, bounds, secret: secret.clone() };
    let gate = gate::start(options)?;
    let max_threads = bounds.requests + CONTROL_THREADS;
    let options = pool::Options { name: "request".into(), max_threads, stack_bytes: STACK_BYTES };
    let pool = sync::Arc::new(pool::Pool::new(options));
    let (counters, requests) = (gate.counters(), sync::Arc::clone(&pool));
    engine.set_front(engine::Front { counters, pool: requests });
    let shared = sync::Arc::new(Shared { engine, callers: gate.callers(), secret });
    let (acceptor, thread_pool) = (sync::Arc::clone(&server), sync::Arc::clone(&pool));
    let thread = thread::Builder::new()
        .name("front".into())
        .stack_size(STACK_BYTES)
        .spawn(move || accept_requests(&acceptor, &thread_pool, &shared))?;
    Ok(Front { gate, server, thread: Some(thread) })
}

/// A loopback listener with `TCP_NODELAY`, which its connections inherit.
fn internal_listener() -> io::Result<net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn accept_requests(server: &tiny_http::Server, pool: &pool::Pool, shared: &sync::Arc<Shared>) {
    loop {
        match server.recv() {
            Ok(request) => {
                let shared = sync::Arc::clone(shared);
                pool.run(move || serve(&shared, request));
            }
            Err(_) if shared.engine.leaving() => return,
            Err(error) => {
                log::error!(error:% = error; "the internal HTTP server failed");
                return;
            }
        }
    }
}

impl Front {
    /// Where callers connect.
    pub fn address(&self) -> net::SocketAddr {
        self.gate.address()
    }

    /// Whether no response is in transfer.
    pub fn is_idle(&self) -> bool {
        self.gate.counters().relayed.load(atomic::Ordering::Acquire) == 0
    }

    /// Closes the listeners and ends their threads.
    pub fn stop(&mut self) {
        self.gate.stop();
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(shared: &Shared, request: tiny_http::Request) {
    let Some(exchange) = exchange::Exchange::new(request, &shared.secret) else { return };
    let result = route(shared, exchange);
    // The caller has disconnected or stopped reading; the gate calls the request's callback for it.
    if let Err(error) = result {
        log::debug!(error:% = error; "a response could not be written completely");
    }
}

fn route(shared: &Shared, exchange: exchange::Exchange) -> io::Result<()> {
    let engine = &shared.engine;
    let method = exchange.method();
    let path = exchange.path();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "pipelines", pipeline, "requests"]) => {
            submit::submit(shared, pipeline, exchange)
        }
        ("GET", ["v1", "requests", request]) => follow::follow(shared, request, exchange),
        ("GET", ["v1", "configuration"]) => configuration::get(engine, exchange),
        ("PUT", ["v1", "configuration"]) => configuration::put(engine, exchange),
        ("GET", ["v1", "moves"]) => report::moves(engine, exchange),
        ("GET", ["v1", "status"]) => report::status(engine, exchange),
        ("GET", ["healthz"]) => exchange.text(200, "ok\n"),
        ("GET", ["readyz"]) => report::ready(engine, exchange),
        ("GET", ["metrics"]) => report::metrics(engine, exchange),
        _ => {
            let detail = format!("{method} {path} is not part of the interface");
            exchange.problem(&problem::Problem::refused(code::Code::BadRequest, detail))
        }
    }
}
