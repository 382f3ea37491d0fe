//! Requests that crash the endpoints which run them.
//!
//! Answers the load of a request that comes again and again, at any host, and takes one endpoint with it each
//! time. A broken connection alone is no crash: answers get lost as well. It counts once the endpoint turns
//! out to be down, and a request that is served once is no suspect any more.

use std::time;

use crate::id;
use crate::map;
use crate::message;
use crate::suspect;

/// Crashes over all hosts from which on a request is refused.
const CRASHES: u32 = 3;
/// Time after a broken connection within which the endpoint is found to be down: its registration lapses
/// after three missed signs of life.
const FOUND: time::Duration = time::Duration::from_secs(5);

/// Crashes by request.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// Requests whose connections broke, by endpoint.
    broken: map::FastMap<id::EndpointId, Vec<(id::Time, id::Fingerprint)>>,
    suspects: suspect::Suspects,
}

impl Crashes {
    /// Notes that a connection broke while an endpoint ran a request.
    pub fn broke(&mut self, now: id::Time, endpoint: &str, request: id::Fingerprint) {
        self.broken.retain(|_, list| {
            list.retain(|(at, _)| now < *at + FOUND);
            !list.is_empty()
        });
        self.broken.entry(endpoint.to_owned()).or_default().push((now, request));
    }

    /// Notes that an endpoint is down, or has started again. Returns how many requests it ran at its end.
    pub fn down(&mut self, now: id::Time, endpoint: &str) -> usize {
        let broken = self.broken.remove(endpoint).unwrap_or_default();
        let recent = broken.iter().filter(|(at, _)| now < *at + FOUND);
        let requests: Vec<id::Fingerprint> = recent.map(|(_, request)| *request).collect();
        for request in &requests {
            self.suspects.crashed(now, *request, endpoint);
        }
        requests.len()
    }

    /// Notes that a request was served.
    pub fn served(&mut self, request: id::Fingerprint) {
        self.suspects.cleared(request);
    }

    /// Crashes of a request over all hosts, if they are enough to refuse it.
    pub fn refused(&self, now: id::Time, request: id::Fingerprint) -> Option<u32> {
        Some(self.suspects.crashes(now, request)).filter(|&crashes| crashes >= CRASHES)
    }

    /// What this host tells others.
    pub fn digest(&self) -> Vec<message::Suspect> {
        self.suspects.digest()
    }

    /// Takes over what another host tells.
    pub fn learn(&mut self, now: id::Time, from: &str, suspects: &[message::Suspect]) {
        self.suspects.learn(now, from, suspects);
    }
}
