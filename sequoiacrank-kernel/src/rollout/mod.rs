//! Moves of traffic from one version of a service to another: shares, comparison and outcome.
//!
//! Each host decides by itself, from its own calls and those that peers report. As soon as it finds
//! a version bad, it bans it and then reports this as a latch. If one host decides that a move is
//! done and another that it is taken back, it counts as taken back. This rule does not depend on
//! the order of the two latches, so all hosts reach the same outcome, and a version that a host
//! found bad never returns to service.

pub mod comparison;
pub mod evidence;
mod judge;
pub mod ramp;
pub mod statistic;
mod track;

use std::time;

use crate::id;
use crate::log;
use crate::map;
use crate::message;
use crate::plan;
use crate::policy;
use crate::traffic;

pub use judge::{Sequential, Threshold};
pub use track::{Phase, Status};

/// Judge that is used if the declared one is not registered.
const DEFAULT_JUDGE: &str = "sequential";
/// How long a host that learns of a move after its deadline waits to learn its outcome.
const LATE_WAIT: time::Duration = time::Duration::from_secs(60);

/// Whether a fault of a call counts against the version that ran it.
///
/// A refused connection never reached the version, and overload depends on limits. A reset, a
/// timeout, an error status or a malformed answer is attributed to the version.
pub fn is_version_fault(fault: traffic::Fault) -> bool {
    !matches!(fault, traffic::Fault::Refused | traffic::Fault::Overloaded)
}

/// All moves, as far as this host knows.
pub struct Rollout {
    judge: Box<dyn policy::Judge>,
    services: map::FastMap<id::ServiceId, Service>,
    /// Outcomes of moves; taken back wins over done.
    ends: map::FastMap<id::MoveId, Phase>,
}

/// A service and its moves in the order of their start.
#[derive(Default)]
struct Service {
    version: id::VersionId,
    tracks: Vec<track::Track>,
}

impl Default for Rollout {
    fn default() -> Self {
        Rollout {
            judge: Box::new(Sequential),
            services: map::FastMap::default(),
            ends: map::FastMap::default(),
        }
    }
}

impl Rollout {
    /// State of every declared move, by name.
    pub fn status(&self, now: id::Time) -> Vec<Status> {
        let tracks = self.services.values().flat_map(|service| &service.tracks);
        let mut all: Vec<_> = tracks.map(|track| track.status(now)).collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Number of samples held, for estimates of memory use.
    pub fn samples(&self) -> usize {
        self.services.values().flat_map(|service| &service.tracks).map(track::Track::samples).sum()
    }
}

impl policy::Moves for Rollout {
    fn apply_plan(&mut self, now: id::Time, plan: &plan::Plan) {
        let judge = policy::judge(&plan.policies.judge).or_else(|| policy::judge(DEFAULT_JUDGE));
        if let Some(plugin) = judge {
            self.judge = (plugin.make)();
        }
        let mut known: map::FastMap<_, _> = self
            .services
            .drain()
            .flat_map(|(_, service)| service.tracks)
            .map(|track| (track.id.clone(), track))
            .collect();
        for (id, service) in &plan.services {
            let entry = Service { version: service.version.clone(), tracks: Vec::new() };
            self.services.insert(id.clone(), entry);
        }
        for (id, spec) in &plan.moves {
            let old_available = old_available(plan, spec);
            let mut track = match known.remove(id) {
                Some(track) if track.same_versions(spec) => track,
                _ => track::Track::new(now, id, spec),
            };
            track.update(spec, old_available);
            if let Some(&phase) = self.ends.get(id) {
                track.end(now, phase, "latched");
            }
            if let Some(service) = self.services.get_mut(&spec.service) {
                service.tracks.push(track);
            }
        }
        for service in self.services.values_mut() {
            service.tracks.sort_by(|a, b| (a.spec.start, &a.id).cmp(&(b.spec.start, &b.id)));
        }
    }

    fn apply_latch(&mut self, now: id::Time, latch: &log::Latch) {
        let (id, phase) = match latch {
            log::Latch::Done(id) => (id, Phase::Done),
            log::Latch::TakenBack(id) => (id, Phase::TakenBack),
            log::Latch::Leaving(_) => return,
        };
        let end = self.ends.entry(id.clone()).or_insert(phase);
        if phase == Phase::TakenBack {
            *end = phase;
        }
        let tracks = self.services.values_mut().flat_map(|service| &mut service.tracks);
        for track in tracks.filter(|track| track.id == *id) {
            track.end(now, phase, "latched");
        }
    }

    fn version(
        &self,
        now: id::Time,
        service: &str,
        request: id::RequestId,
    ) -> Option<id::VersionId> {
        let service = self.services.get(service)?;
        let tracks = service.tracks.iter();
        Some(
            tracks.fold(service.version.clone(), |current, track| {
                track.choose(now, current, request)
            }),
        )
    }

    fn fallback(&self, service: &str, version: &str) -> Option<id::VersionId> {
        let tracks = &self.services.get(service)?.tracks;
        let track =
            tracks.iter().find(|track| track.spec.to == version && track.can_fall_back())?;
        Some(track.spec.from.clone())
    }

    fn is_banned(&self, service: &str, version: &str) -> bool {
        self.services.get(service).is_some_and(|service| {
            service.tracks.iter().any(|track| track.is_banned() && track.spec.to == version)
        })
    }

    fn record_end(&mut self, now: id::Time, call: &policy::Call<'_>) {
        let Some(service) = self.services.get_mut(call.service) else { return };
        for track in &mut service.tracks {
            track.record(now, call, self.judge.as_ref());
        }
    }

    fn learn(&mut self, now: id::Time, from: &str, evidence: &[message::Evidence]) {
        let tracks = self.services.values_mut().flat_map(|service| &mut service.tracks);
        let mut tracks: map::FastMap<_, _> =
            tracks.map(|track| (track.id.clone(), track)).collect();
        for report in evidence {
            if let Some(track) = tracks.get_mut(&report.r#move) {
                track.learn(now, from, report);
            }
        }
    }

    fn evidence(&self) -> Vec<message::Evidence> {
        let tracks = self.services.values().flat_map(|service| &service.tracks);
        tracks.flat_map(track::Track::evidence).collect()
    }

    fn tick(&mut self, now: id::Time) -> Vec<(log::Latch, String)> {
        let mut latches = Vec::new();
        let tracks = self.services.values_mut().flat_map(|service| &mut service.tracks);
        for track in tracks {
            track.tick(now, self.judge.as_ref());
            if let Some(latch) = track.take_latch() {
                self.ends.insert(track.id.clone(), track.phase());
                latches.push(latch);
            }
        }
        latches
    }
}

/// Whether an endpoint in service still runs the old version.
fn old_available(plan: &plan::Plan, spec: &plan::Move) -> bool {
    plan.endpoints.values().any(|endpoint| {
        let out = plan.zones.get(&endpoint.zone).is_some_and(|zone| zone.out);
        endpoint.service == spec.service
            && endpoint.version == spec.from
            && !endpoint.leaving
            && !out
    })
}
