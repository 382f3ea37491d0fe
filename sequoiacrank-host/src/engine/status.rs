//! The state of a host as JSON for operators: hosts, availability zones, endpoints and moves.

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::map;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;
use sequoiacrank_platform::hosts;
use serde_json::json;

use crate::engine;

/// A view of a host's state, with the configuration and latches at its creation.
pub struct Status<'a> {
    engine: &'a engine::Engine,
    plan: std::sync::Arc<plan::Plan>,
    latches: map::FastSet<log::Latch>,
}

impl<'a> Status<'a> {
    pub(super) fn new(engine: &'a engine::Engine) -> Self {
        let latches = engine.latches.lock().clone();
        Status { engine, plan: engine.plan(), latches }
    }

    /// All moves with their state.
    pub fn moves(&self) -> serde_json::Value {
        let now = self.engine.clock.now();
        let mut names: Vec<&id::MoveId> = self.plan.moves.keys().collect();
        names.sort();
        let known = self.engine.traffic.moves(now);
        let move_json = |name: &id::MoveId| {
            let declared = &self.plan.moves[name];
            let mut value = json!({
                "move": name,
                "service": declared.service,
                "from": declared.from,
                "to": declared.to,
                "start_ms": declared.start.as_millis() as u64,
                "finish_ms": declared.finish.as_millis() as u64,
                "state": self.move_state(name, declared, now),
            });
            if let Some(status) = known.iter().find(|status| status.id == *name) {
                value["share_per_mille"] = json!(status.share);
                value["calls"] = json!({ "old": status.old, "new": status.new });
                value["why"] = json!(status.why);
            }
            value
        };
        json!({ "moves": names.into_iter().map(move_json).collect::<Vec<serde_json::Value>>() })
    }

    fn move_state(&self, name: &str, declared: &plan::Move, now: id::Time) -> &'static str {
        match () {
            () if self.latches.contains(&log::Latch::TakenBack(name.into())) => "taken_back",
            () if self.latches.contains(&log::Latch::Done(name.into())) => "done",
            () if now < declared.start => "waiting",
            () => "running",
        }
    }

    /// The complete status.
    pub fn all(&self) -> serde_json::Value {
        let engine = self.engine;
        json!({
            "host": engine.settings.host,
            "zone": engine.settings.zone,
            "ready": engine.ready(),
            "leaving": engine.leaving(),
            "revision": self.plan.revision,
            "requests": engine.sessions.running(),
            "calls": engine.runner.running(),
            "hosts": self.hosts(),
            "zones": self.zones(),
            "endpoints": self.endpoints(),
            "moves": self.moves()["moves"],
        })
    }

    fn hosts(&self) -> Vec<serde_json::Value> {
        let host = |host: hosts::Entry| {
            json!({
                "host": host.id,
                "zone": host.zone,
                "leaving": host.leaving,
                "address": host.address.to_string(),
                "peer": host.peer.to_string(),
            })
        };
        self.engine.peers.hosts().into_iter().map(host).collect()
    }

    fn zones(&self) -> Vec<serde_json::Value> {
        let mut zones: Vec<_> = self.plan.zones.iter().collect();
        zones.sort_by_key(|(name, _)| *name);
        let zone = |(name, zone): (&id::ZoneId, &plan::Zone)| json!({ "zone": name, "region": zone.region, "out": zone.out });
        zones.into_iter().map(zone).collect()
    }

    fn endpoints(&self) -> Vec<serde_json::Value> {
        let reports = self.engine.reports.lock().clone();
        let known = self.engine.traffic.endpoints(self.engine.clock.now());
        let mut endpoints: Vec<_> = self.plan.endpoints.iter().collect();
        endpoints.sort_by_key(|(name, _)| *name);
        let endpoint = |(name, endpoint): (&id::EndpointId, &plan::Endpoint)| {
            let latched = self.latches.contains(&log::Latch::Leaving(name.clone()));
            let mut value = json!({
                "endpoint": name,
                "service": endpoint.service,
                "version": endpoint.version,
                "zone": endpoint.zone,
                "leaving": endpoint.leaving || latched,
            });
            if let Some(status) = known.iter().find(|status| status.endpoint == *name) {
                value["usable"] = json!(status.usable);
                value["limit"] = json!(status.limit);
                value["slots"] = json!(status.slots);
                value["calls"] = json!(status.in_flight + status.borrowed);
                value["generation"] = json!(status.generation);
            }
            add_report(&mut value, reports.get(name));
            value
        };
        endpoints.into_iter().map(endpoint).collect()
    }
}

/// Adds the load report of an endpoint, if this host polls it.
fn add_report(value: &mut serde_json::Value, report: Option<&Option<traffic::Report>>) {
    match report {
        Some(Some(report)) => {
            value["running"] = json!(report.running);
            value["waiting"] = json!(report.waiting);
        }
        Some(None) => value["unreachable"] = json!(true),
        None => {}
    }
}
