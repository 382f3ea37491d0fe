//! The state of a request or the rest of its stream, available through every host.

use std::io;
use std::net;
use std::sync;
use std::time;

use crossbeam::channel;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use sequoiacrank_peer::event;

use crate::front;
use crate::front::access;
use crate::front::answer;
use crate::front::exchange;
use crate::problem;
use crate::session;

/// How long events of a request on another host are read to learn whether it has ended.
const STATE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// `GET /v1/requests/{id}`.
pub fn follow(
    shared: &front::Shared,
    request: &str,
    exchange: exchange::Exchange,
) -> io::Result<()> {
    let found = find(shared, request, &exchange);
    match found {
        Ok(Found::Local(session)) => write_local(shared, &session, exchange),
        Ok(Found::Remote { address, request, workspace }) => {
            write_remote(shared, address, request, &workspace, exchange)
        }
        Err(problem) => exchange.problem(&problem),
    }
}

/// Where the session of a request is.
enum Found {
    Local(sync::Arc<session::Session>),
    Remote { address: net::SocketAddr, request: id::RequestId, workspace: id::WorkspaceId },
}

fn unknown_request() -> problem::Problem {
    let detail = "it is not running, or ended too long ago, or on a host that is gone";
    let mut problem = problem::Problem::refused(code::Code::NoRequest, detail);
    problem.run = code::Run::Unknown;
    problem
}

fn find(
    shared: &front::Shared,
    request: &str,
    exchange: &exchange::Exchange,
) -> Result<Found, problem::Problem> {
    let engine = &shared.engine;
    let workspace = access::workspace(&engine.plan(), exchange)?;
    let request: id::RequestId = request.parse().map_err(|_| unknown_request())?;
    match engine.sessions.get(request) {
        Some(session) if session.request.workspace == workspace => Ok(Found::Local(session)),
        Some(_) => Err(unknown_request()),
        None => {
            let address = engine.peers.owner_address(request).ok_or_else(unknown_request)?;
            Ok(Found::Remote { address, request, workspace })
        }
    }
}

/// Number of the last event that the caller received, or 0.
fn last_event_id(exchange: &exchange::Exchange) -> u64 {
    exchange.header("Last-Event-ID").and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

fn running_body(request: id::RequestId) -> String {
    format!(r#"{{"request":"{request}","state":"running"}}"#)
}

fn write_local(
    shared: &front::Shared,
    session: &session::Session,
    exchange: exchange::Exchange,
) -> io::Result<()> {
    if !exchange.wants_stream() {
        return match session.ended() {
            Some(_) => answer::write_end(session, exchange),
            None => exchange.json(202, &running_body(session.request.id)),
        };
    }
    let (number, events) = session.subscribe(last_event_id(&exchange));
    let disconnected = answer::watch_caller(shared, exchange.number);
    let stream = exchange.stream(&[answer::request_header(session.request.id.to_string())]);
    let result =
        stream.and_then(|stream| answer::write_events(stream, Vec::new(), &events, &disconnected));
    session.remove_listener(number);
    result
}

fn write_remote(
    shared: &front::Shared,
    address: net::SocketAddr,
    request: id::RequestId,
    workspace: &str,
    exchange: exchange::Exchange,
) -> io::Result<()> {
    // The stream is requested from its first event, which names the workspace.
    let followed = shared.engine.peers.follow(address, request);
    let events = match belongs_to(&followed, workspace) {
        true => followed,
        false => return exchange.problem(&unknown_request()),
    };
    match exchange.wants_stream() {
        true => relay(shared, request, workspace, &events, exchange),
        false => write_state(request, &events, exchange),
    }
}

/// Whether the first event of the stream names the caller's workspace.
fn belongs_to(followed: &channel::Receiver<event::Followed>, workspace: &str) -> bool {
    match followed.recv_timeout(answer::KEEPALIVE_INTERVAL) {
        Ok(event::Followed::Event(first)) => {
            let data: serde_json::Value = serde_json::from_str(&first.data).unwrap_or_default();
            first.number == 1
                && data.get("workspace").and_then(|name| name.as_str()) == Some(workspace)
        }
        _ => false,
    }
}

fn write_state(
    request: id::RequestId,
    events: &channel::Receiver<event::Followed>,
    exchange: exchange::Exchange,
) -> io::Result<()> {
    let deadline = time::Instant::now() + STATE_TIMEOUT;
    while let Ok(event::Followed::Event(next)) = events.recv_deadline(deadline) {
        match session::Kind::from_name(&next.kind) {
            Some(session::Kind::Done) => return exchange.json(200, &next.data),
            Some(session::Kind::Error) => {
                let status = serde_json::from_str(&next.data)
                    .ok()
                    .and_then(|body: serde_json::Value| body.get("status")?.as_u64());
                let status = status.and_then(|status| u16::try_from(status).ok()).unwrap_or(502);
                return exchange.answer(status, problem::MEDIA_TYPE, &[], &next.data);
            }
            _ => {}
        }
    }
    exchange.json(202, &running_body(request))
}

fn relay(
    shared: &front::Shared,
    request: id::RequestId,
    workspace: &str,
    events: &channel::Receiver<event::Followed>,
    exchange: exchange::Exchange,
) -> io::Result<()> {
    let (last_event_id, disconnected) =
        (last_event_id(&exchange), answer::watch_caller(shared, exchange.number));
    let mut stream = exchange.stream(&[answer::request_header(request.to_string())])?;
    if last_event_id == 0 {
        let data = serde_json::json!({ "request": request.to_string(), "workspace": workspace });
        stream.event(1, session::Kind::Accepted.name(), &data.to_string());
    }
    stream.flush()?;
    loop {
        match answer::next(events, &disconnected, answer::KEEPALIVE_INTERVAL) {
            answer::Next::Event(event::Followed::Event(next)) if next.number > last_event_id => {
                stream.event(next.number, &next.kind, &next.data);
            }
            answer::Next::Event(event::Followed::Event(_)) => continue,
            answer::Next::Event(event::Followed::End) => return stream.end(),
            answer::Next::Timeout => stream.comment("keep-alive"),
            // Without the end of the stream the caller knows that it has to resume it.
            _ => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        stream.flush()?;
    }
}
