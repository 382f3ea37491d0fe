//! Notices, in which endpoints report that they leave, pause or have a limit. A host applies those
//! in the answers that it gets, shares limits with the other hosts, and keeps its sends within
//! them.

use std::cell;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_kernel::edge::limiter;
use sequoiacrank_kernel::edge::notice;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use tokio::sync::oneshot;

use crate::host;
use crate::peer::wire;
use crate::peer::wire::limits;

/// Time to wait for the answer of a limiter: many times the round trip.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Time for which an endpoint is skipped after its limiter did not answer. If the limiter has
/// failed, another host has taken its place by the end of this time.
const SILENT_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Whether a request is granted; if not, the time after which to ask again.
type Verdict = Result<(), time::Duration>;

/// Grants of requests to endpoints with a limit: those of this host as a limiter, and by ticket the
/// requests that wait for the answer of another limiter.
#[derive(Default)]
pub struct Grants {
    limiter: cell::RefCell<limiter::Limiter>,
    waiting: cell::RefCell<map::FastMap<u64, oneshot::Sender<Verdict>>>,
}

impl Grants {
    /// Handles the answer of a limiter.
    pub fn receive_granted(&self, granted: &limits::Granted) {
        let after = granted.after.map(time::Duration::from_millis);
        if let Some(sender) = self.waiting.borrow_mut().remove(&granted.ticket) {
            // The request that waits for it may have ended.
            let _ = sender.send(after.map_or(Ok(()), Err));
        }
    }

    /// Drops old grants, and the tickets of requests that have ended.
    pub fn expire(&self, now: id::Time) {
        self.waiting.borrow_mut().retain(|_, sender| !sender.is_closed());
        self.limiter.borrow_mut().expire(now);
    }
}

/// The other host that grants the requests to an endpoint with a limit, or `None` if this one does.
fn limiter_of(host: &host::Host, endpoint: &str) -> Option<net::SocketAddr> {
    host.peers.members().assigned_host(endpoint, host.stop.is_leaving())
}

/// Applies the notice in an answer of an endpoint. A change of the limit goes to the endpoint's
/// limiter, which tells the other hosts.
pub fn apply(
    host: &rc::Rc<host::Host>,
    instance: notice::Instance<'_>,
    notice: &notice::Notice,
    answer: notice::Answer,
) {
    let now = host.clock.now();
    if notice.unclear {
        let (endpoint, read) = (instance.0, format!("{notice:?}"));
        log::warn!(target: "endpoints", endpoint, read = read.as_str(); "notice not clear");
    }
    let changes = host.facts.borrow_mut().fleet.notices.apply(now, instance, notice, answer);
    for &change in &changes {
        log_change(host, instance, change, "answer", 0);
    }
    if changes.contains(&notice::Change::Leaving) {
        host.facts.borrow_mut().reshard();
    }
    let is_limit = |change: &notice::Change| {
        matches!(change, notice::Change::Limited { .. } | notice::Change::Lifted { .. })
    };
    if changes.iter().any(is_limit) {
        match limiter_of(host, instance.0) {
            Some(limiter) => {
                let limit = encode_limit(host, instance, None);
                host.peers.send(host, limiter, wire::Body::Limit(limit));
            }
            None => announce(host, instance),
        }
    }
    if !changes.is_empty() {
        host.batcher.update(host);
    }
}

/// Handles what another host reports about a limit. A limiter announces it to all hosts; the others
/// forward an announcement along the broadcast tree of its root.
pub fn receive_limit(host: &rc::Rc<host::Host>, from: net::SocketAddr, wire: limits::Limit) {
    let instance = (wire.endpoint.as_str(), wire.born);
    if !apply_limit(host, from, &wire) {
        return;
    }
    match wire.root.as_ref().map(|root| root.parse()) {
        Some(Ok(root)) => forward(host, root, &wire),
        Some(Err(err)) => {
            let err: net::AddrParseError = err;
            log::warn!(target: "hosts", err = err.to_string().as_str(); "invalid root address");
        }
        None => announce(host, instance),
    }
}

/// Applies what another host reports about a limit. Returns whether it changed anything.
fn apply_limit(host: &rc::Rc<host::Host>, from: net::SocketAddr, wire: &limits::Limit) -> bool {
    let now = host.clock.now();
    let instance = (wire.endpoint.as_str(), wire.born);
    let at = now.saturating_sub(time::Duration::from_millis(wire.age));
    let rate = wire.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    let known = notice::KnownLimit { rate, at };
    let change = host.facts.borrow_mut().fleet.notices.merge(now, instance, known);
    if let Some(change) = change {
        log_change(host, instance, change, &from.to_string(), wire.age);
        host.batcher.update(host);
    }
    change.is_some()
}

