//! Division of an endpoint's limit among hosts without communication between them.
//!
//! The serving set of an endpoint consists of the hosts of its region that rank highest by
//! rendezvous hashing, as many as its cold limit, so that each has a slot from the start. A host's
//! part depends only on the host list. After a change of the list a host uses the smallest of all
//! its parts since the list was last settled, until the new list has been unchanged for a hold time
//! that covers the list's lag and the longest call. At any instant, all hosts then use at most
//! their parts of one and the same list.

use std::time;

use xxhash_rust::xxh3;

use crate::id;

/// A host's part in an endpoint: its rank among the `size` hosts of the serving set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Rank from 0; the part is empty if it is not below `size`.
    pub rank: u32,
    /// Number of hosts in the serving set.
    pub size: u32,
}

impl Part {
    /// The empty part.
    pub const NONE: Part = Part { rank: 0, size: 0 };

    /// Number of slots of this part if the endpoint's limit is `limit`.
    ///
    /// The parts of ranks `0..size` add up to `limit`. A higher rank or a larger set never gives
    /// more slots.
    pub fn slots(self, limit: u32) -> u32 {
        match self {
            Part { rank, size } if rank < size => limit.saturating_sub(rank).div_ceil(size),
            _ => 0,
        }
    }
}

/// Rendezvous weight of a host for an endpoint, given the endpoint's hash.
fn weight(host: &str, endpoint: u64) -> u64 {
    xxh3::xxh3_64_with_seed(host.as_bytes(), endpoint)
}

/// Hosts of the serving set of `endpoint`, by rank.
pub fn serving<'a, I>(hosts: I, endpoint: &str, cold: u32) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let seed = xxh3::xxh3_64(endpoint.as_bytes());
    let mut ranked: Vec<(u64, &str)> = hosts.map(|host| (weight(host, seed), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(cold.max(1) as usize);
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// The part of host `own` in `endpoint`; empty if `own` is not among `hosts`.
pub fn part<'a, I>(hosts: I, own: &str, endpoint: &str, cold: u32) -> Part
where
    I: Iterator<Item = &'a str>,
{
    let seed = xxh3::xxh3_64(endpoint.as_bytes());
    let own_weight = (weight(own, seed), own);
    let (mut rank, mut count, mut listed) = (0, 0, false);
    for host in hosts {
        count += 1;
        listed |= host == own;
        rank += u32::from((weight(host, seed), host) > own_weight);
    }
    match listed {
        true => Part { rank, size: count.min(cold.max(1)) },
        false => Part::NONE,
    }
}

/// This host's share of an endpoint across changes of the host list.
#[derive(Clone, Debug)]
pub struct Share {
    part: Part,
    /// Parts since the list was last settled; each bounds the slots until the list is settled
    /// again.
    bounds: Vec<Part>,
    /// When the list last changed.
    changed: id::Time,
}

impl Share {
    /// Creates the share for `part` of a list that last changed at `changed`. It has no slots until
    /// the list has settled, because earlier lists are unknown.
    pub fn new(changed: id::Time, part: Part) -> Share {
        Share { part, bounds: vec![Part::NONE], changed }
    }

    /// Sets the part that follows from a list which last changed at `changed`.
    pub fn update(&mut self, changed: id::Time, part: Part) {
        if part != self.part && !self.bounds.contains(&self.part) {
            self.bounds.push(self.part);
        }
        if part != self.part || changed > self.changed {
            self.changed = changed.max(self.changed);
        }
        self.part = part;
    }

    /// Drops the bounds of earlier lists if the list has been unchanged for `hold_time`.
    pub fn settle(&mut self, now: id::Time, hold_time: time::Duration) {
        if now >= self.changed + hold_time {
            self.bounds.clear();
        }
    }

    /// Drops the bounds of earlier lists if the endpoint had no calls at `seen`, at least
    /// `quiet_time` after the last change: by then every host has the new list and no call can
    /// start any more on a loan made under an older one.
    pub fn observe_idle(&mut self, seen: id::Time, quiet_time: time::Duration) {
        if seen >= self.changed + quiet_time {
            self.bounds.clear();
        }
    }

    /// Whether bounds of earlier lists still apply.
    pub fn settling(&self) -> bool {
        !self.bounds.is_empty()
    }

    /// Number of this host's slots if the endpoint's limit is `limit`.
    pub fn slots(&self, limit: u32) -> u32 {
        self.bounds.iter().map(|part| part.slots(limit)).fold(self.part.slots(limit), u32::min)
    }
}
