//! Attempts in flight, sharded by attempt id.
//!
//! An attempt may outlive its request: it holds its slot until it has ended.

use crate::id;
use crate::map;

/// Number of shards.
const SHARDS: usize = 16;

/// An attempt to run a stage: one call to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: id::RequestId,
    pub(crate) fingerprint: id::Fingerprint,
    pub(crate) route: id::RouteId,
    pub(crate) pipeline: id::PipelineId,
    pub(crate) stage: usize,
    pub(crate) service: id::ServiceId,
    pub(crate) version: id::VersionId,
    pub(crate) endpoint: id::EndpointId,
    /// Loan whose slot the call uses; `None` if it uses one of the host's own slots.
    pub(crate) loan: Option<id::Ticket>,
    pub(crate) started: id::Time,
    /// When the call is aborted.
    pub(crate) deadline: id::Time,
    /// Calls of this host in flight on the endpoint at the start, including this one.
    pub(crate) in_flight: u32,
    pub(crate) tokens: u32,
}

/// Attempts in flight by id.
pub(crate) struct Attempts {
    shards: Vec<parking_lot::Mutex<map::FastMap<id::AttemptId, Attempt>>>,
}

impl Attempts {
    pub(crate) fn new() -> Attempts {
        Attempts { shards: (0..SHARDS).map(|_| Default::default()).collect() }
    }

    fn shard(
        &self,
        attempt: id::AttemptId,
    ) -> &parking_lot::Mutex<map::FastMap<id::AttemptId, Attempt>> {
        &self.shards[(attempt.as_u128() % SHARDS as u128) as usize]
    }

    pub(crate) fn insert(&self, attempt: id::AttemptId, call: Attempt) {
        self.shard(attempt).lock().insert(attempt, call);
    }

    pub(crate) fn remove(&self, attempt: id::AttemptId) -> Option<Attempt> {
        self.shard(attempt).lock().remove(&attempt)
    }

    /// Number of attempts in flight.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }
}
