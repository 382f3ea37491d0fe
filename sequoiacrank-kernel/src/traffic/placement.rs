//! Placement policies: least expected finish among a few candidates, and round robin as a baseline.

use crate::policy;

/// Fraction of a call's time that a fully cached prompt saves.
const CACHE_SAVING: f64 = 0.5;
/// Cached fraction of a prompt at which the endpoint is always considered.
const MIN_CACHED: f64 = 0.25;
/// Extra seconds of a call to another availability zone of the region.
const ZONE_SECS: f64 = 0.002;
/// Extra seconds of a call to another region.
const REGION_SECS: f64 = 0.2;

/// Chooses the least expected finish among two random candidates and the one with the longest
/// cached prefix.
///
/// The random choice keeps hosts with the same outdated load data from choosing the same endpoint.
struct LeastFinish;

/// Expected seconds until a call on the candidate ends.
fn finish(candidate: &policy::Candidate) -> f64 {
    let utilization = f64::from(candidate.in_flight) / f64::from(candidate.limit.max(1));
    let cache_factor = 1.0 - CACHE_SAVING * candidate.cached.clamp(0.0, 1.0);
    let distance_secs = match candidate.distance {
        policy::Distance::Zone => 0.0,
        policy::Distance::Region => ZONE_SECS,
        policy::Distance::Far => REGION_SECS,
    };
    candidate.latency.as_secs_f64().max(0.001) * (1.0 + utilization) * cache_factor + distance_secs
}

impl policy::Placement for LeastFinish {
    fn choose(
        &mut self,
        candidates: &[policy::Candidate],
        random: u64,
    ) -> Option<(usize, &'static str)> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let first = (random as u32) as usize % count;
        let step = 1 + ((random >> 32) as usize) % count.max(2).saturating_sub(1);
        let second = (first + step) % count;
        let best =
            if finish(&candidates[second]) < finish(&candidates[first]) { second } else { first };
        let cached = (0..count)
            .filter(|i| candidates[*i].cached >= MIN_CACHED)
            .max_by(|a, b| candidates[*a].cached.total_cmp(&candidates[*b].cached));
        match cached {
            Some(cached) if finish(&candidates[cached]) <= finish(&candidates[best]) => {
                Some((cached, "least expected finish, prefix cached"))
            }
            _ => Some((best, "least expected finish of two")),
        }
    }
}

/// Chooses each candidate in turn.
struct RoundRobin(usize);

impl policy::Placement for RoundRobin {
    fn choose(
        &mut self,
        candidates: &[policy::Candidate],
        _random: u64,
    ) -> Option<(usize, &'static str)> {
        if candidates.is_empty() {
            return None;
        }
        self.0 = self.0.wrapping_add(1);
        Some((self.0 % candidates.len(), "next in turn"))
    }
}

inventory::submit! {
    policy::PlacementPlugin {
        name: "least-finish",
        about: "least expected finish of two random endpoints and the best cached one",
        make: || Box::new(LeastFinish),
    }
}

inventory::submit! {
    policy::PlacementPlugin {
        name: "round-robin",
        about: "each endpoint in turn, as a baseline",
        make: || Box::new(RoundRobin(0)),
    }
}
