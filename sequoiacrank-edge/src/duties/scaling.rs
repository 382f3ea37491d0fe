//! Collects the demand of all hosts and orders the number of endpoints.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use sequoiacrank_adapter::duty as adapter;
use sequoiacrank_config::edge;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::scaling;
use sequoiacrank_kernel::edge::duty::scaling::dispatch;
use sequoiacrank_kernel::edge::duty::scaling::reports;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use tokio::task;

use crate::duties;
use crate::duties::api;
use crate::facts;
use crate::host;
use crate::peer;
use crate::peer::wire;

/// Time between two decisions.
const DECISION_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between two checks for orders to send, which have to be acknowledged by the store first.
const SEND_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Ordered numbers of endpoints.
type Desired = collections::BTreeMap<scaling::Subject, u32>;

/// The demand of all hosts, and the orders while this host holds the lease.
#[derive(Default)]
pub struct Scaling {
    /// Requests of this host that were refused for lack of an endpoint with room, by service.
    refused: cell::RefCell<map::FastMap<id::ServiceId, u64>>,
    reports: cell::RefCell<reports::Reports>,
    holder: cell::RefCell<Option<Holder>>,
    /// Zones in which endpoints were seen. A new holder counts a zone that was lost just before.
    zones: cell::RefCell<collections::BTreeSet<scaling::Subject>>,
}

/// Decisions and orders of the holder.
struct Holder {
    /// Fencing token of the lease.
    token: duty::Token,
    scaler: scaling::Scaler,
    dispatch: dispatch::Dispatch,
    next_decision: id::Time,
}

/// Whether this host decides or reports anything about the number of endpoints.
fn is_active(host: &host::Host) -> bool {
    let api = host.settings.platform_api.as_ref();
    api.is_some_and(|api| api.has_duty(edge::SCALING_DUTY))
}

/// The services whose number of endpoints hosts choose.
fn services(facts: &facts::Facts) -> Vec<(id::ServiceId, catalog::Scaling)> {
    let Some(catalog) = &facts.catalog else { return Vec::new() };
    let scaled = catalog.services().filter_map(|it| Some((it.name.clone(), it.scaling?)));
    scaled.collect()
}

/// Counts a request that was refused for lack of an endpoint of `service` with room.
pub fn record_refused(host: &host::Host, service: &str) {
    if !is_active(host) {
        return;
    }
    let facts = host.facts.borrow();
    let known = facts.catalog.as_ref().and_then(|catalog| catalog.service(service));
    if known.is_some_and(|it| it.scaling.is_some()) {
        let mut refused = host.duties.scaling.refused.borrow_mut();
        *refused.entry(service.to_owned()).or_default() += 1;
    }
}

/// Load of the services whose number of endpoints hosts choose, at this host.
fn loads(host: &host::Host) -> Vec<(id::ServiceId, reports::Load)> {
    if !is_active(host) {
        return Vec::new();
    }
    let facts = host.facts.borrow();
    let refused = host.duties.scaling.refused.borrow();
    let load = |service: id::ServiceId| {
        let own = facts.fleet.entries().filter(|entry| entry.service == service);
        let running: usize = own.map(|entry| facts.fleet.in_flight(&entry.id)).sum();
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        let refused = refused.get(&service).copied().unwrap_or_default();
        (service, reports::Load { running, refused })
    };
    services(&facts).into_iter().map(|(service, _)| load(service)).collect()
}

/// Demand that this host reports.
pub fn demand(host: &host::Host) -> Vec<wire::duties::Demand> {
    let demand = |(service, load): (id::ServiceId, reports::Load)| wire::duties::Demand {
        service,
        running: load.running,
        refused: load.refused,
    };
    loads(host).into_iter().map(demand).collect()
}

/// Handles the demand that another host reports.
pub fn receive(host: &rc::Rc<host::Host>, from: peer::Sender, demand: &[wire::duties::Demand]) {
    if !is_active(host) {
        return;
    }
    let load = |it: &wire::duties::Demand| {
        (it.service.clone(), reports::Load { running: it.running, refused: it.refused })
    };
    let mut reports = host.duties.scaling.reports.borrow_mut();
    reports.receive(duties::steady_now(), from.process, demand.iter().map(load));
}

