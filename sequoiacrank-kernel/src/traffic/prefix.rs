//! Prompt prefixes that an endpoint's cache likely holds, known from this host's own calls and from
//! cache events, which may be late or missing.

use std::collections;

use crate::map;

/// Number of prefixes kept per endpoint.
const MAX_PREFIXES: usize = 1_024;

/// Recent prefixes of one endpoint; the oldest are dropped first.
#[derive(Default)]
pub(crate) struct Prefixes {
    known: map::FastSet<u64>,
    order: collections::VecDeque<u64>,
}

impl Prefixes {
    /// Adds prefixes and drops the oldest over the limit.
    pub(crate) fn add(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            if self.known.insert(*prefix) {
                self.order.push_back(*prefix);
            }
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(old) = self.order.pop_front() {
                self.known.remove(&old);
            }
        }
    }

    /// Drops all prefixes, as after a restart.
    pub(crate) fn clear(&mut self) {
        self.known.clear();
        self.order.clear();
    }

    /// Fraction of a prompt that is likely cached. The longest known prefix implies the shorter
    /// ones, so gaps before it don't matter.
    pub(crate) fn cached_share(&self, prefix: &[u64]) -> f64 {
        match prefix.iter().rposition(|hash| self.known.contains(hash)) {
            Some(at) => (at + 1) as f64 / prefix.len() as f64,
            None => 0.0,
        }
    }
}
