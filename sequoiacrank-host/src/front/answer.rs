//! Writes the answer to a request of this host as JSON or as a stream of events.

use std::io;
use std::sync;
use std::time;

use crossbeam::channel;

use crate::front;
use crate::front::exchange;
use crate::session;

/// Time without events after which a comment is sent on a stream.
pub const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// How long the head of a stream is held back for the first output, so that an early refusal is
/// answered with its own status.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Header with the id of the request.
const REQUEST_HEADER: &str = "Sequoiacrank-Request";

/// Waits for the answer of a new request and writes it.
pub fn write(
    shared: &front::Shared,
    session: &sync::Arc<session::Session>,
    exchange: exchange::Exchange,
) -> io::Result<()> {
    let (number, events) = session.subscribe(0);
    let streams = exchange.wants_stream();
    let disconnected = watch_caller(shared, exchange.number);
    let result = match streams {
        true => write_stream(session, exchange, &events, &disconnected),
        false => write_json(session, exchange, &events, &disconnected),
    };
    session.remove_listener(number);
    if result.is_err() || disconnected.try_recv().is_ok() {
        shared.engine.caller_gone(session, streams);
    }
    result
}

/// A channel that receives a message when the caller disconnects.
pub fn watch_caller(shared: &front::Shared, number: u64) -> channel::Receiver<()> {
    let (sender, receiver) = channel::bounded(1);
    let disconnected = move || {
        // The receiver may have been dropped.
        let _ = sender.try_send(());
    };
    shared.callers.on_disconnect(number, sync::Arc::new(disconnected));
    receiver
}

/// Result of a wait for the next event.
pub enum Next<E> {
    /// An event.
    Event(E),
    /// No event arrived in time.
    Timeout,
    /// The caller has disconnected, or no more events follow.
    Closed,
}

/// Waits for the next event, at most for `wait`.
pub fn next<E>(
    events: &channel::Receiver<E>,
    disconnected: &channel::Receiver<()>,
    wait: time::Duration,
) -> Next<E> {
    channel::select! {
        recv(events) -> event => event.map_or(Next::Closed, Next::Event),
        recv(disconnected) -> _ => Next::Closed,
        default(wait) => Next::Timeout,
    }
}

fn write_json(
    session: &session::Session,
    exchange: exchange::Exchange,
    events: &channel::Receiver<session::Event>,
    disconnected: &channel::Receiver<()>,
) -> io::Result<()> {
    loop {
        match next(events, disconnected, KEEPALIVE_INTERVAL) {
            Next::Event(event) if event.kind.is_final() => break,
            Next::Closed => return Err(io::ErrorKind::ConnectionAborted.into()),
            _ => {}
        }
    }
    write_end(session, exchange)
}

/// Answers with the result of a request that has ended.
pub fn write_end(session: &session::Session, exchange: exchange::Exchange) -> io::Result<()> {
    let request = session.request.id;
    match session.ended() {
        Some(session::End::Answer(answer)) => {
            let body = format!(r#"{{"request":"{request}","answer":{answer}}}"#);
            exchange.answer(200, "application/json", &[request_header(request.to_string())], &body)
        }
        Some(session::End::Failed(problem)) => exchange.request_problem(&problem, Some(request)),
        None => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// The header with the id of the request.
pub fn request_header(value: String) -> exchange::Header {
    exchange::Header { name: REQUEST_HEADER, value }
}

fn write_stream(
    session: &session::Session,
    exchange: exchange::Exchange,
    events: &channel::Receiver<session::Event>,
    disconnected: &channel::Receiver<()>,
) -> io::Result<()> {
    let mut pending = Vec::new();
    loop {
        match next(events, disconnected, HEAD_TIMEOUT) {
            Next::Event(event) if event.kind == session::Kind::Error => {
                return write_end(session, exchange);
            }
            Next::Event(event) => {
                let has_output = event.kind != session::Kind::Accepted;
                pending.push(event);
                if has_output {
                    break;
                }
            }
            Next::Timeout => break,
            Next::Closed => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
    let stream = exchange.stream(&[request_header(session.request.id.to_string())])?;
    write_events(stream, pending, events, disconnected)
}

/// Writes the pending events and those that follow, until the last one.
pub fn write_events(
    mut stream: exchange::Stream,
    pending: Vec<session::Event>,
    events: &channel::Receiver<session::Event>,
    disconnected: &channel::Receiver<()>,
) -> io::Result<()> {
    let mut last = false;
    for event in pending {
        last |= add_event(&mut stream, &event);
    }
    stream.flush()?;
    while !last {
        match next(events, disconnected, KEEPALIVE_INTERVAL) {
            Next::Event(event) => {
                last = add_event(&mut stream, &event);
                // Events that have arrived meanwhile are sent in the same write.
                while let (false, Ok(event)) = (last, events.try_recv()) {
                    last = add_event(&mut stream, &event);
                }
            }
            Next::Timeout => stream.comment("keep-alive"),
            Next::Closed => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        stream.flush()?;
    }
    stream.end()
}

fn add_event(stream: &mut exchange::Stream, event: &session::Event) -> bool {
    stream.event(event.number, event.kind.name(), &event.data);
    event.kind.is_final()
}
