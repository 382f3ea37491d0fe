//! Which host performs a duty for all hosts.
//!
//! The hosts have to agree on it: if two of them grant the requests to an endpoint with a limit,
//! each grants the whole limit. It therefore follows from what all hosts come to share. What a host
//! has seen alone, such as work that was not accepted in time, affects only where that host
//! submits its work.

use std::cmp;
use std::net;

use crate::edge::members;
use crate::id;

/// Orders hosts for a duty: those with more processor time come first, and equal ones in an order
/// that differs between duties.
fn order(name: &str, candidate: &members::Candidate) -> (cmp::Reverse<u32>, u64) {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), candidate.hash);
    (cmp::Reverse(candidate.cpu), hash)
}

/// Orders hosts for access to the store: those that reach it come first.
fn store_order(candidate: &members::Candidate) -> (bool, (cmp::Reverse<u32>, u64)) {
    (candidate.without_store, order("", candidate))
}

impl members::Members {
    /// The other host that performs the duty `name` for all, or `None` if this one does.
    /// `is_leaving` tells whether this one is leaving. Hosts that agree on which hosts are alive
    /// return the same one.
    pub fn assigned_host(&self, name: &str, is_leaving: bool) -> Option<net::SocketAddr> {
        self.first_host(name, is_leaving, self.candidates())
    }

    /// Like [`Self::assigned_host`], but leaves out hosts that did not answer this one in time, and
    /// those that are `excluded`.
    pub fn work_host(
        &self,
        now: id::Time,
        name: &str,
        is_leaving: bool,
        excluded: &[net::SocketAddr],
    ) -> Option<net::SocketAddr> {
        let candidates = self.work_candidates(now).filter(|it| !excluded.contains(&it.host));
        self.first_host(name, is_leaving, candidates)
    }

    fn first_host<I>(&self, name: &str, is_leaving: bool, candidates: I) -> Option<net::SocketAddr>
    where
        I: Iterator<Item = members::Candidate>,
    {
        let first = candidates.min_by_key(|it| order(name, it))?;
        let is_other = is_leaving || order(name, &first) < order(name, &self.own_candidate());
        is_other.then_some(first.host)
    }

    /// Position of this host among those that are alive, in the order in which they read and write
    /// the store for all.
    pub fn store_position(&self) -> usize {
        let own = store_order(&self.own_candidate());
        self.candidates().filter(|other| store_order(other) < own).count()
    }

    /// Position of this host as in [`Self::store_position`], but regardless of which hosts reach the
    /// store. While hosts reconnect to the store one after the other, each of them changes the store
    /// positions of the others.
    pub fn stable_position(&self) -> usize {
        let own = order("", &self.own_candidate());
        self.candidates().filter(|other| order("", other) < own).count()
    }

    /// The host that holds the duties for all, and its fencing token: of those alive, the one with
    /// the highest token. `None` if none holds them.
    pub fn duty_holder(&self) -> Option<(net::SocketAddr, u64)> {
        let others = self.statements_alive().map(|it| (it.host, it.duty));
        let all = others.chain([(self.own.host, self.own.duty)]);
        all.filter(|&(_, token)| token > 0).max_by_key(|&(_, token)| token)
    }

    /// The first `count` hosts in the order of [`Self::store_position`], without this one.
    pub fn first_hosts(&self, count: usize) -> Vec<net::SocketAddr> {
        let own = self.own_candidate();
        let mut all: Vec<_> = self.candidates().chain([own]).collect();
        all.sort_unstable_by_key(store_order);
        let first = all.into_iter().take(count).map(|it| it.host);
        first.filter(|&it| it != own.host).collect()
    }
}
