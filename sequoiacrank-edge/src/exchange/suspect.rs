//! Requests that are refused as they crash endpoints, and how a crash is noticed.

use std::io;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_kernel::edge::crash;
use tokio::task;

use crate::dial;
use crate::exchange;
use crate::host;
use crate::in_flight;

/// Time to wait for a connection that shows whether an endpoint is down.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Pause between two such connections. A process may still accept one while it ends.
const PROBE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Number of such connections.
const PROBES: u32 = 2;

/// Whether a request is refused because it, or a part of its prompt, crashed endpoints.
pub fn is_suspect(host: &host::Host, id: &str, identity: &crash::Request) -> bool {
    let refusal = host.facts.borrow().crashes.refusal(host.clock.now(), identity.clone());
    match refusal {
        None => return false,
        Some((crash::Cause::Request(fingerprint), crashes)) => {
            log::warn!(target: "request", id, crashes, fingerprint; "suspect");
        }
        Some((crash::Cause::Part(part), crashes)) => {
            log::warn!(target: "request", id, crashes, part; "suspect");
        }
    }
    true
}

/// Whether connections to the address of an endpoint are refused.
async fn is_down(dialer: &dial::Dialer, address: net::SocketAddr) -> bool {
    for probe in 0..PROBES {
        if probe > 0 {
            tokio::time::sleep(PROBE_PAUSE).await;
        }
        match dialer.connect(address, PROBE_TIMEOUT).await {
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => return true,
            _ => {}
        }
    }
    false
}

/// Records that an endpoint's process has ended, and tells other hosts which requests it ran.
pub fn record_down(host: &rc::Rc<host::Host>, endpoint: &str) {
    let requests = host.facts.borrow_mut().crashes.record_down(host.clock.now(), endpoint);
    if requests > 0 {
        log::info!(target: "endpoints", endpoint, requests; "crashed");
        host.peers.send_heartbeats(host);
    }
}

impl exchange::Exchange {
    /// Whether the request is refused because it, or a part of its prompt, crashed endpoints.
    pub(super) fn is_suspect(&self) -> bool {
        is_suspect(&self.host, &self.head.attempt, &self.identity)
    }

    /// Records that the connection broke while an endpoint ran the request, which may have crashed
    /// it, and finds out whether the endpoint is down.
    pub fn record_broken(&self, endpoint: &str) {
        let now = self.host.clock.now();
        let address = {
            let mut facts = self.host.facts.borrow_mut();
            let entry = facts.fleet.get(endpoint);
            let (address, started_at) = entry.map(|it| (it.address, it.started_at)).unzip();
            let (started_at, identity) = (started_at.unwrap_or(0), self.identity.clone());
            facts.crashes.record_broken(now, endpoint, started_at, identity);
            address
        };
        let Some(address) = address else { return };
        let (host, endpoint) = (self.host.clone(), endpoint.to_owned());
        task::spawn_local(async move {
            if is_down(&host.pool.dialer, address).await {
                record_down(&host, &endpoint);
            }
        });
    }

    /// Whether the endpoint of an answer that ended with its connection has ended as well, planned
    /// or not: that may have cut the answer, and looks the same as its end.
    pub async fn has_crashed(&self, call: &in_flight::Call) -> bool {
        match call.address {
            Some(address) => is_down(&self.host.pool.dialer, address).await,
            None => false,
        }
    }

    /// Records that the request was served.
    pub(super) fn record_served(&self) {
        let now = self.host.clock.now();
        self.host.facts.borrow_mut().crashes.record_served(now, self.identity.clone());
    }
}
