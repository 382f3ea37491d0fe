//! Shares of the hosts in bounds that apply to all of them together.

use std::collections;
use std::net;
use std::time;

use crate::id;

/// Time for which a host that is not heard keeps its share of a bound. Regions may lose each other
/// for minutes, and hosts that are cut off continue to use their shares.
const SHARE_LIFETIME: time::Duration = time::Duration::from_secs(15 * 60);
/// Time for which the number of hosts that another host knows is taken into account.
const REPORT_VALIDITY: time::Duration = time::Duration::from_secs(20);
/// Fraction of its share that a process has earned just before it is as old as the span of the
/// bound. An earlier process may have used a full share in the same span; the budget leaves three
/// tenths of its bound unused for that.
const EARNED_BY_SPAN: f64 = 0.4;

/// The share of a host in a bound over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Number of hosts among which the bound is divided.
    pub hosts: usize,
    /// Fraction of its share that the host may use, from 0 to 1.
    pub earned: f64,
}

impl Share {
    /// The amount of `bound` that this host may use.
    pub fn of(&self, bound: f64) -> f64 {
        self.earned * bound / self.hosts.max(1) as f64
    }
}

/// Number of hosts that some host knows, and the age of that knowledge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCount {
    /// Number of hosts.
    pub hosts: u32,
    /// Time since that host knew them.
    pub age: time::Duration,
}

/// The hosts that have shares.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Other hosts that this one knows itself, with the time at which each was last known to be
    /// alive.
    alive: collections::BTreeMap<net::SocketAddr, id::Time>,
    /// Numbers of hosts that others know, with the time as of which they knew them.
    reports: Vec<(u32, id::Time)>,
}

impl Shares {
    /// Records that a host is alive, or may be.
    pub fn record_alive(&mut self, now: id::Time, host: net::SocketAddr) {
        self.alive.insert(host, now);
    }

    /// Removes the share of a host that has ended.
    pub fn remove(&mut self, host: net::SocketAddr) {
        self.alive.remove(&host);
    }

    /// Whether this host knows no other one.
    pub fn is_empty(&self) -> bool {
        self.alive.is_empty()
    }

    /// Number of hosts that this one knows itself, this one included.
    pub fn known_hosts(&self) -> usize {
        1 + self.alive.len()
    }

    /// Records the number of hosts that another host knows.
    pub fn record_known(&mut self, now: id::Time, known: HostCount) {
        let at = now.saturating_sub(known.age);
        match self.reports.iter_mut().find(|(hosts, _)| *hosts == known.hosts) {
            Some((_, last)) => *last = at.max(*last),
            None => self.reports.push((known.hosts, at)),
        }
    }

    /// The largest number of hosts that this host or another one knows.
    pub fn largest(&self, now: id::Time) -> HostCount {
        let own = HostCount { hosts: self.known_hosts() as u32, age: time::Duration::ZERO };
        let reports = self.reports.iter().filter(|(_, at)| now < *at + REPORT_VALIDITY);
        let reports = reports.map(|&(hosts, at)| HostCount { hosts, age: now.saturating_sub(at) });
        reports
            .filter(|known| known.hosts > own.hosts)
            .max_by_key(|known| known.hosts)
            .unwrap_or(own)
    }

    /// Removes outdated entries.
    pub fn expire(&mut self, now: id::Time) {
        self.alive.retain(|_, at| now < *at + SHARE_LIFETIME);
        self.reports.retain(|(_, at)| now < *at + REPORT_VALIDITY);
    }

    /// The share of this host in a bound that applies to any interval of length `span`; `now` is
    /// the time since the start of this process. Earlier processes of the host may have used their
    /// shares within the same interval. A process therefore earns its share in proportion to its
    /// age: the processes that run within one interval are together no older than it. `hears` tells
    /// whether this process has reached any other host. If it knows others but has reached none, it
    /// can't tell how many there are, and has no share.
    pub fn share(&self, now: id::Time, span: time::Duration, hears: bool) -> Share {
        let earned = match now >= span {
            _ if !hears && !self.is_empty() => 0.0,
            true => 1.0,
            false => EARNED_BY_SPAN * now.as_secs_f64() / span.as_secs_f64(),
        };
        Share { hosts: self.largest(now).hosts as usize, earned }
    }
}
