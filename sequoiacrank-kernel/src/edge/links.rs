//! The way of a connection to an endpoint: direct, or over another host that forwards its bytes.
//!
//! A host that reaches no endpoint can't tell by itself whether they are down or its own links are.
//! Other hosts can: what is reached over them is up.

use std::net;
use std::time;

use crate::id;
use crate::map;

/// Time between the starts of two attempts of a connection: many round trips between availability
/// zones, and short compared to the target latency of a plain request.
const ATTEMPT_INTERVAL: time::Duration = time::Duration::from_millis(80);
/// Number of relays that are tried for a connection.
const MAX_RELAYS: usize = 3;
/// Time for which relays come first for an endpoint that is not reached directly, unless that is
/// found again.
const MEMORY: time::Duration = time::Duration::from_secs(10);
/// Number of endpoints that are reached over relays alone from which on the host may be cut off.
const MIN_ENDPOINTS: usize = 2;
/// Time between two attempts to reach an endpoint directly while relays are used.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// The same behind one that succeeded, as the links may be back.
const SHORT_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time for which a host that failed as a relay to an endpoint is passed over for it.
const RELAY_PAUSE: time::Duration = time::Duration::from_secs(4);
/// Time for which an endpoint that was not reached directly is not tried for other hosts.
const MISS_TIME: time::Duration = time::Duration::from_secs(1);
/// Time for which a connection to some endpoint proves that the links of the host work.
const PROOF_TIME: time::Duration = time::Duration::from_secs(1);

/// Address of an endpoint.
pub type Address = net::SocketAddr;

/// Which way a connection takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// From this host to the endpoint.
    Direct,
    /// Over the host with this address.
    Relay(net::SocketAddr),
}

/// Another host, which may relay connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Relay {
    /// Address of the host.
    pub host: net::SocketAddr,
    /// Whether it says that it is cut off from endpoints itself.
    pub without_links: bool,
}

/// One attempt to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Way that it takes.
    pub way: Way,
    /// Time after the start of the first attempt at which it starts, if none has stood by then. It
    /// starts sooner if an earlier one fails.
    pub delay: time::Duration,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The endpoint refuses connections.
    Refused,
    /// The endpoint was not reached in time.
    Unreached,
    /// The relay forwards nothing to the endpoint now, or was not reached itself.
    NoRelay,
}

/// An endpoint that is reached over relays and not directly.
#[derive(Clone, Copy, Debug)]
struct Detour {
    /// When that was last seen.
    seen_at: id::Time,
    /// When a direct connection was last tried.
    tried_at: id::Time,
    /// Host that relayed the last connection.
    relay: net::SocketAddr,
}

/// What this host knows of its links to endpoints.
#[derive(Clone, Debug, Default)]
pub struct Links {
    detours: map::FastMap<Address, Detour>,
    /// The last two endpoints that were reached directly, the last one first.
    reached: Vec<Address>,
    /// When an endpoint was last reached directly.
    reached_at: Option<id::Time>,
    /// When endpoints were last not reached directly.
    missed: map::FastMap<Address, id::Time>,
    /// Time of the next attempt to reach an endpoint directly.
    probe_at: id::Time,
    /// Hosts that failed as relays to an endpoint, and until when they are passed over.
    paused: map::FastMap<(net::SocketAddr, Address), id::Time>,
}

impl Links {
    /// Whether this host reaches no endpoint while others do.
    pub fn is_cut_off(&self, now: id::Time) -> bool {
        self.detours.len() >= MIN_ENDPOINTS && !self.is_proven(now)
    }

    /// Whether this host reaches an endpoint over others alone.
    pub fn has_detour(&self, endpoint: Address) -> bool {
        self.detours.contains_key(&endpoint)
    }

    /// Whether this host may reach an endpoint for another one.
    pub fn may_relay(&self, now: id::Time, endpoint: Address) -> bool {
        let is_missed = self.missed.get(&endpoint).is_some_and(|&at| now < at + MISS_TIME);
        !self.is_cut_off(now) && !self.has_detour(endpoint) && !is_missed
    }

    /// Another endpoint that was reached directly. If it still is, the links of this host work, and
    /// an endpoint that refuses connections is down.
    pub fn reference(&self, endpoint: Address) -> Option<Address> {
        self.reached.iter().copied().find(|it| *it != endpoint)
    }

    /// Whether an endpoint was reached directly a short time ago.
    pub fn is_proven(&self, now: id::Time) -> bool {
        self.reached_at.is_some_and(|at| now < at + PROOF_TIME)
    }

