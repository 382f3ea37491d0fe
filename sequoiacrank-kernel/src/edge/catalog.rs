//! The versioned configuration of routes, services and workspaces that operators declare.

use std::sync;
use std::time;

use crate::id;
use crate::map;

/// Version of a configuration; a newer configuration has a higher one.
pub type Version = u64;

/// Whether requests of a route may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once per attempt of the caller.
    Once,
    /// The answer is a stream of events; [`Route::stream_resume`] tells whether a broken stream may
    /// be requested again.
    Stream,
}

/// Routing rule for the requests of one host name and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: id::RouteId,
    /// Host name to match, in lower case and without a port.
    pub hostname: String,
    /// Path prefix to match; it begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be sent more than once.
    pub kind: Kind,
    /// Maximum time from the arrival of a request to its deadline.
    pub timeout: time::Duration,
    /// Target time of the answer; for streams, of the first event.
    pub target_latency: time::Duration,
    /// Priority rank of the requests; 0 is the most urgent.
    pub rank: u32,
    /// Services among which requests are split, with their weights.
    pub weighted_split: Vec<(id::ServiceId, u32)>,
    /// Maximum number of endpoints to which one attempt of a caller is sent.
    pub max_attempts: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<Stage>,
    /// Whether requests need no API key.
    pub auth_exempt: bool,
    /// Whether requests prefer the endpoint that served their session before.
    pub session_affinity: bool,
    /// Whether another endpoint can resume a broken stream.
    pub stream_resume: bool,
}

impl Route {
    /// Whether a request may be sent again when it is unknown whether it ran.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Repeatable => true,
            Kind::Once => false,
            Kind::Stream => self.stream_resume,
        }
    }

    /// Picks a service by weight, for `draw` uniformly distributed over all `u64` values. `None` if
    /// all weights are zero.
    pub fn pick_service(&self, draw: u64) -> Option<&id::ServiceId> {
        let total: u64 = self.weighted_split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.weighted_split {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(service),
            }
        }
        None
    }
}

/// A stage that runs before a request.
#[derive(Clone, Debug)]
pub struct Stage {
    /// Service whose endpoints run the stage.
    pub service: id::ServiceId,
    /// Indices of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub bytes: u64,
}

/// Whether stages can run in some order: each needs only stages that exist, and none needs itself,
/// be it through others.
pub fn can_run(stages: &[Stage]) -> bool {
    let mut done = vec![false; stages.len()];
    for _ in stages {
        let ready = |stage: &Stage| stage.after.iter().all(|&it| done.get(it) == Some(&true));
        let next = stages.iter().map(ready).collect();
        if next == done {
            break;
        }
        done = next;
    }
    done.into_iter().all(|it| it)
}

/// A service and the limits of its endpoints.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: id::ServiceId,
    /// Maximum rate for a cold endpoint, in requests per second; 0 means no limit.
    pub cold_rate: f64,
    /// How calls are batched; set only for services that run stages.
    pub batch: Option<Batch>,
    /// Bounds on the number of endpoints; set only if hosts choose it.
    pub scaling: Option<Scaling>,
}

/// Bounds on the number of endpoints of a service in each availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scaling {
    /// Smallest number in a zone.
    pub min: u32,
    /// Largest number in a zone.
    pub max: u32,
    /// Time after which an endpoint that was ordered serves.
    pub boot: time::Duration,
}

/// How the endpoints of a service run stage work, in calls of several pieces.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Number of calls that an endpoint runs concurrently.
    pub slots: u32,
    /// Maximum number of pieces in a call.
    pub max_pieces: usize,
    /// Fixed time of a call, regardless of its pieces.
    pub call_time: time::Duration,
    /// Approximate time that each piece adds to a call.
    pub piece_time: time::Duration,
    /// Memory of an endpoint for results, in bytes.
    pub memory: u64,
}

/// A workspace, which owns API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: id::WorkspaceId,
    /// Priority rank, if set; in calls to endpoints it replaces that of the route.
    pub rank: Option<u32>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum idle time of a connection between two requests.
    pub idle: time::Duration,
    /// Time in which the head of a request must arrive.
    pub head_time: time::Duration,
}

/// A complete configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: Version,
    /// Routes by host name, longest path prefix first.
    routes: map::FastMap<String, Vec<sync::Arc<Route>>>,
    services: map::FastMap<id::ServiceId, sync::Arc<Service>>,
    keys: map::FastMap<String, sync::Arc<Workspace>>,
    /// Smallest rank, which is the most urgent, of any workspace that has one; 0 if none has.
    min_rank: u32,
    /// Limits on what callers may send.
    pub limits: Limits,
}

impl Catalog {
    /// Builds a configuration, indexed for lookups by host name, service and API key.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Vec<(String, sync::Arc<Workspace>)>,
        limits: Limits,
    ) -> Self {
        let mut by_hostname: map::FastMap<String, Vec<sync::Arc<Route>>> = map::FastMap::default();
        for route in routes {
            by_hostname.entry(route.hostname.clone()).or_default().push(sync::Arc::new(route));
        }
        for routes in by_hostname.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services =
            services.into_iter().map(|it| (it.name.clone(), sync::Arc::new(it))).collect();
        let min_rank = keys.iter().filter_map(|(_, it)| it.rank).min().unwrap_or_default();
        let keys = keys.into_iter().collect();
        Catalog { version, routes: by_hostname, services, keys, min_rank, limits }
    }

    /// Returns the route of `hostname` with the longest prefix of `path`.
    pub fn route(&self, hostname: &str, path: &str) -> Option<&sync::Arc<Route>> {
        self.routes.get(hostname)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<Service>> {
        self.services.values()
    }

    /// Priority rank of a request: the rank of the route, plus the difference between the rank of
    /// the workspace and the smallest one. A workspace without a rank counts as having the
    /// smallest. Using the sum keeps both workspaces and routes of low priority from starving.
    pub fn rank(&self, route: &Route, workspace: Option<&Workspace>) -> u32 {
        let workspace = workspace.and_then(|it| it.rank).unwrap_or(self.min_rank);
        (workspace - self.min_rank).saturating_add(route.rank)
    }

    /// Returns the workspace that owns the API key `key`.
    pub fn workspace(&self, key: &str) -> Option<&sync::Arc<Workspace>> {
        self.keys.get(key)
    }
}
