//! The HTTP servers of a host: for callers, for the load balancer's health checks, and for metrics.

use std::convert;
use std::future;
use std::pin;
use std::rc;
use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use sequoiacrank_adapter::ingress;
use sequoiacrank_kernel::edge::catalog;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

use crate::body::Body;
use crate::exchange;
use crate::host;
use crate::idle;
use crate::memory;
use crate::memory::listener;
use crate::socket;
use crate::stop;

/// Limits on callers until a configuration sets them.
pub const DEFAULT_LIMITS: catalog::Limits = catalog::Limits {
    head_bytes: 32 << 10,
    body_bytes: 0,
    idle: time::Duration::from_secs(20),
    head_time: time::Duration::from_secs(3),
};
/// Smallest buffer for heads in bytes. Hyper panics on a smaller one.
const MIN_HEAD_BYTES: usize = 8192;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 200;
/// Maximum size in bytes of the head of a request for a page.
const MAX_PAGE_HEAD: usize = 16 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Makes the limits of the newest configuration known to open connections.
pub fn update_limits(host: &host::Host) {
    let limits = host.facts.borrow().catalog.as_ref().map(|catalog| catalog.limits);
    let Some(limits) = limits else { return };
    if host.limits.send_if_modified(|old| std::mem::replace(old, limits) != limits) {
        host.memory.set_largest(limits.body_bytes);
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                log::warn!(target: "front", err = err.to_string().as_str(); "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Accepts and serves connections of callers until the process ends.
pub async fn callers(host: rc::Rc<host::Host>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        task::spawn_local(serve(host.clone(), stream));
    }
}

/// Takes a place for a connection of a caller.
fn admit(host: &host::Host, idle: &idle::Idle) -> Option<listener::Place> {
    let (unused, blocked) = (idle.clone(), idle.clone());
    let unused_since: listener::IdleSince =
        Box::new(move || unused.unused_since().map(listener::Rank::from));
    let blocked_since: listener::BlockedSince = Box::new(move || blocked.blocked_since());
    listener::admit_caller(&host.memory, unused_since, blocked_since)
}

async fn serve(host: rc::Rc<host::Host>, stream: TcpStream) {
    if let Err(err) = socket::configure_caller(&stream) {
        log::info!(target: "front", err = err.to_string().as_str(); "setting socket options failed");
        return;
    }
    let idle = idle::Idle::new(&host);
    let Some(place) = admit(&host, &idle) else { return };
    let handler = service::service_fn(|request| {
        let (host, busy) = (host.clone(), idle.begin());
        async move {
            let answer = exchange::serve(&host, request).await;
            Ok::<_, convert::Infallible>(busy.until_written(answer))
        }
    });
    let head_bytes = host.limits.borrow().head_bytes.max(MIN_HEAD_BYTES);
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(idle::Stream::new(stream, idle.clone()), handler);
    let mut connection = std::pin::pin!(connection);
    // In the closing phase, the first request of a new connection is refused, and that answer
    // closes the connection.
    let is_closing = host.stop.is_closing();
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = idle.expired(|limits| limits.idle) => {
            connection.as_mut().graceful_shutdown();
            finish(connection, &idle).await
        }
        () = place.closed() => match place.is_given_up() || idle.unused_since().is_some() {
            true => Ok(()),
            // A request has arrived since.
            false => {
                connection.as_mut().graceful_shutdown();
                finish(connection, &idle).await
            }
        },
        () = host.stop.reached(stop::Phase::Closing), if !is_closing => {
            connection.as_mut().graceful_shutdown();
            finish(connection, &idle).await
        }
    };
    log_end(result);
}

/// Serves the last request of a connection. If none has begun in the time for a head, the
/// connection is closed.
async fn finish<F>(mut connection: pin::Pin<&mut F>, idle: &idle::Idle) -> hyper::Result<()>
where
    F: Future<Output = hyper::Result<()>>,
{
    tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = idle.expired(|limits| limits.idle + limits.head_time) => {
            log::info!(target: "front", "idle connection closed");
            Ok(())
        }
    }
}