/// Orders numbers of endpoints while this host is the holder.
pub async fn follow(host: rc::Rc<host::Host>) {
    if !is_active(&host) {
        return;
    }
    loop {
        let token = host.duties.token();
        if token == 0 {
            pause(&host);
            remember_zones(&host);
            tokio::time::sleep(DECISION_INTERVAL).await;
        } else {
            act(&host, token);
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    }
}

/// Forgets the decisions of a host that does not hold the lease any more. One that could only not
/// renew it for a while keeps them.
fn pause(host: &host::Host) {
    let scaling = &host.duties.scaling;
    if acknowledged(host).is_none() && scaling.holder.borrow_mut().take().is_some() {
        host.metrics.desired.reset();
    }
    scaling.reports.borrow_mut().expire(duties::steady_now());
}

/// Records the zones in which the services have endpoints.
fn remember_zones(host: &host::Host) {
    let facts = host.facts.borrow();
    let services = services(&facts);
    let mut zones = host.duties.scaling.zones.borrow_mut();
    zones.retain(|(service, _)| services.iter().any(|(name, _)| name == service));
    for entry in facts.fleet.entries() {
        if services.iter().any(|(name, _)| *name == entry.service) {
            zones.insert((entry.service.clone(), entry.zone.clone()));
        }
    }
}

/// Decides if it is time, and sends the orders that are due. `token` is that of the lease.
fn act(host: &rc::Rc<host::Host>, token: duty::Token) {
    let now = duties::steady_now();
    let Some(acknowledged) = acknowledged(host) else { return };
    if begin_decision(host, now, token, &acknowledged) {
        remember_zones(host);
        // A process that has started after a zone was lost knows it from the record only.
        host.duties.scaling.zones.borrow_mut().extend(acknowledged.keys().cloned());
        decide(host, now, &acknowledged);
    }
    send_due(host, now, &acknowledged);
}

/// Whether it is time for the next decision. The state of an earlier lease is replaced, as another
/// host may have ordered other numbers since.
fn begin_decision(
    host: &host::Host,
    now: id::Time,
    token: duty::Token,
    acknowledged: &Desired,
) -> bool {
    let mut holder = host.duties.scaling.holder.borrow_mut();
    let current = holder.take().filter(|holder| holder.token == token);
    let holder = holder.insert(current.unwrap_or_else(|| {
        let lost = host.settings.platform_api.as_ref().map_or(0, |api| api.zones_lost);
        let scaler = scaling::Scaler::new(lost, acknowledged);
        Holder { token, scaler, dispatch: dispatch::Dispatch::default(), next_decision: now }
    }));
    let decides = now >= holder.next_decision;
    if decides {
        holder.next_decision = now + DECISION_INTERVAL;
    }
    decides
}

/// The numbers that the store has acknowledged; `None` if this host does not hold the lease.
fn acknowledged(host: &host::Host) -> Option<Desired> {
    let lease = host.duties.lease.as_ref()?.borrow();
    lease.content().map(|content| content.desired.clone())
}

/// Number of live hosts whose reports are missing, this one not counted.
fn missing_reports(host: &host::Host, now: id::Time) -> usize {
    let members = host.peers.members();
    let reports = host.duties.scaling.reports.borrow();
    let has = |process: id::Incarnation| reports.has(now, process);
    members.candidates().filter(|it| !members.process(it.host).is_some_and(has)).count()
}

/// What this host knows of a service, with the demand of all hosts since the last decision.
fn observe(
    host: &host::Host,
    now: id::Time,
    service: &str,
    bounds: catalog::Scaling,
    complete: bool,
) -> scaling::Observation {
    let demand = host.duties.scaling.reports.borrow_mut().take(now, service);
    let facts = host.facts.borrow();
    let known = host.duties.scaling.zones.borrow();
    let known = known.iter().filter(|(it, _)| it == service).map(|(_, zone)| zone.clone());
    let mut zones: collections::BTreeMap<id::ZoneId, scaling::Zone> =
        known.map(|zone| (zone, scaling::Zone::default())).collect();
    let (mut slots, mut count) = (0.0, 0.0);
    for entry in facts.fleet.entries().filter(|entry| entry.service == service) {
        let zone = zones.entry(entry.zone.clone()).or_default();
        match () {
            () if entry.leaving || facts.fleet.notices.is_leaving(entry.instance()) => {
                zone.leaving += 1;
            }
            () if !entry.cold.is_zero() => zone.starting += 1,
            () => zone.ready += 1,
        }
        slots += f64::from(entry.slots);
        count += 1.0;
    }
    for name in facts.out_zones() {
        if let Some(zone) = zones.get_mut(&name) {
            zone.out = true;
        }
    }
    let slots = if count > 0.0 { slots / count } else { 0.0 };
    let (running, refused) = (demand.running, demand.refused);
    scaling::Observation { bounds, zones, slots, running, refused, complete }
}

/// Decides the numbers of all services and passes those that the store has not acknowledged to the
/// lease, which records them.
fn decide(host: &rc::Rc<host::Host>, now: id::Time, acknowledged: &Desired) {
    let loads = loads(host);
    host.duties.scaling.reports.borrow_mut().receive(now, host.process, loads);
    let missing = missing_reports(host, now);
    let services = services(&host.facts.borrow());
    if services.is_empty() {
        // Before the first configuration is read, none is known; what is recorded has to stay.
        return;
    }
    let is_scaled = |name: &str| services.iter().any(|(service, _)| service == name);
    let mut holder = host.duties.scaling.holder.borrow_mut();
    let Some(holder) = holder.as_mut() else { return };
    holder.scaler.retain(is_scaled);
    for (service, bounds) in &services {
        let seen = observe(host, now, service, *bounds, missing == 0);
        for (zone, it) in &seen.zones {
            let subject = (service.clone(), zone.clone());
            holder.dispatch.observe(now, &subject, it, bounds.boot);
        }
        for order in holder.scaler.decide(now, service, &seen) {
            log_order(host, now, service, &seen, &order, missing);
        }
    }
    let desired: Desired = holder.scaler.desired().collect();
    for ((service, zone), &count) in &desired {
        host.metrics.desired.with_label_values(&[service, zone]).set(i64::from(count));
    }
    if let Some(lease) = host.duties.lease.as_ref().filter(|_| desired != *acknowledged) {
        lease.borrow_mut().update(|content| content.desired = desired);
    }
}

/// Logs an order with everything that it follows from.
fn log_order(
    host: &host::Host,
    now: id::Time,
    service: &str,
    seen: &scaling::Observation,
    order: &scaling::Order,
    missing: usize,
) {
    let reports = host.duties.scaling.reports.borrow();
    let zone = seen.zones.get(&order.zone).copied().unwrap_or_default();
    let out = seen.zones.values().filter(|zone| zone.out).count();
    let age = reports.age(now).map(host::millis);
    log::info!(target: "duties", service, zone = order.zone.as_str(), count = order.count, before = order.before, required = order.required, demand = order.demand, running = seen.running, refused = seen.refused, slots = seen.slots, ready = zone.ready, starting = zone.starting, leaving = zone.leaving, zones = seen.zones.len(), out, min = seen.bounds.min, max = seen.bounds.max, reports = reports.count(), missing, age, why = order.reason.name(); "order");
}

/// Sends the orders that are due and that the store has acknowledged.
fn send_due(host: &rc::Rc<host::Host>, now: id::Time, acknowledged: &Desired) {
    let (token, due) = {
        let facts = host.facts.borrow();
        let out: Vec<_> = facts.out_zones().collect();
        let services = services(&facts);
        let mut holder = host.duties.scaling.holder.borrow_mut();
        let Some(Holder { token, scaler, dispatch, .. }) = holder.as_mut() else { return };
        let due = dispatch.take_due(now, acknowledged, |(service, zone)| {
            scaler.is_informed(service)
                && !out.contains(zone)
                && services.iter().any(|(name, _)| name == service)
        });
        (*token, due)
    };
    for (subject, count) in due {
        task::spawn_local(send(host.clone(), token, subject, count));
    }
}

/// Sends one order and records what became of it.
async fn send(host: rc::Rc<host::Host>, token: duty::Token, subject: scaling::Subject, count: u32) {
    let (service, zone) = (subject.0.as_str(), subject.1.as_str());
    let build = |holder: adapter::Holder<'_>| adapter::scaling(holder, service, zone, count);
    let result = api::call(&host, "scaling", build).await;
    let next = {
        let mut holder = host.duties.scaling.holder.borrow_mut();
        // Nobody waits for the outcome if the lease was lost meanwhile.
        let Some(holder) = holder.as_mut().filter(|it| it.token == token) else { return };
        holder.dispatch.answered(duties::steady_now(), &subject, count, result.is_ok())
    };
    match result {
        Ok(()) => {
            log::info!(target: "duties", service, zone, count; "order accepted");
        }
        Err(err) => {
            let next = next.map(host::millis);
            log::warn!(target: "duties", service, zone, count, next, err = err.to_string().as_str(); "order not accepted");
        }
    }
}
