//! Admission of requests: checks the head and reads the body.

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use hyper::body;
use sequoiacrank_adapter::call;
use sequoiacrank_adapter::ingress;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::crash;
use sequoiacrank_kernel::id;
use tokio::sync::watch;

use crate::exchange;
use crate::exchange::suspect;
use crate::front;
use crate::host;
use crate::refusal;
use crate::stop;

/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Reads a request and matches it to a route, a workspace and a service.
///
/// # Errors
///
/// When the request is invalid, not allowed or suspected of crashing endpoints, or the host can't
/// serve it.
pub async fn admit(
    host: &rc::Rc<host::Host>,
    parts: http::request::Parts,
    body: body::Incoming,
) -> Result<exchange::Exchange, refusal::Refusal> {
    let began = host.clock.now();
    let active = stop::Stop::begin_request(host);
    let refuse = |refusal: refusal::Refusal, id: &str| {
        let number = refusal.code.number();
        host.metrics.requests.with_label_values(&["", &number.to_string()]).inc();
        log::warn!(target: "request", id, code = number, path = parts.uri.path(); "refused");
        refusal
    };
    let head = match ingress::Head::decode(&parts) {
        Ok(head) => head,
        Err(_) => return Err(refuse(refusal::Refusal::new(code::Code::BadRequest), "")),
    };
    let id = head.attempt.clone();
    if host.stop.is_closing() {
        return Err(refuse(refusal::Refusal::leaving(), &id));
    }
    let catalog = host.facts.borrow().catalog.clone();
    let Some(catalog) = catalog else {
        return Err(refuse(refusal::Refusal::retry_soon(code::Code::NotReady), &id));
    };
    let Some(route) = catalog.route(&head.hostname, &head.path).cloned() else {
        return Err(refuse(refusal::Refusal::new(code::Code::NoMatch), &id));
    };
    let workspace = head.key.as_deref().and_then(|key| catalog.workspace(key)).cloned();
    if workspace.is_none() && !route.auth_exempt {
        return Err(refuse(refusal::Refusal::new(code::Code::NoKey), &id));
    }
    let Some(service) = route.pick_service(rand::random()).cloned() else {
        return Err(refuse(refusal::Refusal::retry_soon(code::Code::NoEndpoint), &id));
    };
    let result =
        tokio::time::timeout(BODY_TIMEOUT, front::read_body(body, catalog.limits.body_bytes)).await;
    let body = match result {
        Ok(Ok(Some(body))) => body,
        Ok(Ok(None)) => return Err(refuse(refusal::Refusal::new(code::Code::TooLarge), &id)),
        // The caller disconnected or is too slow; nothing was sent to an endpoint.
        Ok(Err(_)) | Err(_) => {
            return Err(refuse(refusal::Refusal::new(code::Code::BodyLate), &id));
        }
    };
    let budget = head.budget.map_or(route.timeout, |budget| budget.min(route.timeout));
    let deadline = began + budget;
    // Checked once the body has arrived, which may be long after the head.
    if !host.stop.allows(deadline) {
        return Err(refuse(refusal::Refusal::leaving(), &id));
    }
    let fingerprint = fingerprint(&parts, head.key.as_deref(), &body);
    let identity = crash::Request::new(fingerprint, &head.prompt_parts);
    if suspect::is_suspect(host, &id, &identity) {
        return Err(refuse(refusal::Refusal::new(code::Code::Suspect), &id));
    }
    let session = {
        let mut facts = host.facts.borrow_mut();
        let budget = facts.budgets.entry(service.clone()).or_default();
        budget.record_request(host.clock.now(), &host.reloadable.borrow().retries);
        route
            .session_affinity
            .then(|| facts.sessions.key(&route.name, &head.prompt_parts))
            .flatten()
    };
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
        _active: active,
    })
}

/// Hash of the method, URI, key and body of a request. It is the same each time that a caller sends
/// the request.
fn fingerprint(parts: &http::request::Parts, key: Option<&str>, body: &Bytes) -> id::Fingerprint {
    let head = format!("{} {} {}", parts.method, parts.uri, key.unwrap_or_default());
    xxhash_rust::xxh3::xxh3_64_with_seed(body, xxhash_rust::xxh3::xxh3_64(head.as_bytes()))
}
