//! Results of both versions on one route, summed over hosts from their cumulative counts.

use std::collections;

use crate::id;
use crate::map;
use crate::policy;
use crate::rollout::statistic;

/// Calls of the new version between two checkpoints.
const CHECKPOINT_SPACING: u64 = 8;
/// Number of checkpoints kept. Versions are compared from each checkpoint as well as from the
/// start.
const MAX_CHECKPOINTS: usize = 16;
/// Calls of the old version in a window below which its failures are taken from all calls instead.
const MIN_OLD_CALLS: u64 = 50;

/// Samples of the old and the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pair {
    /// Calls of the old version.
    pub old: policy::Sample,
    /// Calls of the new version.
    pub new: policy::Sample,
}

impl Pair {
    /// The sample of the new or the old version.
    pub fn side(&mut self, new: bool) -> &mut policy::Sample {
        match new {
            true => &mut self.new,
            false => &mut self.old,
        }
    }

    /// The calls added since `base`.
    pub fn since(&self, base: &Pair) -> Pair {
        Pair { old: subtract(&self.old, &base.old), new: subtract(&self.new, &base.new) }
    }
}

/// A range of calls to compare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// The calls.
    pub pair: Pair,
    /// What may be compared in it.
    pub kind: Kind,
}

/// What may be compared in a window.
///
/// Latencies are compared only over the same time and within one step of the ramp. When the share
/// of the new version changes, the versions see different parts of the load, and the one that got
/// more calls at a busy time looks slower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Failure rates.
    Failures,
    /// Latencies.
    Latencies,
    /// Failure rates and latencies.
    Both,
}

/// Evidence about one route.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Calls of this host.
    pub own: Pair,
    /// Calls of all hosts.
    pub total: Pair,
    /// `total` at the start of the current step of the ramp.
    step: Pair,
    /// `total` at earlier times, oldest first.
    checkpoints: collections::VecDeque<Pair>,
    /// Whether calls of the new version were added since the last [`Self::take_changed`].
    changed: bool,
    peers: map::FastMap<(id::HostId, bool), Counts>,
}

/// Cumulative counts of one version from one peer.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    last: policy::Sample,
    /// Counts lower than `last`: from a late message, or the first one after a restart.
    lower: Option<policy::Sample>,
}

impl Route {
    /// Adds a call of this host and returns it as a sample.
    pub fn record(&mut self, new: bool, call: &policy::Call<'_>) -> policy::Sample {
        let log = call.taken.as_secs_f64().max(1e-6).ln();
        let one = match call.good {
            true => policy::Sample { good: 1, bad: 0, log_sum: log, log_squares: log * log },
            false => policy::Sample { bad: 1, ..policy::Sample::default() },
        };
        add(self.own.side(new), &one);
        self.count(new, &one);
        one
    }

    /// Applies a peer's cumulative counts and returns what they add.
    ///
    /// A peer that restarts counts from 0 again; its earlier calls stay in the sum. A single lower
    /// count may come from a message that was overtaken, so only a second lower count that
    /// exceeds the first proves a restart.
    pub fn learn(&mut self, from: &str, new: bool, reported: &policy::Sample) -> policy::Sample {
        let counts = self.peers.entry((from.into(), new)).or_default();
        let calls = statistic::calls(reported);
        let added = match counts.lower {
            _ if calls >= statistic::calls(&counts.last) => subtract(reported, &counts.last),
            Some(lower) if calls > statistic::calls(&lower) => *reported,
            _ => {
                counts.lower = Some(*reported);
                return policy::Sample::default();
            }
        };
        *counts = Counts { last: *reported, lower: None };
        self.count(new, &added);
        added
    }

    /// Windows to compare: from the start, from the start of the step, and from each checkpoint.
    pub fn windows(&self) -> impl Iterator<Item = Window> + '_ {
        let start = Window { pair: self.total, kind: Kind::Failures };
        let step = Window { pair: self.total.since(&self.step), kind: Kind::Both };
        let later = self.checkpoints.iter().flat_map(|base| self.window(base));
        [start, step].into_iter().chain(later)
    }

    /// Windows since a checkpoint. If the old version has too few calls since then to know its
    /// failure rate, failures get a window of their own.
    fn window(&self, base: &Pair) -> impl Iterator<Item = Window> + use<> {
        let pair = self.total.since(base);
        let same_step = statistic::calls(&base.new) >= statistic::calls(&self.step.new);
        let few = statistic::calls(&pair.old) < MIN_OLD_CALLS;
        let failures = match few {
            true => {
                Some(Window { pair: Pair { old: self.total.old, ..pair }, kind: Kind::Failures })
            }
            false => None,
        };
        let kind = match (same_step, few) {
            (true, true) => Some(Kind::Latencies),
            (true, false) => Some(Kind::Both),
            (false, true) => None,
            (false, false) => Some(Kind::Failures),
        };
        failures.into_iter().chain(kind.map(|kind| Window { pair, kind }))
    }

    /// Whether calls of the new version were added since the last call of this method.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Calls of the current step; all calls of the old version if it has none in this step.
    pub fn recent(&self) -> Pair {
        let pair = self.total.since(&self.step);
        let none = statistic::calls(&pair.old) == 0;
        Pair { old: if none { self.total.old } else { pair.old }, ..pair }
    }

    /// Begins a step of the ramp.
    pub fn begin_step(&mut self) {
        self.step = self.total;
    }

    /// Number of samples held, for estimates of memory use.
    pub fn samples(&self) -> usize {
        6 + 2 * self.checkpoints.len() + self.peers.len()
    }

    /// Adds calls of any host to the sum, and sets a checkpoint when one is due.
    pub fn count(&mut self, new: bool, added: &policy::Sample) {
        add(self.total.side(new), added);
        self.changed |= new;
        let last = self.checkpoints.back().unwrap_or(&self.step);
        if new
            && statistic::calls(&self.total.new) >= statistic::calls(&last.new) + CHECKPOINT_SPACING
        {
            self.checkpoints.push_back(self.total);
            if self.checkpoints.len() > MAX_CHECKPOINTS {
                self.checkpoints.pop_front();
            }
        }
    }
}

fn add(sum: &mut policy::Sample, added: &policy::Sample) {
    sum.good += added.good;
    sum.bad += added.bad;
    sum.log_sum += added.log_sum;
    sum.log_squares += added.log_squares;
}

fn subtract(total: &policy::Sample, part: &policy::Sample) -> policy::Sample {
    policy::Sample {
        good: total.good.saturating_sub(part.good),
        bad: total.bad.saturating_sub(part.bad),
        log_sum: total.log_sum - part.log_sum,
        log_squares: total.log_squares - part.log_squares,
    }
}
