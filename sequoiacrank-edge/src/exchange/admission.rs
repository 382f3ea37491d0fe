//! Admission of requests: checks the head and reads the body.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use sequoiacrank_adapter::call;
use sequoiacrank_adapter::ingress;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::crash;
use sequoiacrank_kernel::id;
use tokio::sync::watch;

use crate::duties::usage::attempt;
use crate::exchange;
use crate::exchange::suspect;
use crate::host;
use crate::memory::blocks;
use crate::memory::pressure;
use crate::refusal;
use crate::stop;

/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time for which the rest of the body of a refused request is read.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Number of bytes beyond the limit on bodies up to which such a body is read.
const EXTRA_DISCARD_BYTES: usize = 64 << 10;

/// What the head of a request is matched to.
struct Matched {
    catalog: sync::Arc<catalog::Catalog>,
    route: sync::Arc<catalog::Route>,
    workspace: Option<sync::Arc<catalog::Workspace>>,
    service: id::ServiceId,
}

/// Matches the head of a request to a route, a workspace and a service.
///
/// # Errors
///
/// When the request is not allowed, or the host can't serve it.
fn match_head(host: &host::Host, head: &ingress::Head) -> Result<Matched, refusal::Refusal> {
    if host.stop.is_closing() {
        return Err(refusal::Refusal::leaving());
    }
    let catalog = host.facts.borrow().catalog.clone();
    let catalog = catalog.ok_or(refusal::Refusal::retry_soon(code::Code::NotReady))?;
    let route = catalog.route(&head.hostname, &head.path).cloned();
    let route = route.ok_or(refusal::Refusal::new(code::Code::NoMatch))?;
    let workspace = head.key.as_deref().and_then(|key| catalog.workspace(key)).cloned();
    if workspace.is_none() && !route.auth_exempt {
        return Err(refusal::Refusal::new(code::Code::NoKey));
    }
    let service = route.pick_service(rand::random()).cloned();
    let service = service.ok_or(refusal::Refusal::retry_soon(code::Code::NoEndpoint))?;
    Ok(Matched { catalog, route, workspace, service })
}

/// Reads the rest of the body of a request that is refused. A caller may read the answer only once
/// it has sent all of its request, and a connection that is closed before is reset. Bodies that wait
/// for a `100 Continue` do not come.
async fn discard(
    host: &host::Host,
    parts: &http::request::Parts,
    body: &mut body::Incoming,
    code: code::Code,
) {
    if parts.headers.contains_key(http::header::EXPECT) {
        return;
    }
    let max_bytes = match code {
        // As much as the limit allows was read before the body turned out to be longer.
        code::Code::TooLarge if blocks::announced(body).is_none() => EXTRA_DISCARD_BYTES,
        _ => host.limits.borrow().body_bytes.saturating_add(EXTRA_DISCARD_BYTES),
    };
    let mut read = 0;
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > max_bytes {
                break;
            }
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, rest).await.is_err() {
        log::info!(target: "request", path = parts.uri.path(); "body of a refused request not read to its end");
    }
}

/// Reads the body of a request. While it is incomplete, it takes nothing but memory.
///
/// # Errors
///
/// When it is larger than `max_bytes` or late, or there is no memory for it.
async fn receive_body(
    host: &host::Host,
    body: &mut body::Incoming,
    max_bytes: usize,
) -> Result<blocks::Blocks, refusal::Refusal> {
    let class = blocks::request_class(body);
    let read = blocks::collect(&host.memory, class, body, max_bytes);
    let read = tokio::time::timeout(BODY_TIMEOUT, read).await;
    let (cause, refusal) = match read {
        Ok(Ok(body)) => return Ok(body),
        // The caller disconnected or is too slow; nothing was sent to an endpoint.
        Ok(Err(blocks::Error::Broken(_))) | Err(_) => {
            return Err(refusal::Refusal::new(code::Code::BodyLate));
        }
        Ok(Err(blocks::Error::TooLarge)) => {
            (pressure::Cause::BodyTooLarge, refusal::Refusal::new(code::Code::TooLarge))
        }
        Ok(Err(blocks::Error::Evicted)) => {
            let late = refusal::Refusal::new(code::Code::BodyLate);
            (pressure::Cause::BodyEvicted, refusal::Refusal { lacks_memory: true, ..late })
        }
        Ok(Err(blocks::Error::NoRoom)) => {
            let full = refusal::Refusal::retry_soon(code::Code::QueueFull);
            (pressure::Cause::BodyRefused, refusal::Refusal { lacks_memory: true, ..full })
        }
    };
    host.memory.pressure.record(cause);
    Err(refusal)
}

