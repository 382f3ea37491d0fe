//! Detects, by fingerprint and over all hosts, requests that crash the endpoints which run them.
//!
//! Each host counts the crashes during its own calls and sends its counts to its peers. A
//! fingerprint with two crashes over all hosts is refused by all of them for a while, however often
//! it is sent again.

use std::time;

use crate::id;
use crate::map;
use crate::message;

/// Number of crashes over all hosts at which a fingerprint is refused.
const CRASH_THRESHOLD: u32 = 2;
/// How long after the last crash a fingerprint is refused.
pub const REFUSE_TIME: time::Duration = time::Duration::from_secs(600);
/// Crashes of one endpoint within this time count as one, observed by several calls.
const SAME_CRASH_TIME: time::Duration = time::Duration::from_secs(2);
/// Maximum number of fingerprints in memory.
pub const MAX_FINGERPRINTS: usize = 4096;
/// Number of fingerprints evicted at a time when the memory is full.
const EVICT_COUNT: usize = MAX_FINGERPRINTS / 8;

/// Crashes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: map::FastMap<id::Fingerprint, Entry>,
    /// Time of the last update.
    last_update: id::Time,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    own: Count,
    /// Endpoint of the last crash that this host counted.
    endpoint: id::EndpointId,
    peers: map::FastMap<id::HostId, Count>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    /// Crashes since the start of the host, as it last reported them.
    reported: u32,
    /// Crashes that have not expired.
    recent: u32,
    /// When the count last grew.
    last_growth: id::Time,
}

impl Count {
    /// Crashes that have not expired.
    fn sum(&self, now: id::Time) -> u32 {
        match now.saturating_sub(self.last_growth) < REFUSE_TIME {
            true => self.recent,
            false => 0,
        }
    }

    /// Applies a cumulative count. A lower one than before means that its host has restarted.
    fn update(&mut self, now: id::Time, reported: u32) {
        let added = if reported < self.reported { reported } else { reported - self.reported };
        self.reported = reported;
        if added > 0 {
            self.recent = self.sum(now).saturating_add(added);
            self.last_growth = now;
        }
    }
}

impl Entry {
    fn sum(&self, now: id::Time) -> u32 {
        self.peers.values().map(|count| count.sum(now)).fold(self.own.sum(now), u32::saturating_add)
    }

    fn last_growth(&self) -> id::Time {
        self.peers
            .values()
            .map(|count| count.last_growth)
            .fold(self.own.last_growth, time::Duration::max)
    }
}

impl Suspects {
    /// Counts a crash of `endpoint` while it ran a call of a request with `fingerprint`.
    pub fn record_crash(&mut self, now: id::Time, fingerprint: id::Fingerprint, endpoint: &str) {
        let entry = self.entry(now, fingerprint);
        if entry.own.reported > 0
            && entry.endpoint == endpoint
            && now < entry.own.last_growth + SAME_CRASH_TIME
        {
            return;
        }
        entry.own.update(now, entry.own.reported.saturating_add(1));
        entry.endpoint = endpoint.into();
    }

    /// Whether requests with `fingerprint` are refused now.
    pub fn is_refused(&self, now: id::Time, fingerprint: id::Fingerprint) -> bool {
        self.crashes(now, fingerprint) >= CRASH_THRESHOLD
    }

    /// Crashes over all hosts of requests with `fingerprint` that have not expired.
    pub fn crashes(&self, now: id::Time, fingerprint: id::Fingerprint) -> u32 {
        self.entries.get(&fingerprint).map_or(0, |entry| entry.sum(now))
    }

    /// Expires all crashes of `fingerprint` up to now.
    pub fn clear(&mut self, fingerprint: id::Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.own.recent = 0;
            entry.peers.values_mut().for_each(|count| count.recent = 0);
        }
    }

    /// Applies a peer's counts, which are cumulative since its start.
    pub fn learn(&mut self, now: id::Time, from: &str, suspects: &[message::Suspect]) {
        for suspect in suspects {
            let entry = self.entry(now, suspect.fingerprint);
            entry.peers.entry(from.into()).or_default().update(now, suspect.crashes);
        }
    }

    /// This host's counts for its peers.
    pub fn digest(&self) -> Vec<message::Suspect> {
        let reported = |entry: &Entry| {
            entry.own.reported > 0 && self.last_update < entry.own.last_growth + REFUSE_TIME
        };
        self.entries
            .iter()
            .filter(|(_, entry)| reported(entry))
            .map(|(&fingerprint, entry)| message::Suspect {
                fingerprint,
                crashes: entry.own.reported,
            })
            .collect()
    }

    /// Number of fingerprints in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no fingerprint in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&mut self, now: id::Time, fingerprint: id::Fingerprint) -> &mut Entry {
        self.last_update = now;
        if self.entries.len() >= MAX_FINGERPRINTS && !self.entries.contains_key(&fingerprint) {
            self.evict(now);
        }
        self.entries.entry(fingerprint).or_default()
    }

    /// Drops expired entries. If the memory is still full, also drops the oldest ones, first those
    /// that are not refused.
    fn evict(&mut self, now: id::Time) {
        self.entries.retain(|_, entry| now.saturating_sub(entry.last_growth()) < REFUSE_TIME);
        if self.entries.len() < MAX_FINGERPRINTS {
            return;
        }
        let mut ages: Vec<_> = self
            .entries
            .iter()
            .map(|(&key, entry)| (entry.sum(now) >= CRASH_THRESHOLD, entry.last_growth(), key))
            .collect();
        ages.sort_unstable();
        for (_, _, key) in ages.into_iter().take(EVICT_COUNT) {
            self.entries.remove(&key);
        }
    }
}