/// Records that an endpoint refused a request for lack of room. All hosts are told of it if the
/// endpoint is brittle.
pub fn record_full(host: &rc::Rc<host::Host>, instance: notice::Instance<'_>) {
    let (now, hosts) = (host.clock.now(), host.peers.members().alive().len() + 1);
    let hearsay = {
        let notices = &mut host.facts.borrow_mut().fleet.notices;
        notices.record_full(now, instance, hosts, rand::random())
    };
    let Some(hearsay) = hearsay else { return };
    let (endpoint, born) = instance;
    log::info!(target: "endpoints", endpoint, born, bound = hearsay.brittle; "brittle and full");
    let own = host.settings.peer;
    let heard =
        limits::Heard { root: Some(own.to_string()), ..limits::Heard::new(instance, hearsay) };
    forward_heard(host, own, &heard);
}

/// Tells the host that relayed a request what the endpoint said of itself in its answer.
pub fn tell_relay(
    host: &host::Host,
    relay: net::SocketAddr,
    instance: notice::Instance<'_>,
    notice: &notice::Notice,
) {
    let notice::Notice { leaving, pause, brittle, .. } = *notice;
    let hearsay = notice::Hearsay { leaving, pause, brittle };
    if hearsay != notice::Hearsay::default() {
        let heard = limits::Heard::new(instance, hearsay);
        host.peers.send(host, relay, wire::Body::Heard(heard));
    }
}

/// Handles what an endpoint said to another host, and forwards it if it is for all.
pub fn receive_heard(host: &rc::Rc<host::Host>, from: net::SocketAddr, heard: limits::Heard) {
    let instance = (heard.endpoint.as_str(), heard.born);
    let (now, hosts) = (host.clock.now(), host.peers.members().alive().len() + 1);
    let hearsay = notice::Hearsay::from(&heard);
    let changes = {
        let notices = &mut host.facts.borrow_mut().fleet.notices;
        notices.apply_hearsay(now, instance, hearsay, hosts, rand::random())
    };
    for &change in &changes {
        log_change(host, instance, change, &from.to_string(), 0);
    }
    if changes.contains(&notice::Change::Leaving) {
        host.facts.borrow_mut().reshard();
    }
    if changes.is_empty() {
        return;
    }
    host.batcher.update(host);
    if let Some(root) = heard.root.as_ref().and_then(|root| root.parse().ok()) {
        forward_heard(host, root, &heard);
    }
}

/// Sends what an endpoint said to this host's children in the broadcast tree of `root`.
fn forward_heard(host: &host::Host, root: net::SocketAddr, heard: &limits::Heard) {
    for other in host.peers.members().children(root) {
        host.peers.send(host, other, wire::Body::Heard(heard.clone()));
    }
}

/// Announces a limit to all hosts, with this host as the root of the broadcast tree.
fn announce(host: &host::Host, instance: notice::Instance<'_>) {
    let own = host.settings.peer;
    forward(host, own, &encode_limit(host, instance, Some(own)));
}

/// Sends a limit to this host's children in the broadcast tree of `root`.
fn forward(host: &host::Host, root: net::SocketAddr, limit: &limits::Limit) {
    for other in host.peers.members().children(root) {
        host.peers.send(host, other, wire::Body::Limit(limit.clone()));
    }
}

/// The message about the limit of an endpoint, as this host knows it.
fn encode_limit(
    host: &host::Host,
    instance: notice::Instance<'_>,
    root: Option<net::SocketAddr>,
) -> limits::Limit {
    let known = host.facts.borrow().fleet.notices.known_limit(instance);
    let age = known.map(|known| host.clock.now().saturating_sub(known.at));
    limits::Limit {
        endpoint: instance.0.to_owned(),
        born: instance.1,
        rate: known.and_then(|known| known.rate),
        age: age.map_or(u64::MAX, host::millis),
        root: root.map(|root| root.to_string()),
    }
}

