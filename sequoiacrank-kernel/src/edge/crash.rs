//! Requests that crash the endpoints which run them.
//!
//! Answers the load of a request that comes again and again, at any host, and takes one endpoint with it each
//! time. A broken connection alone is no crash: answers get lost as well. It counts once the endpoint turns
//! out to be down, and a request that is served once is no suspect any more. Hosts tell each other which
//! endpoints crashed: a popular request runs through many hosts when one endpoint crashes for another reason.

use std::time;

use crate::id;
use crate::map;
use crate::suspect;

/// Endpoints that crashed, over all hosts, from which on a request is refused.
const CRASHES: usize = 3;
/// Time after a broken connection within which the endpoint is found to be down: its registration lapses
/// after three missed signs of life.
const FOUND: time::Duration = time::Duration::from_secs(5);

/// Names one start of an endpoint, the same on all hosts.
pub type Start = u64;

/// Names the start of an endpoint at `born`, a time of its own clock in milliseconds.
pub fn start(endpoint: &str, born: u64) -> Start {
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_bytes(), born)
}

/// A request with the endpoints that crashed while they ran it for one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Hash of the request.
    pub request: id::Fingerprint,
    /// The endpoints.
    pub ends: Vec<Start>,
}

/// The crash of an endpoint.
#[derive(Clone, Copy, Debug)]
struct End {
    at: id::Time,
    /// Whether this host saw it.
    own: bool,
    /// Whether the request was served since.
    cleared: bool,
}

impl End {
    fn counts(&self, now: id::Time) -> bool {
        !self.cleared && now < self.at + suspect::REFUSE
    }
}

/// Crashes by request.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// Requests whose connections broke, by endpoint.
    broken: map::FastMap<id::EndpointId, Vec<(id::Time, Start, id::Fingerprint)>>,
    ends: map::FastMap<id::Fingerprint, map::FastMap<Start, End>>,
}

impl Crashes {
    /// Notes that a connection broke while an endpoint that started at `born` ran a request.
    pub fn broke(&mut self, now: id::Time, endpoint: &str, born: u64, request: id::Fingerprint) {
        self.broken.retain(|_, list| {
            list.retain(|(at, ..)| now < *at + FOUND);
            !list.is_empty()
        });
        let run = (now, start(endpoint, born), request);
        self.broken.entry(endpoint.to_owned()).or_default().push(run);
    }

    /// Notes that an endpoint is down, or has started again. Returns how many requests it ran at its end.
    pub fn down(&mut self, now: id::Time, endpoint: &str) -> usize {
        let broken = self.broken.remove(endpoint).unwrap_or_default();
        let recent: Vec<_> = broken.into_iter().filter(|(at, ..)| now < *at + FOUND).collect();
        for &(_, start, request) in &recent {
            self.entry(now, request).entry(start).or_insert(End {
                at: now,
                own: true,
                cleared: false,
            });
        }
        recent.len()
    }

    /// Notes that a request was served.
    pub fn served(&mut self, request: id::Fingerprint) {
        if let Some(ends) = self.ends.get_mut(&request) {
            ends.values_mut().for_each(|end| end.cleared = true);
        }
    }

    /// Endpoints that crashed with a request, over all hosts, if they are enough to refuse it.
    pub fn refused(&self, now: id::Time, request: id::Fingerprint) -> Option<usize> {
        let ends = self.ends.get(&request)?;
        let crashes = ends.values().filter(|end| end.counts(now)).count();
        Some(crashes).filter(|&crashes| crashes >= CRASHES)
    }

    /// What this host tells others.
    pub fn digest(&self, now: id::Time) -> Vec<Told> {
        let told = self.ends.iter().map(|(&request, ends)| {
            let own = ends.iter().filter(|(_, end)| end.own && end.counts(now));
            Told { request, ends: own.map(|(&start, _)| start).take(CRASHES).collect() }
        });
        told.filter(|told| !told.ends.is_empty()).collect()
    }

    /// Takes over what another host tells.
    pub fn learn(&mut self, now: id::Time, told: &[Told]) {
        for Told { request, ends } in told {
            let known = self.entry(now, *request);
            for &start in ends {
                known.entry(start).or_insert(End { at: now, own: false, cleared: false });
            }
        }
    }

    fn entry(&mut self, now: id::Time, request: id::Fingerprint) -> &mut map::FastMap<Start, End> {
        if self.ends.len() >= suspect::CAPACITY && !self.ends.contains_key(&request) {
            self.evict(now);
        }
        self.ends.entry(request).or_default()
    }

    /// Drops what has aged, or else the request whose last crash is the longest ago.
    fn evict(&mut self, now: id::Time) {
        self.ends.retain(|_, ends| ends.values().any(|end| now < end.at + suspect::REFUSE));
        if self.ends.len() < suspect::CAPACITY {
            return;
        }
        let last = |ends: &map::FastMap<Start, End>| ends.values().map(|end| end.at).max();
        let oldest =
            self.ends.iter().min_by_key(|(_, ends)| last(ends)).map(|(&request, _)| request);
        if let Some(request) = oldest {
            self.ends.remove(&request);
        }
    }
}
