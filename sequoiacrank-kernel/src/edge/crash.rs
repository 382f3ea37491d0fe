//! Detects requests that crash the endpoints which run them.
//!
//! Such a request may be repeated at any host and take down one endpoint each time. A broken
//! connection alone does not count as a crash, since answers get lost for other reasons as well. It
//! counts once the endpoint is found to be down. A request that is served once is no longer
//! suspect. Hosts report to each other which endpoints crashed, by instance: when one endpoint
//! crashes for another reason, a popular request may be running on it for many hosts, and this
//! counts as one crash.
//!
//! Requests that are not alike may crash endpoints by a part of their prompts; see [`parts`].

pub mod parts;

use std::sync;
use std::time;

use crate::id;
use crate::map;
use crate::suspect;

/// Number of crashed endpoint instances, over all hosts, from which on a request is refused, or all
/// requests with a part in their prompts.
pub const CRASH_THRESHOLD: usize = 3;
/// Time after a broken connection within which the endpoint is found to be down. Its registration
/// expires after three missed heartbeats.
const DETECTION_TIME: time::Duration = time::Duration::from_secs(5);

/// Identifies one instance of an endpoint, the same on all hosts. An endpoint that restarts is a
/// new instance.
pub type InstanceId = u64;

/// Computes the id of the instance that started at `started_at`, in milliseconds of the endpoint's
/// clock.
pub fn instance_id(endpoint: &str, started_at: u64) -> InstanceId {
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_bytes(), started_at)
}

/// What identifies a request in case that it crashes endpoints.
#[derive(Clone, Debug)]
pub struct Request {
    /// Hash of the request.
    pub fingerprint: id::Fingerprint,
    /// Parts of its prompt, in order and without the last one, which belongs to the request or its
    /// session.
    pub parts: sync::Arc<[parts::PartId]>,
}

impl Request {
    /// A request with the parts of its prompt, including the last one.
    pub fn new(fingerprint: id::Fingerprint, prompt: &[parts::PartId]) -> Self {
        let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        Request { fingerprint, parts: shared.into() }
    }
}

impl From<id::Fingerprint> for Request {
    fn from(fingerprint: id::Fingerprint) -> Self {
        Request::new(fingerprint, &[])
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request itself.
    Request(id::Fingerprint),
    /// A part of its prompt.
    Part(parts::PartId),
}

/// A request and the endpoint instances that crashed while they ran it for one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Hash of the request.
    pub request: id::Fingerprint,
    /// Instances that crashed.
    pub instances: Vec<InstanceId>,
}

/// The crash of an endpoint instance.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: id::Time,
    /// Whether this host observed it.
    own: bool,
    /// Whether the request was served since.
    cleared: bool,
}

impl Crash {
    fn counts(&self, now: id::Time) -> bool {
        !self.cleared && now < self.at + suspect::REFUSE_TIME
    }
}

/// Crashes by request.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// Requests whose connections broke, by endpoint.
    broken: map::FastMap<id::EndpointId, Vec<(id::Time, InstanceId, Request)>>,
    /// Crashes by part of a prompt.
    pub parts: parts::Parts,
    crashes: map::FastMap<id::Fingerprint, map::FastMap<InstanceId, Crash>>,
}

impl Crashes {
    /// Records that a connection broke while the instance of an endpoint that started at
    /// `started_at` ran a request.
    pub fn record_broken<R>(&mut self, now: id::Time, endpoint: &str, started_at: u64, request: R)
    where
        R: Into<Request>,
    {
        self.broken.retain(|_, list| {
            list.retain(|(at, ..)| now < *at + DETECTION_TIME);
            !list.is_empty()
        });
        let run = (now, instance_id(endpoint, started_at), request.into());
        self.broken.entry(endpoint.to_owned()).or_default().push(run);
    }

    /// Records that an endpoint is down or has restarted. Returns the number of requests that it
    /// was running when it crashed.
    pub fn record_down(&mut self, now: id::Time, endpoint: &str) -> usize {
        let broken = self.broken.remove(endpoint).unwrap_or_default();
        let recent: Vec<_> =
            broken.into_iter().filter(|(at, ..)| now < *at + DETECTION_TIME).collect();
        for (_, instance, request) in &recent {
            self.crashes_of(now, request.fingerprint).entry(*instance).or_insert(Crash {
                at: now,
                own: true,
                cleared: false,
            });
            self.parts.record_crash(now, *instance, &request.parts);
        }
        recent.len()
    }

    /// Records that a request was served.
    pub fn record_served<R>(&mut self, now: id::Time, request: R)
    where
        R: Into<Request>,
    {
        let request = request.into();
        if let Some(crashes) = self.crashes.get_mut(&request.fingerprint) {
            crashes.values_mut().for_each(|crash| crash.cleared = true);
        }
        self.parts.record_served(now, &request.parts);
    }

    /// Why a request is refused, and the number of instances that crashed, over all hosts. `None`
    /// if there are too few.
    pub fn refusal<R>(&self, now: id::Time, request: R) -> Option<(Cause, usize)>
    where
        R: Into<Request>,
    {
        let Request { fingerprint, parts } = request.into();
        let part = self.parts.refusal(&parts);
        let crashes = self.crashes.get(&fingerprint);
        let crashes =
            crashes.map_or(0, |all| all.values().filter(|crash| crash.counts(now)).count());
        match part {
            Some((part, crashes)) => Some((Cause::Part(part), crashes)),
            None => (crashes >= CRASH_THRESHOLD).then_some((Cause::Request(fingerprint), crashes)),
        }
    }

    /// What this host reports to others.
    pub fn report(&self, now: id::Time) -> Vec<Report> {
        let reports = self.crashes.iter().map(|(&request, crashes)| {
            let own = crashes.iter().filter(|(_, crash)| crash.own && crash.counts(now));
            Report {
                request,
                instances: own.map(|(&instance, _)| instance).take(CRASH_THRESHOLD).collect(),
            }
        });
        reports.filter(|report| !report.instances.is_empty()).collect()
    }

    /// Merges the reports of another host.
    pub fn merge(&mut self, now: id::Time, reports: &[Report]) {
        for Report { request, instances } in reports {
            let known = self.crashes_of(now, *request);
            for &instance in instances {
                known.entry(instance).or_insert(Crash { at: now, own: false, cleared: false });
            }
        }
    }

    fn crashes_of(
        &mut self,
        now: id::Time,
        request: id::Fingerprint,
    ) -> &mut map::FastMap<InstanceId, Crash> {
        if self.crashes.len() >= suspect::MAX_FINGERPRINTS && !self.crashes.contains_key(&request) {
            self.evict(now);
        }
        self.crashes.entry(request).or_default()
    }

    /// Removes expired requests or, if there are none, the request whose last crash is the oldest.
    fn evict(&mut self, now: id::Time) {
        self.crashes.retain(|_, crashes| {
            crashes.values().any(|crash| now < crash.at + suspect::REFUSE_TIME)
        });
        if self.crashes.len() < suspect::MAX_FINGERPRINTS {
            return;
        }
        let last = |all: &map::FastMap<InstanceId, Crash>| all.values().map(|crash| crash.at).max();
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(_, crashes)| last(crashes))
            .map(|(&request, _)| request);
        if let Some(request) = oldest {
            self.crashes.remove(&request);
        }
    }
}
