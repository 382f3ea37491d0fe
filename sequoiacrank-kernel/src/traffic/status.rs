//! Snapshots of the traffic state for status pages and metrics.

use std::time;

use crate::id;
use crate::rollout;
use crate::traffic;

/// State of an endpoint on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Service.
    pub service: id::ServiceId,
    /// Version that it runs.
    pub version: id::VersionId,
    /// Availability zone.
    pub zone: id::ZoneId,
    /// Whether new calls may go to it.
    pub usable: bool,
    /// Concurrency limit of the whole endpoint.
    pub limit: u32,
    /// Number of this host's slots on it.
    pub slots: u32,
    /// Calls of this host in flight on its own slots.
    pub in_flight: u32,
    /// Calls of this host in flight on borrowed slots.
    pub borrowed: u32,
    /// Slots lent to peers.
    pub lent: u32,
    /// Increases with each restart or sudden slowdown.
    pub generation: u64,
    /// Moving average of the time of a call.
    pub latency: time::Duration,
}

/// State of a service on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceStatus {
    /// Service.
    pub service: id::ServiceId,
    /// Number of waiting calls.
    pub waiting: usize,
    /// Whether any share is reduced until the host list has settled.
    pub settling: bool,
}

/// Cost of a pipeline's stage on this host since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageCost {
    /// Pipeline.
    pub pipeline: id::PipelineId,
    /// Index of the stage in the pipeline.
    pub stage: usize,
    /// Total time that attempts held slots.
    pub busy: time::Duration,
    /// Number of attempts.
    pub calls: u64,
    /// Number of successful attempts.
    pub answers: u64,
}

impl StageCost {
    /// Endpoint-seconds per answer; `None` before the first answer.
    pub fn per_answer(&self) -> Option<f64> {
        (self.answers > 0).then(|| self.busy.as_secs_f64() / self.answers as f64)
    }
}

impl traffic::Traffic {
    /// All endpoints, sorted by service and name.
    pub fn endpoints(&self, now: id::Time) -> Vec<EndpointStatus> {
        let mut all = Vec::new();
        for pool in self.all_pools() {
            let pool = pool.lock();
            all.extend(pool.endpoints.iter().map(|(endpoint, state)| EndpointStatus {
                endpoint: endpoint.clone(),
                service: pool.service.clone(),
                version: state.conf.version.clone(),
                zone: state.conf.zone.clone(),
                usable: state.usable,
                limit: state.limit.allowed(),
                slots: state.slots(),
                in_flight: state.in_flight,
                borrowed: pool.borrowed.in_flight(endpoint),
                lent: state.lent.total(now),
                generation: state.generation,
                latency: state.latency,
            }));
        }
        all
    }

    /// All services, sorted by name.
    pub fn services(&self) -> Vec<ServiceStatus> {
        let status = |pool: &parking_lot::Mutex<traffic::pool::Pool>| {
            let pool = pool.lock();
            ServiceStatus {
                service: pool.service.clone(),
                waiting: pool.queued.len(),
                settling: pool.endpoints.values().any(|state| state.share.settling()),
            }
        };
        self.all_pools().iter().map(|pool| status(pool)).collect()
    }

    /// Costs of all stages, sorted by pipeline and stage.
    pub fn costs(&self) -> Vec<StageCost> {
        let mut all: Vec<StageCost> = Vec::new();
        for pool in self.all_pools() {
            all.extend(pool.lock().costs.values().cloned());
        }
        all.sort_by(|a, b| (&a.pipeline, a.stage).cmp(&(&b.pipeline, b.stage)));
        all
    }

    /// All declared moves, sorted by name.
    pub fn moves(&self, now: id::Time) -> Vec<rollout::Status> {
        self.moves.lock().status(now)
    }

    /// Number of running requests.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of attempts in flight.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }
}
