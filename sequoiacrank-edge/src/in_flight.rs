//! Calls in flight to endpoints, and how their results are recorded.

use std::cell;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_kernel::edge::endpoint;
use sequoiacrank_kernel::edge::fleet;
use sequoiacrank_kernel::edge::notice;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::policy;
use sequoiacrank_kernel::rollout;

use crate::host;
use crate::notices;

/// Time for which the choice of an endpoint is valid: several times the timeout of a connect.
const CHOICE_VALIDITY: time::Duration = time::Duration::from_secs(1);

/// A call to an endpoint. If it is dropped before `end`, it counts as cancelled, which says nothing
/// about the endpoint.
pub struct Call {
    host: rc::Rc<host::Host>,
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Its address.
    pub address: Option<net::SocketAddr>,
    /// When the chosen endpoint started, by its own clock.
    started_at: u64,
    fleet_call: fleet::Call,
    began: id::Time,
    /// Set once the request is sent, if any service is moving to a new version.
    destination: Option<Destination>,
    /// Time from the start of the call to the first byte of the answer.
    first_byte: cell::Cell<Option<time::Duration>>,
    ended: bool,
}

/// The route of a request, and the service and version of its endpoint.
struct Destination {
    route: id::RouteId,
    service: id::ServiceId,
    version: id::VersionId,
}

impl Call {
    /// Starts a call and counts it as in flight.
    pub fn begin(host: &rc::Rc<host::Host>, endpoint: &str) -> Self {
        let began = host.clock.now();
        let known = |entry: &endpoint::Endpoint| (entry.address, entry.started_at);
        let (address, started_at) = host.facts.borrow().fleet.get(endpoint).map(known).unzip();
        let started_at = started_at.unwrap_or(0);
        let fleet_call = host.facts.borrow_mut().fleet.begin(began, endpoint);
        let (host, endpoint) = (host.clone(), endpoint.to_owned());
        Call {
            host,
            endpoint,
            address,
            started_at,
            fleet_call,
            began,
            destination: None,
            first_byte: cell::Cell::new(None),
            ended: false,
        }
    }

    /// Records that the request is sent, if any service is moving to a new version.
    pub fn record_sent(&mut self, route: &str) {
        let mut facts = self.host.facts.borrow_mut();
        if facts.moves.is_empty() {
            return;
        }
        let Some(entry) = facts.fleet.get(&self.endpoint) else { return };
        let (service, version) = (entry.service.clone(), entry.version.clone());
        facts.moves.record_sent(&service, &version);
        self.destination = Some(Destination { route: route.to_owned(), service, version });
    }

    /// Time since the call began.
    pub fn elapsed(&self) -> time::Duration {
        self.host.clock.now().saturating_sub(self.began)
    }

    /// Whether the choice of the endpoint is still valid before the request is sent. It is not if
    /// the process was paused since, or if the endpoint has reported that it accepts no more
    /// requests.
    pub fn is_choice_valid(&self) -> bool {
        let facts = self.host.facts.borrow();
        let instance = (self.endpoint.as_str(), self.started_at);
        self.elapsed() < CHOICE_VALIDITY
            && facts.fleet.notices.accepts(self.host.clock.now(), instance)
    }

    /// Records that the answer has begun.
    pub fn record_first_byte(&self) {
        let now = self.host.clock.now();
        self.first_byte.set(Some(self.elapsed()));
        self.host.facts.borrow_mut().fleet.answered(now, &self.endpoint, self.fleet_call);
    }

    /// Applies the endpoint's notice in the head of the answer.
    pub fn apply_notice(&self, notice: &notice::Notice, accepted: bool) {
        let answer = notice::Answer { sent: self.began, accepted };
        notices::apply(&self.host, (&self.endpoint, self.started_at), notice, answer);
    }

    /// Tells the host that relayed the call, if any, what the endpoint said of itself.
    pub fn tell_relay(&self, relay: Option<net::SocketAddr>, notice: &notice::Notice) {
        if let Some(relay) = relay {
            notices::tell_relay(&self.host, relay, (&self.endpoint, self.started_at), notice);
        }
    }

    /// Records how the call ended.
    pub fn end(mut self, end: fleet::End) {
        self.finish(end);
    }

    fn finish(&mut self, end: fleet::End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let label = match end {
            fleet::End::Good => "good",
            fleet::End::Full => "full",
            fleet::End::Bad => "bad",
            fleet::End::Broken => "broken",
            fleet::End::Lost => "lost",
            fleet::End::Silent => "silent",
            fleet::End::Replaced => "other",
            fleet::End::Cancelled => "dropped",
        };
        self.host.metrics.calls.with_label_values(&[label]).inc();
        if end == fleet::End::Full {
            notices::record_full(&self.host, (&self.endpoint, self.started_at));
        }
        let now = self.host.clock.now();
        let mut facts = self.host.facts.borrow_mut();
        facts.fleet.end(now, &self.endpoint, self.fleet_call, end);
        let good = match end {
            fleet::End::Good => true,
            fleet::End::Bad | fleet::End::Broken | fleet::End::Lost | fleet::End::Silent => false,
            // These do not depend on the version that the endpoint runs.
            fleet::End::Full | fleet::End::Replaced | fleet::End::Cancelled => return,
        };
        let Some(destination) = &self.destination else { return };
        let result = policy::Call {
            service: &destination.service,
            version: &destination.version,
            route: &destination.route,
            good,
            taken: self.first_byte.get().unwrap_or_else(|| self.elapsed()),
        };
        facts.moves.record_end(&result, &rollout::Sequential);
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.finish(fleet::End::Cancelled);
    }
}
