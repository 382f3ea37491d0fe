//! Progress of the requests on this host, sharded by request id.

use std::collections;
use std::sync;

use crate::id;
use crate::map;
use crate::plan;
use crate::traffic;

/// Number of shards.
const SHARDS: usize = 16;

/// What a request is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Nothing: a thread is processing it.
    Processing,
    /// The answer to the claim of its key.
    Claiming,
    /// A free slot, in the queue of its stage's service.
    Waiting,
    /// The end of an attempt.
    InFlight(id::AttemptId),
}

/// The state of a running request.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) arrival: sync::Arc<traffic::Arrival>,
    /// The pipeline as declared when the request arrived.
    pub(crate) pipeline: sync::Arc<plan::Pipeline>,
    pub(crate) pipeline_id: id::PipelineId,
    /// Weight of the workspace.
    pub(crate) weight: u32,
    /// Index of the current stage in the pipeline.
    pub(crate) stage: usize,
    pub(crate) state: State,
    /// Endpoints that this stage has been dispatched to.
    pub(crate) tried: Vec<id::EndpointId>,
    /// Whether any stage has been dispatched.
    pub(crate) dispatched: bool,
    /// Whether any stage has succeeded.
    pub(crate) ran: bool,
    /// Whether a stage that is not idempotent has been dispatched, so that the request must run to
    /// its end.
    pub(crate) must_finish: bool,
    /// Whether the request holds the claim of its key.
    pub(crate) claimed: bool,
}

impl Progress {
    /// The current stage.
    pub(crate) fn stage(&self) -> &plan::Stage {
        &self.pipeline.stages[self.stage]
    }

    /// Whether a call to a stage that is not idempotent is in flight.
    pub(crate) fn outcome_pending(&self) -> bool {
        matches!(self.state, State::InFlight(_)) && !self.stage().idempotent
    }

    /// Whether nothing was dispatched, but an earlier request with the same key may have run, which
    /// only the answer to the claim shows.
    pub(crate) fn claim_unknown(&self) -> bool {
        !self.dispatched && !self.claimed && self.pipeline.needs_claim()
    }

    /// Whether the current stage needs a claim that the request doesn't hold.
    pub(crate) fn unclaimed(&self) -> bool {
        !self.claimed && !self.stage().idempotent
    }
}

/// Running requests by id.
pub(crate) struct Requests {
    shards: Vec<parking_lot::Mutex<Shard>>,
}

#[derive(Default)]
struct Shard {
    live: map::FastMap<id::RequestId, Progress>,
    deadlines: collections::BTreeSet<(id::Time, id::RequestId)>,
}

impl Requests {
    pub(crate) fn new() -> Requests {
        Requests { shards: (0..SHARDS).map(|_| Default::default()).collect() }
    }

    fn shard(&self, request: id::RequestId) -> &parking_lot::Mutex<Shard> {
        // The last bits of a UUIDv7 are random.
        &self.shards[(request.as_u128() % SHARDS as u128) as usize]
    }

    /// Adds a request; returns false if its id is in use.
    pub(crate) fn insert(&self, progress: Progress) -> bool {
        let request = progress.arrival.request;
        let mut shard = self.shard(request).lock();
        if shard.live.contains_key(&request) {
            return false;
        }
        shard.deadlines.insert((progress.arrival.deadline, request));
        shard.live.insert(request, progress);
        true
    }

    /// Removes a request and returns its state.
    pub(crate) fn remove(&self, request: id::RequestId) -> Option<Progress> {
        let mut shard = self.shard(request).lock();
        let progress = shard.live.remove(&request)?;
        shard.deadlines.remove(&(progress.arrival.deadline, request));
        Some(progress)
    }

    /// Returns a copy of a request's state.
    pub(crate) fn get(&self, request: id::RequestId) -> Option<Progress> {
        self.shard(request).lock().live.get(&request).cloned()
    }

    /// Applies `change` to a request under its shard's lock; returns `None` if the request has
    /// ended.
    pub(crate) fn update<F, T>(&self, request: id::RequestId, change: F) -> Option<T>
    where
        F: FnOnce(&mut Progress) -> T,
    {
        self.shard(request).lock().live.get_mut(&request).map(change)
    }

    /// Returns the requests whose deadline has passed.
    pub(crate) fn overdue(&self, now: id::Time) -> Vec<id::RequestId> {
        let overdue = |shard: &parking_lot::Mutex<Shard>| -> Vec<id::RequestId> {
            let shard = shard.lock();
            shard.deadlines.iter().take_while(|(due, _)| *due <= now).map(|(_, id)| *id).collect()
        };
        self.shards.iter().flat_map(overdue).collect()
    }

    /// Number of running requests.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().live.len()).sum()
    }
}
