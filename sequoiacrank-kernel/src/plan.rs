//! The validated configuration as the decision logic uses it. `sequoiacrank-config` builds it.

use std::net;
use std::time;

use crate::id;
use crate::map;

/// An accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Revision under which it was accepted.
    pub revision: id::Revision,
    /// Availability zones by name.
    pub zones: map::FastMap<id::ZoneId, Zone>,
    /// Workspaces by name.
    pub workspaces: map::FastMap<id::WorkspaceId, Workspace>,
    /// Services by name.
    pub services: map::FastMap<id::ServiceId, Service>,
    /// Endpoints by name.
    pub endpoints: map::FastMap<id::EndpointId, Endpoint>,
    /// Pipelines by name.
    pub pipelines: map::FastMap<id::PipelineId, Pipeline>,
    /// Routes by name.
    pub routes: map::FastMap<id::RouteId, Route>,
    /// Moves by name.
    pub moves: map::FastMap<id::MoveId, Move>,
    /// Policies in force.
    pub policies: Policies,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Region of the zone.
    pub region: id::RegionId,
    /// Whether operators took the zone out of service.
    pub out: bool,
}

/// A workspace: a customer with its own API keys and a weight in queues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// SHA-256 hash of each bearer key.
    pub keys: Vec<[u8; 32]>,
    /// Share in queues relative to other workspaces; at least 1.
    pub weight: u32,
}

/// What the endpoints of a service do; selects the protocol spoken to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// OpenAI-compatible completions, streamed.
    Generate,
    /// `/v1/embeddings`.
    Embed,
    /// `/v1/rerank`.
    Rerank,
    /// JSON over HTTP; returns documents for a query.
    Retrieve,
    /// JSON over HTTP.
    Plain,
}

/// A set of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// What its endpoints do.
    pub kind: Kind,
    /// Version that receives all traffic unless a move is under way.
    pub version: id::VersionId,
    /// Concurrent calls that an endpoint can take right after its start.
    pub cold: u32,
    /// Upper bound of concurrent calls on a warm endpoint.
    pub full: u32,
    /// Whether endpoints reject commands with an outdated fencing token.
    pub fenced: bool,
}

/// A back end that serves calls of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Service that it belongs to.
    pub service: id::ServiceId,
    /// Version that it runs.
    pub version: id::VersionId,
    /// Availability zone of the endpoint.
    pub zone: id::ZoneId,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Whether operators declared that it is to be removed.
    pub leaving: bool,
}

/// Priority class of a pipeline's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// Small calls with a hard deadline, such as bids.
    Urgent,
    /// All other calls.
    Normal,
    /// Long calls whose callers tolerate waiting.
    Patient,
}

/// A sequence of stages with one deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pipeline {
    /// Time limit from the arrival of a request to its complete answer.
    pub deadline: time::Duration,
    /// Priority class of its requests.
    pub class: Class,
    /// Stages in the order of execution; never empty.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Whether a request needs a claim, because some stage is not idempotent.
    pub fn needs_claim(&self) -> bool {
        self.stages.iter().any(|stage| !stage.idempotent)
    }
}

/// A stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Name, unique within the pipeline.
    pub id: id::StageId,
    /// Service whose endpoints run the stage.
    pub service: id::ServiceId,
    /// HTTP path of the call to the endpoint.
    pub path: String,
    /// Whether the stage is idempotent and may be retried.
    pub idempotent: bool,
    /// Timeout for an endpoint that sends nothing during a call.
    pub idle: time::Duration,
}

/// Permission for workspaces to call a pipeline. Statistics of versions are kept by route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Pipeline that the route leads to.
    pub pipeline: id::PipelineId,
    /// Workspaces that may use the route.
    pub workspaces: Vec<id::WorkspaceId>,
}

/// A move of a service's traffic from one version to another within a given time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Service whose traffic is moved.
    pub service: id::ServiceId,
    /// Version that it moves from.
    pub from: id::VersionId,
    /// Version that it moves to.
    pub to: id::VersionId,
    /// Earliest start.
    pub start: id::Time,
    /// Time by which it must be completed or taken back.
    pub finish: id::Time,
    /// Largest share of requests, in thousandths, that the new version receives before it is judged
    /// good.
    pub early: u32,
}

/// Names under which the policies in force are registered; see [`crate::policy`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policies {
    /// Policy that limits concurrent calls on an endpoint.
    pub limit: String,
    /// Policy that chooses an endpoint for a call.
    pub placement: String,
    /// Policy that orders waiting calls.
    pub queue: String,
    /// Policy that decides whether a failed stage is retried.
    pub retry: String,
    /// Policy that judges a new version.
    pub judge: String,
}

impl Default for Policies {
    fn default() -> Self {
        Policies {
            limit: "slow-start".into(),
            placement: "least-finish".into(),
            queue: "fair-deadline".into(),
            retry: "budget".into(),
            judge: "sequential".into(),
        }
    }
}