    /// The attempts for a connection to an endpoint; `hosts` are those that may relay it.
    pub fn attempts(&self, now: id::Time, endpoint: Address, hosts: &[Relay]) -> Vec<Attempt> {
        let mut relays = hosts.to_vec();
        // Each endpoint has an order of its own, so that no host relays everything.
        let order = |&Relay { host, without_links }: &Relay| {
            let until = self.paused.get(&(host, endpoint));
            let is_paused = until.is_some_and(|&until| now < until);
            let name = format!("{host} {endpoint}");
            let is_last = self.detours.get(&endpoint).is_some_and(|it| it.relay == host);
            (without_links, is_paused, !is_last, xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
        };
        relays.sort_by_cached_key(order);
        let relays = relays.into_iter().take(MAX_RELAYS).map(|it| Way::Relay(it.host));
        let ways: Vec<Way> = match self.is_cut_off(now) || self.has_detour(endpoint) {
            true => relays.chain([Way::Direct]).collect(),
            false => [Way::Direct].into_iter().chain(relays).collect(),
        };
        let attempt = |(index, way)| Attempt { way, delay: ATTEMPT_INTERVAL * index as u32 };
        ways.into_iter().enumerate().map(attempt).collect()
    }

    /// Records that an endpoint was reached. `tried_direct` tells whether a direct attempt had
    /// started.
    pub fn record_reached(
        &mut self,
        now: id::Time,
        endpoint: Address,
        way: Way,
        tried_direct: bool,
    ) {
        match way {
            Way::Direct => self.record_direct(now, endpoint),
            Way::Relay(relay) if tried_direct || self.has_detour(endpoint) => {
                let detour = Detour { seen_at: now, tried_at: now, relay };
                let known = self.detours.entry(endpoint).or_insert(detour);
                known.relay = relay;
            }
            Way::Relay(_) => {}
        }
    }

    fn record_direct(&mut self, now: id::Time, endpoint: Address) {
        self.reached_at = Some(now);
        if self.reached.first() != Some(&endpoint) {
            self.reached.insert(0, endpoint);
            self.reached.truncate(2);
        }
        self.detours.remove(&endpoint);
        self.missed.remove(&endpoint);
        self.missed.retain(|_, at| now < *at + MISS_TIME);
        self.paused.retain(|_, until| now < *until);
    }

    /// Records why an attempt to reach an endpoint failed.
    pub fn record_failed(&mut self, now: id::Time, endpoint: Address, way: Way, failure: Failure) {
        match (way, failure) {
            (Way::Relay(_), Failure::Refused) | (Way::Direct, Failure::Refused) => {}
            (Way::Direct, _) => drop(self.missed.insert(endpoint, now)),
            (Way::Relay(host), Failure::Unreached | Failure::NoRelay) => {
                self.paused.insert((host, endpoint), now + RELAY_PAUSE);
            }
        }
    }

    /// Why an endpoint was not reached, by the failures of all attempts. That it refuses connections
    /// is believed if a relay says so, or this host's links work.
    pub fn verdict(&self, now: id::Time, failures: &[(Way, Failure)]) -> Failure {
        let has_relays = failures.iter().any(|(way, _)| *way != Way::Direct);
        let is_believed = |way: Way| match way {
            Way::Relay(_) => true,
            Way::Direct if has_relays => self.is_proven(now),
            Way::Direct => self.detours.is_empty(),
        };
        let refused =
            |&(way, failure): &(Way, Failure)| failure == Failure::Refused && is_believed(way);
        match failures.iter().any(refused) {
            true => Failure::Refused,
            false => Failure::Unreached,
        }
    }

    /// An endpoint to which a direct connection is due, to find out whether this host's links work
    /// again.
    pub fn probe(&mut self, now: id::Time) -> Option<Address> {
        self.detours.retain(|_, detour| now < detour.seen_at + MEMORY);
        if now < self.probe_at {
            return None;
        }
        let next = self.detours.iter_mut().min_by_key(|(address, it)| (it.tried_at, **address));
        let (endpoint, detour) = next?;
        detour.tried_at = now;
        self.probe_at = now + PROBE_INTERVAL;
        Some(*endpoint)
    }

    /// Whether [`Self::probe`] has to be called.
    pub fn needs_probe(&self) -> bool {
        !self.detours.is_empty()
    }

    /// Records the result of a direct connection that found out whether links work.
    pub fn record_probe(&mut self, now: id::Time, endpoint: Address, reached: bool) {
        if reached {
            self.record_direct(now, endpoint);
            self.probe_at = now + SHORT_PROBE_INTERVAL;
        } else if let Some(detour) = self.detours.get_mut(&endpoint) {
            detour.seen_at = now;
        }
    }
}