/// Counts a request against the limit of an endpoint, if it has one. Returns whether the request
/// may be sent now; if not, requests of this rank skip the endpoint until the limit allows one
/// again.
pub async fn acquire(host: &rc::Rc<host::Host>, endpoint: &str, request: &str, rank: u32) -> bool {
    let (instance, limit) = {
        let facts = host.facts.borrow();
        // The endpoint was chosen just now, so it is still registered.
        let Some(entry) = facts.fleet.get(endpoint) else { return false };
        ((endpoint, entry.started_at), facts.fleet.notices.limit(entry.instance()))
    };
    let Some(rate) = limit else { return true };
    let limiter = limiter_of(host, endpoint);
    let verdict = match limiter {
        None => grant_locally(host, instance, rate, rank),
        Some(limiter) => ask_limiter(host, limiter, instance, rank).await,
    };
    let outcome = if verdict.is_ok() { "granted" } else { "held" };
    host.metrics.grants.with_label_values(&[outcome]).inc();
    let Err(after) = verdict else { return true };
    let now = host.clock.now();
    host.facts.borrow_mut().fleet.notices.hold(now, instance, rank, now + after);
    let limiter = limiter.map(|limiter| limiter.to_string());
    let after = host::millis(after);
    log::info!(target: "request", id = request, endpoint, rank, rate, limiter, after; "held back by a limit");
    false
}

/// Grants one request as the limiter of an endpoint. Hosts that can't be reached have a limiter of
/// their own, so this one grants only the share of the hosts that it reaches.
fn grant_locally(
    host: &host::Host,
    instance: notice::Instance<'_>,
    rate: notice::Rate,
    rank: u32,
) -> Verdict {
    let now = host.clock.now();
    let members = host.peers.members();
    let share = (members.alive().len() + 1) as f64 / members.sharing_hosts(now).max(1) as f64;
    host.grants.limiter.borrow_mut().grant(now, instance, rate * share.min(1.0), rank)
}

/// Asks the limiter of an endpoint to grant a request.
async fn ask_limiter(
    host: &host::Host,
    limiter: net::SocketAddr,
    instance: notice::Instance<'_>,
    rank: u32,
) -> Verdict {
    let ticket = rand::random();
    let (sender, receiver) = oneshot::channel();
    host.grants.waiting.borrow_mut().insert(ticket, sender);
    let acquire = limits::Acquire { ticket, rank, limit: Some(encode_limit(host, instance, None)) };
    host.peers.send(host, limiter, wire::Body::Acquire(acquire));
    let verdict = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    host.grants.waiting.borrow_mut().remove(&ticket);
    match verdict {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_)) | Err(_) => {
            let (endpoint, other) = (instance.0, limiter.to_string());
            log::info!(target: "hosts", endpoint, other = other.as_str(); "limiter silent");
            Err(SILENT_PAUSE)
        }
    }
}

/// Answers a host that asks this one, as the limiter of an endpoint, to grant a request.
pub fn receive_acquire(host: &rc::Rc<host::Host>, from: net::SocketAddr, acquire: limits::Acquire) {
    let Some(limit) = acquire.limit else {
        log::warn!(target: "hosts", other = from.to_string().as_str(); "acquire message without an endpoint");
        return;
    };
    let instance = (limit.endpoint.as_str(), limit.born);
    if apply_limit(host, from, &limit) {
        announce(host, instance);
    }
    let known = host.facts.borrow().fleet.notices.limit(instance);
    let verdict = match known {
        Some(rate) => grant_locally(host, instance, rate, acquire.rank),
        None => {
            // The endpoint no longer has a limit, which the other host does not know yet.
            let limit = encode_limit(host, instance, Some(host.settings.peer));
            host.peers.send(host, from, wire::Body::Limit(limit));
            Ok(())
        }
    };
    let after = verdict.err().map(|wait| host::millis(wait) + 1);
    let granted = limits::Granted { ticket: acquire.ticket, after };
    host.peers.send(host, from, wire::Body::Granted(granted));
}

/// Logs and counts a change in what an endpoint reports about itself. `source` names where the
/// report comes from, `age` is its age in milliseconds.
fn log_change(
    host: &host::Host,
    instance: notice::Instance<'_>,
    change: notice::Change,
    source: &str,
    age: u64,
) {
    let (endpoint, started_at) = instance;
    let kind = match change {
        notice::Change::Leaving => "leaving",
        notice::Change::Limited { .. } => "limited",
        notice::Change::Lifted { .. } => "lifted",
        notice::Change::Paused(_) => "paused",
    };
    host.metrics.notices.with_label_values(&[kind]).inc();
    let (before, rate) = match change {
        notice::Change::Limited { before, rate } => (before, Some(rate)),
        notice::Change::Lifted { before } => (Some(before), None),
        notice::Change::Leaving | notice::Change::Paused(_) => (None, None),
    };
    let pause = match change {
        notice::Change::Paused(pause) => Some(host::millis(pause)),
        _ => None,
    };
    log::info!(target: "endpoints", endpoint, born = started_at, kind, before, rate, pause, source, age; "says");
}
