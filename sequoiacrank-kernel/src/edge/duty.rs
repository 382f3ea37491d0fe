//! Duties that one host performs for all: usage reports and orders for the number of endpoints.
//!
//! The holder of the duties keeps its lease and everything that the next holder has to know in one
//! record of the platform's store, which is only replaced by appends with a condition.

pub mod lease;
pub mod scaling;
pub mod true_time;
pub mod usage;

use std::collections;
use std::net;

use crate::id;

/// Fencing token of a lease. A later lease has a higher one, and no two leases have the same.
pub type Token = u64;

/// Number of a usage window: the time of its start since the Unix epoch, divided by the length of a
/// window.
pub type WindowId = u64;

/// Requests of each workspace.
pub type Counts = collections::BTreeMap<id::WorkspaceId, u64>;

/// The lease of the holder and the state of its duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Name of the holder.
    pub host: String,
    /// Address of the holder at which it listens for other hosts.
    pub address: net::SocketAddr,
    /// Process of the holder.
    pub process: id::Incarnation,
    /// Fencing token of the lease.
    pub token: Token,
    /// Number of the write, which grows with each write of a process.
    pub number: u64,
    /// Whether the holder has given the lease up and makes no further calls with its token.
    pub released: bool,
    /// Names of the hosts that held the duties last, this holder first.
    pub recent: Vec<String>,
    /// What the next holder has to know.
    pub content: Content,
}

/// The state of the duties, which passes from one holder to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Content {
    /// Usage windows whose counts are final.
    pub usage: collections::BTreeMap<WindowId, Window>,
    /// Number of endpoints that was last ordered, by service and availability zone.
    pub desired: collections::BTreeMap<(id::ServiceId, id::ZoneId), u32>,
}

/// The final counts of a usage window. They are recorded before they are reported, so that no two
/// holders report different counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Window {
    /// Requests of each workspace.
    pub counts: Counts,
    /// Whether the platform has accepted the report.
    pub reported: bool,
}
