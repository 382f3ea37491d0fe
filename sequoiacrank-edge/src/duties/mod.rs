//! Duties that one host performs for all: the lease, usage reports and orders for the number of
//! endpoints. Nothing here runs unless the settings name the platform's API.

pub mod api;
mod holder;
mod record;
mod scaling;
pub mod usage;

use std::cell;
use std::rc;

use sequoiacrank_config::edge;
use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::lease;
use sequoiacrank_kernel::id;
use tokio::sync;
use tokio::task;

use crate::host;
use crate::peer;
use crate::peer::wire;

/// State of the duties on this host.
pub struct Duties {
    /// The lease; `None` if the settings name no API.
    pub lease: Option<cell::RefCell<lease::Lease>>,
    /// Rate and failures of calls to the API.
    pub api: api::Api,
    /// Wakes the task of the lease after a call changed its state.
    changed: sync::Notify,
    /// Requests counted by this host, and reports of all hosts while it holds the lease.
    pub usage: usage::Usage,
    /// Reports of demand while this host holds the lease.
    scaling: scaling::Scaling,
}

impl Duties {
    /// The state at the start of the process `process`.
    pub fn new(settings: &edge::Settings, process: id::Incarnation) -> Self {
        let own = lease::Owner { host: settings.host.clone(), address: settings.peer, process };
        let lease = settings.platform_api.as_ref().map(|api| lease::Lease::new(own, api.lease));
        Duties {
            lease: lease.map(cell::RefCell::new),
            api: api::Api::default(),
            changed: sync::Notify::new(),
            usage: usage::Usage::new(settings.platform_api.as_ref()),
            scaling: scaling::Scaling::default(),
        }
    }

    /// Fencing token with which this host may act now; 0 if it does not hold the duties.
    pub fn token(&self) -> duty::Token {
        let lease = self.lease.as_ref().map(cell::RefCell::borrow);
        lease.and_then(|lease| lease.token(steady_now())).unwrap_or_default()
    }
}

/// Time of the steady clock, which counts the time of a suspension.
pub fn steady_now() -> id::Time {
    // Never negative: the clock counts from the start of the system.
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    id::Time::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}

/// Performs the duties for as long as the host runs, while it holds the lease.
pub async fn follow(host: rc::Rc<host::Host>) {
    let Some(settings) = &host.settings.platform_api else { return };
    let known = [edge::USAGE_DUTY, edge::SCALING_DUTY];
    for name in settings.duties.iter().filter(|name| !known.contains(&name.as_str())) {
        log::warn!(target: "duties", name = name.as_str(); "unknown duty ignored");
    }
    if !known.iter().any(|name| settings.has_duty(name)) {
        return;
    }
    task::spawn_local(holder::follow(host.clone()));
    task::spawn_local(usage::follow(host.clone()));
    task::spawn_local(scaling::follow(host));
}

/// Counts a request that was refused for lack of an endpoint of `service` with room.
pub fn record_refused(host: &host::Host, service: &str) {
    scaling::record_refused(host, service);
}

/// Handles the message `Usage`: the report of another host.
pub fn receive_usage(host: &rc::Rc<host::Host>, from: peer::Sender, report: &wire::duties::Usage) {
    usage::receive(host, from, report);
    scaling::receive(host, from, &report.demand);
}

/// Handles the message `Timing`: the answer of the holder.
pub fn receive_timing(
    host: &rc::Rc<host::Host>,
    from: peer::Sender,
    timing: &wire::duties::Timing,
) {
    usage::receive_timing(host, from, timing);
}
