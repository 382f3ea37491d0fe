//! Detects parts of prompts that crash the endpoints which answer a request with them.
//!
//! Everything that runs on an endpoint when it crashes breaks, so the parts of sound requests look
//! as suspicious as the one that caused the crash. A part that was in a request which was served
//! is innocent. Of the others, the smallest set of parts that explains the crashes is refused.

use std::cmp;
use std::time;

use crate::edge::crash;
use crate::id;
use crate::map;
use crate::suspect;

/// Hash of the id of a part, the same on all hosts.
pub type PartId = u64;

/// Time for which a served part is innocent, at least; at most twice as long.
const SERVED_TIME: time::Duration = time::Duration::from_secs(20);
/// Maximum number of parts that are remembered as served within [`SERVED_TIME`].
const MAX_SERVED: usize = 4096;
/// Maximum number of parts with crashes.
const MAX_PARTS: usize = 1024;
/// Maximum number of parts in the reports of a host, and of instances in each.
const MAX_REPORTED: usize = 32;
const MAX_INSTANCES: usize = 8;

/// What is known of a part.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Position in the prompt. Parts that come later are in fewer requests.
    position: u32,
    instances: map::FastMap<crash::InstanceId, Crash>,
}

/// The crash of an endpoint instance.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: id::Time,
    /// Whether this host observed it.
    own: bool,
}

/// What a host reports to others about a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The part.
    pub part: PartId,
    /// Position in the prompt.
    pub position: u32,
    /// Instances that crashed; none if the part was served.
    pub instances: Vec<crash::InstanceId>,
    /// Age of the last crash in minutes.
    pub age: u32,
}

/// Parts that were served lately, in two generations.
#[derive(Clone, Debug, Default)]
struct Served {
    newer: map::FastSet<PartId>,
    older: map::FastSet<PartId>,
    began: id::Time,
}

impl Served {
    fn insert(&mut self, now: id::Time, part: PartId) {
        if now >= self.began + SERVED_TIME || self.newer.len() >= MAX_SERVED {
            self.older = std::mem::take(&mut self.newer);
            self.began = now;
        }
        self.newer.insert(part);
    }

    fn contains(&self, now: id::Time, part: PartId) -> bool {
        let is_recent = now < self.began + SERVED_TIME;
        self.newer.contains(&part) || is_recent && self.older.contains(&part)
    }
}

/// Crashes by part.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    evidence: map::FastMap<PartId, Evidence>,
    served: Served,
    /// Innocent parts of which others may have evidence, and until when they are reported.
    cleared: map::FastMap<PartId, id::Time>,
    /// Parts that are refused, with the number of crashes.
    refused: map::FastMap<PartId, usize>,
    /// Instances whose crashes refused parts explain.
    explained: map::FastSet<crash::InstanceId>,
}

impl Parts {
    /// Records that an instance crashed while it ran a request with `parts`, in the order of the
    /// prompt and without the last one.
    pub fn record_crash(&mut self, now: id::Time, instance: crash::InstanceId, parts: &[PartId]) {
        for (position, &part) in parts.iter().enumerate() {
            if !self.served.contains(now, part) {
                self.add(part, position as u32, instance, Crash { at: now, own: true });
            }
        }
        self.update(now);
    }

    /// Records that a request with `parts` was served.
    pub fn record_served(&mut self, now: id::Time, parts: &[PartId]) {
        let mut known = false;
        for &part in parts {
            self.served.insert(now, part);
            known |= self.evidence.remove(&part).is_some();
        }
        if known {
            // Others may suspect any of these parts for the same crashes.
            self.cleared.extend(parts.iter().map(|&part| (part, now + SERVED_TIME)));
            self.update(now);
        }
    }

    /// The first of `parts` that is refused, with the number of crashes.
    pub fn refusal(&self, parts: &[PartId]) -> Option<(PartId, usize)> {
        parts.iter().find_map(|part| Some((*part, *self.refused.get(part)?)))
    }

