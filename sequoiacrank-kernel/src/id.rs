//! Type aliases for identifiers and time.

use std::time;

/// Time by a host's clock, which never goes backward: since the Unix epoch, or in [`crate::edge`]
/// since the start of the process.
pub type Time = time::Duration;

/// Name of a host, unique among live hosts. A replacement gets a new name or a new [`Incarnation`].
pub type HostId = String;
/// Random number drawn at each start of a host process.
pub type Incarnation = u64;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a region.
pub type RegionId = String;
/// Name of a workspace.
pub type WorkspaceId = String;
/// Name of an endpoint.
pub type EndpointId = String;
/// Name of a service, which is a set of interchangeable endpoints.
pub type ServiceId = String;
/// Name of a version of a service.
pub type VersionId = String;
/// Name of a pipeline.
pub type PipelineId = String;
/// Name of a stage, unique within its pipeline.
pub type StageId = String;
/// Name of a route.
pub type RouteId = String;
/// Name of a move of traffic from one version to another.
pub type MoveId = String;

/// Id of a caller's request: a UUIDv7 made by the host that accepted it.
pub type RequestId = uuid::Uuid;
/// Id of one attempt to run a stage of a request.
pub type AttemptId = uuid::Uuid;
/// A caller's idempotency key: a UUIDv7, whose timestamp limits how long the key is remembered.
pub type Key = uuid::Uuid;
/// Hash of a request's content; equal for repeats of the request.
pub type Fingerprint = u64;

/// Number of an accepted configuration; 0 is the empty configuration.
pub type Revision = u64;
/// Number of a time span in which the store lost nothing: each restore from a copy begins the next
/// one.
pub type Era = u64;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
/// Number of an ownership period of a shard.
pub type Epoch = u64;
/// Number that matches an answer to its command or event.
pub type Ticket = u64;
/// Number of a shard of the claim streams.
pub type Shard = u32;
