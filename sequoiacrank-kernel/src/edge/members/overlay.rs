//! The overlay network: which hosts send each other heartbeats. All hosts compute the same rings,
//! each of which orders all hosts in its own way.
//!
//! A host monitors only its neighbours on a few rings, so that its message rate does not grow with
//! the number of hosts. Several rings make it unlikely that the loss of some hosts separates a
//! small group from the rest.

use std::net;

use crate::edge::members::statement;
use crate::map;

/// Number of rings. A host has two neighbours on each.
pub const RINGS: usize = 3;
/// Number of hosts to which each host forwards a broadcast from a reader of the store.
const FANOUT: usize = 6;

/// Position of a host on each ring, the same on all hosts.
pub type Positions = [u64; RINGS];

/// Computes the positions of a host.
pub fn positions(host: net::SocketAddr) -> Positions {
    let text = host.to_string();
    std::array::from_fn(|ring| {
        xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), ring as u64 + 1)
    })
}

/// The hosts next to the positions `own` on all rings; `others` lists all other hosts.
pub fn neighbours(
    own: &Positions,
    others: &[(net::SocketAddr, Positions)],
) -> Vec<net::SocketAddr> {
    let mut chosen = Vec::with_capacity(2 * RINGS);
    for (ring, own) in own.iter().enumerate() {
        let before = others.iter().min_by_key(|(_, positions)| own.wrapping_sub(positions[ring]));
        let behind = others.iter().min_by_key(|(_, positions)| positions[ring].wrapping_sub(*own));
        for (host, _) in before.into_iter().chain(behind) {
            if !chosen.contains(host) {
                chosen.push(*host);
            }
        }
    }
    chosen
}

/// The hosts that `own` reaches over neighbours that hear each other, without itself.
pub fn reached<'a, I>(own: &'a statement::Statement, others: I) -> map::FastSet<net::SocketAddr>
where
    I: Iterator<Item = &'a statement::Statement>,
{
    let by_id: map::FastMap<_, _> =
        others.map(|other| (statement::short_id(other.process), other)).collect();
    let mut seen = map::FastSet::default();
    let mut pending = vec![own];
    while let Some(host) = pending.pop() {
        let own_id = statement::short_id(host.process);
        for next in host.hears.iter().filter_map(|other| by_id.get(other)) {
            let mutual = next.hears.contains(&own_id);
            if mutual && next.host != own.host && seen.insert(next.host) {
                pending.push(next);
            }
        }
    }
    seen
}

/// Hosts to which `own` forwards a broadcast from `root`, in a tree over `hosts`, which lists
/// the reachable hosts and `own`.
pub fn children(
    root: net::SocketAddr,
    own: net::SocketAddr,
    hosts: &[(net::SocketAddr, Positions)],
) -> Vec<net::SocketAddr> {
    let seed = positions(root)[0];
    let mut order: Vec<_> = hosts
        .iter()
        .map(|(host, positions)| {
            (*host != root, (positions[0] ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15), *host)
        })
        .collect();
    order.sort_unstable();
    let Some(index) = order.iter().position(|(.., host)| *host == own) else { return Vec::new() };
    let children = order.iter().skip(FANOUT * index + 1).take(FANOUT);
    children.map(|(.., host)| *host).collect()
}
