//! The registration of an endpoint.

use std::net;
use std::time;

use crate::edge::notice;
use crate::id;

/// What one process of an endpoint registers about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the endpoint, which may stay the same after a restart.
    pub id: id::EndpointId,
    /// Service that the endpoint belongs to.
    pub service: id::ServiceId,
    /// Address on which it listens.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: id::ZoneId,
    /// Software version.
    pub version: id::VersionId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving service.
    pub leaving: bool,
    /// Remaining time for which it is cold; zero if it is warm.
    pub cold: time::Duration,
    /// Start of its process by its own clock, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_at: u64,
}

impl Endpoint {
    /// Identifies this instance (process) of the endpoint.
    pub fn instance(&self) -> notice::Instance<'_> {
        (&self.id, self.started_at)
    }

    /// Hash of the registration, the same for those that are equal as told by
    /// [`Self::is_equivalent`].
    pub fn digest(&self) -> u64 {
        let Endpoint { id, service, address, zone, version, slots, leaving, cold, started_at } =
            self;
        let parts =
            [id, service, &address.to_string(), zone, version].map(String::as_str).join(" ");
        let numbers = format!("{slots} {leaving} {} {started_at}", cold.is_zero());
        let seed = xxhash_rust::xxh3::xxh3_64(numbers.as_bytes());
        xxhash_rust::xxh3::xxh3_64_with_seed(parts.as_bytes(), seed)
    }

    /// Whether both registrations are equal apart from the remaining cold time. A change between
    /// cold and warm counts as a difference; a change of the remaining time alone does not.
    pub fn is_equivalent(&self, other: &Endpoint) -> bool {
        let is_warm = |it: &Endpoint| it.cold.is_zero();
        is_warm(self) == is_warm(other) && *self == Endpoint { cold: self.cold, ..other.clone() }
    }
}
