//! The lease of the host that performs duties for all.

use std::net;
use std::time;

use crate::edge::duty;
use crate::id;

/// The host and process that a lease belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the host.
    pub host: String,
    /// Address at which it listens for other hosts.
    pub address: net::SocketAddr,
    /// Its process.
    pub process: id::Incarnation,
}

/// What one host knows of the lease. All times are those of a steady clock that counts the time of
/// a suspension.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Owner,
    period: time::Duration,
}

impl Lease {
    /// Creates the state of a host that has not read the record; `period` is the time for which a
    /// lease lasts without renewal.
    pub fn new(own: Owner, period: time::Duration) -> Self {
        Lease { own, period }
    }

    /// The fencing token with which this host may act now; `None` if it may not.
    pub fn token(&self, _now: id::Time) -> Option<duty::Token> {
        None
    }

    /// The state of the duties as last acknowledged by the store; `None` if this host does not hold
    /// the lease.
    pub fn content(&self) -> Option<&duty::Content> {
        None
    }

    /// Changes the state of the duties, which the next write then commits. Does nothing if this host
    /// does not hold the lease.
    pub fn update<F>(&mut self, _change: F)
    where
        F: FnOnce(&mut duty::Content),
    {
        let _ = (&self.own, self.period);
    }
}
