//! Settings of a host that runs as `sequoiacrank serve`.

mod raw;

use std::net;
use std::time;

use sequoiacrank_kernel::id;

use crate::problem;
use crate::read;
use crate::read::Decode as _;
use crate::tree;

/// Validates settings that were read from `file`; returns all problems on failure.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<problem::Problem>> {
    let node = tree::parse(file, text).map_err(|problem| vec![problem])?;
    let mut sink = read::Sink::default();
    let raw = raw::Settings::decode(&node, &mut sink);
    let settings = raw.map(|raw| raw.check(&mut sink));
    sink.finish(settings)
}

/// Settings of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Region of the host.
    pub region: id::RegionId,
    /// Address that callers and operators connect to; port 0 picks a free one.
    pub listen: net::SocketAddr,
    /// Address that other hosts connect to; port 0 picks a free one.
    pub peer: net::SocketAddr,
    /// Bearer token that operators send. Optional only if `listen` is a loopback address.
    pub operator_token: Option<String>,
    /// Services of the platform.
    pub platform: Platform,
    /// Logging.
    pub log: Log,
    /// Limits on resources that callers may use.
    pub bounds: Bounds,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Longest time that a graceful shutdown waits for calls in flight.
    pub grace: time::Duration,
}

/// Services of the platform, and timing of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the append-only log.
    pub log: String,
    /// Base URL of the list of live hosts.
    pub hosts: String,
    /// Longest delay until a change shows in the host list.
    pub lag: time::Duration,
    /// Interval at which the host list is read.
    pub refresh: time::Duration,
}

/// Level and format of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`; decisions are logged at `info`.
    pub level: String,
    /// Format of the lines.
    pub format: Format,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Plain text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// Limits on resources that callers may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Concurrent connections; further ones are answered with 503 and closed.
    pub connections: usize,
    /// Requests that run or wait at the same time.
    pub requests: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time from connecting to a complete head, and between requests on a connection.
    pub idle: time::Duration,
}

/// Claims of idempotency keys, for requests that may run at most once. Must be equal on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claims {
    /// Number of shards, each with its own stream of claims.
    pub shards: id::Shard,
    /// Interval at which the claims of a shard are appended in one record.
    pub group: time::Duration,
    /// How long after its creation a key may be used.
    pub window: time::Duration,
    /// How long the log keeps records; at least twice `window`.
    pub retention: time::Duration,
}