    /// Merges the reports of another host.
    pub fn merge(&mut self, now: id::Time, reports: &[Report]) {
        if reports.is_empty() {
            return;
        }
        for report in reports {
            let age = time::Duration::from_secs(60) * report.age.min(60);
            let at = now.saturating_sub(age);
            match report {
                Report { part, instances, .. } if instances.is_empty() => {
                    self.served.insert(now, *part);
                    self.evidence.remove(part);
                }
                Report { part, .. } if self.served.contains(now, *part) => {
                    self.cleared.insert(*part, now + SERVED_TIME);
                }
                Report { part, position, instances, .. } => {
                    for &instance in instances.iter().take(MAX_INSTANCES) {
                        self.add(*part, *position, instance, Crash { at, own: false });
                    }
                }
            }
        }
        self.update(now);
    }

    /// What this host reports to others: crashes that it observed, all crashes of refused parts so
    /// that hosts which start later learn of them, and parts that it served.
    pub fn report(&self, now: id::Time) -> Vec<Report> {
        let suspects = self.evidence.iter().filter_map(|(part, evidence)| {
            let refused = self.refused.contains_key(part);
            let counts = |(instance, crash): &(&crash::InstanceId, &Crash)| {
                refused || crash.own && !self.explained.contains(*instance)
            };
            let reported = evidence.instances.iter().filter(counts);
            let mut instances: Vec<_> = reported.clone().map(|(&instance, _)| instance).collect();
            instances.sort_unstable();
            instances.truncate(MAX_INSTANCES);
            let last = reported.map(|(_, it)| it.at).max()?;
            let age = (now.saturating_sub(last).as_secs() / 60) as u32;
            Some(Report { part: *part, position: evidence.position, instances, age })
        });
        let mut reports: Vec<_> = suspects.collect();
        reports.sort_unstable_by_key(|it| (cmp::Reverse(it.instances.len()), it.part));
        reports.truncate(MAX_REPORTED);
        let cleared = self.cleared.iter().filter(|&(_, &until)| now < until);
        let cleared =
            cleared.map(|(&part, _)| Report { part, position: 0, instances: Vec::new(), age: 0 });
        let mut cleared: Vec<_> = cleared.collect();
        cleared.sort_unstable_by_key(|it| it.part);
        reports.extend(cleared.into_iter().take(MAX_REPORTED));
        reports
    }

    fn add(&mut self, part: PartId, position: u32, instance: crash::InstanceId, crash: Crash) {
        if self.evidence.len() >= MAX_PARTS && !self.evidence.contains_key(&part) {
            self.evict();
        }
        let evidence = self.evidence.entry(part).or_default();
        evidence.position = position;
        let known = evidence.instances.entry(instance).or_insert(crash);
        known.own |= crash.own;
    }

    /// Removes the part with the fewest crashes, and of these the one whose last crash is the
    /// oldest.
    fn evict(&mut self) {
        let key = |it: &Evidence| (it.instances.len(), it.instances.values().map(|it| it.at).max());
        let least = self.evidence.iter().min_by_key(|(_, it)| key(it)).map(|(&part, _)| part);
        if let Some(part) = least {
            self.evidence.remove(&part);
        }
    }

    /// Removes expired evidence and determines which parts are refused: the part that was in the
    /// most crashes, then the one in the most crashes that it does not explain, and so on. Of parts
    /// with the same crashes, the one that comes later in the prompt is in fewer sound requests.
    fn update(&mut self, now: id::Time) {
        self.cleared.retain(|_, until| now < *until);
        self.evidence.retain(|_, evidence| {
            evidence.instances.retain(|_, crash| now < crash.at + suspect::REFUSE_TIME);
            !evidence.instances.is_empty()
        });
        self.refused.clear();
        self.explained.clear();
        loop {
            let unexplained = |evidence: &Evidence| {
                evidence.instances.keys().filter(|it| !self.explained.contains(*it)).count()
            };
            let rank = |(&part, evidence): (&PartId, &Evidence)| {
                (unexplained(evidence), evidence.position, part)
            };
            let Some((count, _, part)) = self.evidence.iter().map(rank).max() else { return };
            if count < crash::CRASH_THRESHOLD {
                return;
            }
            let instances = &self.evidence[&part].instances;
            self.refused.insert(part, instances.len());
            self.explained.extend(instances.keys().copied());
        }
    }
}