/// Logs why a connection of a caller failed. A request that this cancels has a line of its own.
fn log_end(result: hyper::Result<()>) {
    if let Err(err) = result {
        log::info!(target: "front", err = err.to_string().as_str(); "connection failed");
    }
}

type PlainAnswer = http::Response<http_body_util::Full<Bytes>>;

fn plain_answer(status: http::StatusCode, text: Vec<u8>) -> PlainAnswer {
    let mut answer = http::Response::new(http_body_util::Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

/// Serves a listener with `handler` until the process ends.
async fn serve_pages<F>(
    host: rc::Rc<host::Host>,
    listener: TcpListener,
    list: fn(&memory::Memory) -> &listener::Listener,
    handler: F,
) where
    F: Fn(&http::Request<body::Incoming>) -> PlainAnswer + Clone + 'static,
{
    loop {
        let stream = accept(&listener).await;
        if let Err(err) = socket::configure_socket(&stream) {
            log::info!(target: "front", err = err.to_string().as_str(); "setting socket options failed");
            continue;
        }
        let idle = idle::Idle::new(&host);
        let last = idle.clone();
        // Also closes connections whose head has begun, as it may never end.
        let idle_since: listener::IdleSince =
            Box::new(move || last.since().map(listener::Rank::from));
        let place = listener::admit(&host.memory, list, listener::MAX_PAGES, idle_since);
        let Some(place) = place else { continue };
        task::spawn_local(serve_page_connection(stream, idle, place, handler.clone()));
    }
}

/// Serves a connection to a listener for pages until it ends, or has to make room.
async fn serve_page_connection<F>(
    stream: TcpStream,
    idle: idle::Idle,
    place: listener::Place,
    handler: F,
) where
    F: Fn(&http::Request<body::Incoming>) -> PlainAnswer,
{
    let busy = idle.clone();
    let answer = service::service_fn(move |request| {
        let _busy = busy.begin();
        future::ready(Ok::<_, convert::Infallible>(handler(&request)))
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_PAGE_HEAD)
        .serve_connection(idle::Stream::new(stream, idle), answer);
    tokio::select! {
        biased;
        // Errors are ignored, as clients of these pages poll them.
        _ = connection => {}
        () = place.closed() => {}
    }
}

/// Answers the load balancer's health checks. The host is ready once it knows which other hosts are
/// alive and has a configuration and an endpoint, and as long as it is not stopping.
pub async fn readiness(host: rc::Rc<host::Host>, listener: TcpListener) {
    let state = host.clone();
    let page = move |request: &http::Request<body::Incoming>| {
        let is_settled = host.peers.settling_time(&host).is_none();
        let is_ready = is_settled && host.facts.borrow().ready() && !host.stop.is_leaving();
        let status = match (ingress::is_readiness(request.uri().path()), is_ready) {
            (false, _) => http::StatusCode::NOT_FOUND,
            (true, true) => http::StatusCode::OK,
            (true, false) => http::StatusCode::SERVICE_UNAVAILABLE,
        };
        plain_answer(status, Vec::new())
    };
    serve_pages(state, listener, |memory| &memory.readiness, page).await;
}

/// Serves the metrics page.
pub async fn metrics(host: rc::Rc<host::Host>, listener: TcpListener) {
    let state = host.clone();
    let page = move |_: &http::Request<body::Incoming>| {
        let text = host.metrics.text(host.pool.opened(), host.duties.token(), &host.memory);
        text.map(|text| plain_answer(http::StatusCode::OK, text)).unwrap_or_else(|err| {
            log::error!(target: "front", err = err.to_string().as_str(); "metrics cannot be encoded");
            plain_answer(http::StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        })
    };
    serve_pages(state, listener, |memory| &memory.metrics, page).await;
}

/// The answer to a caller.
pub type Answer = http::Response<Body>;