/// A request that was read and may be served.
struct Received {
    head: ingress::Head,
    matched: Matched,
    body: blocks::Blocks,
    deadline: id::Time,
    identity: crash::Request,
}

/// Reads a request that `began` to arrive at a time, and checks whether it may be served.
///
/// # Errors
///
/// As for [`admit`].
async fn receive(
    host: &host::Host,
    parts: &http::request::Parts,
    body: &mut body::Incoming,
    began: id::Time,
) -> Result<Received, refusal::Refusal> {
    let head = ingress::Head::decode(parts);
    let head = head.map_err(|_| refusal::Refusal::new(code::Code::BadRequest))?;
    let matched = match_head(host, &head)?;
    let body = receive_body(host, body, matched.catalog.limits.body_bytes).await?;
    let timeout = matched.route.timeout;
    let deadline = began + head.budget.map_or(timeout, |budget| budget.min(timeout));
    // Checked once the body has arrived, which may be long after the head.
    if !host.stop.allows(deadline) {
        return Err(refusal::Refusal::leaving());
    }
    let fingerprint = fingerprint(parts, head.key.as_deref(), &body);
    let identity = crash::Request::new(fingerprint, &head.prompt_parts);
    if suspect::is_suspect(host, &head.attempt, &identity) {
        return Err(refusal::Refusal::new(code::Code::Suspect));
    }
    Ok(Received { head, matched, body, deadline, identity })
}

/// Reads a request and matches it to a route, a workspace and a service.
///
/// # Errors
///
/// When the request is invalid, not allowed or suspected of crashing endpoints, or the host can't
/// serve it.
pub async fn admit(
    host: &rc::Rc<host::Host>,
    parts: http::request::Parts,
    mut body: body::Incoming,
) -> Result<exchange::Exchange, refusal::Refusal> {
    let began = host.clock.now();
    let active = stop::Stop::begin_request(host);
    let received = match receive(host, &parts, &mut body, began).await {
        Ok(received) => received,
        Err(refusal) => {
            // The answer to a late body closes the connection.
            if refusal.code != code::Code::BodyLate {
                discard(host, &parts, &mut body, refusal.code).await;
            }
            let number = refusal.code.number();
            host.metrics.requests.with_label_values(&["", &number.to_string()]).inc();
            let id = ingress::attempt(&parts.headers).unwrap_or_default();
            // Many requests are refused at once when memory is short. They are counted in one
            // warning a second; their own lines are limited.
            let level = match refusal.lacks_memory {
                true => log::Level::Info,
                false => log::Level::Warn,
            };
            log::log!(target: "request", level, id, code = number, path = parts.uri.path(); "refused");
            return Err(refusal);
        }
    };
    let Received { head, matched, body, deadline, identity } = received;
    let Matched { catalog, route, workspace, service } = matched;
    let session = {
        let mut facts = host.facts.borrow_mut();
        let budget = facts.budgets.entry(service.clone()).or_default();
        budget.record_request(host.clock.now(), &host.reloadable.borrow().retries);
        route
            .session_affinity
            .then(|| facts.sessions.key(&route.name, &head.prompt_parts))
            .flatten()
    };
    let usage = attempt::Attempt::begin(host, workspace.as_ref());
    Ok(exchange::Exchange {
        host: host.clone(),
        forwarded: call::forwarded_headers(&parts.headers),
        method: parts.method,
        uri: parts.uri,
        deadline,
        target_time: began + route.target_latency,
        rank: catalog.rank(&route, workspace.as_deref()),
        version: catalog.version,
        session,
        head,
        route,
        service,
        workspace,
        body,
        identity,
        began,
        results: cell::RefCell::new(None),
        tried: cell::RefCell::default(),
        left: cell::RefCell::default(),
        reserved: cell::RefCell::default(),
        sends: watch::Sender::new(0),
        form: cell::OnceCell::new(),
        maybe_ran: cell::Cell::new(false),
        usage,
        _active: active,
    })
}

/// Hash of the method, URI, key and body of a request. It is the same each time that a caller sends
/// the request.
fn fingerprint(
    parts: &http::request::Parts,
    key: Option<&str>,
    body: &blocks::Blocks,
) -> id::Fingerprint {
    let head = format!("{} {} {}", parts.method, parts.uri, key.unwrap_or_default());
    let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(xxhash_rust::xxh3::xxh3_64(head.as_bytes()));
    body.iter().for_each(|block| hash.update(block));
    hash.digest()
}
