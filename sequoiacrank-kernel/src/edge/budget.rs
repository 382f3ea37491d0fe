//! A host's share of the budget for repeated requests.
//!
//! Without a bound, each failure of a service that begins to fail causes another request, which
//! doubles the load just when the service can handle least.

use std::collections;
use std::time;

use crate::edge::members::shares;
use crate::id;

/// Bound on the repeats of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats allowed in addition to that ratio.
    pub slack: f64,
    /// Window over which requests and repeats are counted.
    pub span: time::Duration,
}

/// Fraction of the bound that hosts use together. The rest covers what a restarted process uses in
/// addition to its predecessor, hosts that do not know all others yet, and requests that count in
/// the previous window.
const USED_FRACTION: f64 = 0.7;
/// Longest time between the decision to repeat and the arrival of the repeat: a connection setup
/// and one retransmitted packet.
const MAX_DELAY: time::Duration = time::Duration::from_secs(1);

impl Bound {
    /// Time after which a repeat no longer counts.
    pub fn retention(&self) -> time::Duration {
        self.span + MAX_DELAY
    }
}

/// The budget's decision on a repeat, and the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Whether the request may be repeated.
    pub granted: bool,
    /// Repeats of this host within the window, including this one if it is granted.
    pub repeats: usize,
    /// Requests of this host within the window.
    pub requests: usize,
    /// Maximum number of repeats that this host may send within the window.
    pub max_repeats: f64,
}

/// Requests and repeats of one service on one host.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: collections::VecDeque<id::Time>,
    repeats: collections::VecDeque<id::Time>,
}

impl Budget {
    /// Records a caller's request.
    pub fn record_request(&mut self, now: id::Time, bound: &Bound) {
        drop_older(&mut self.requests, now, bound.span);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget if there is one left. `share` is this host's share of
    /// bounds over all hosts, such as `bound.slack`.
    pub fn try_repeat(&mut self, now: id::Time, bound: &Bound, share: &shares::Share) -> Verdict {
        drop_older(&mut self.requests, now, bound.span);
        drop_older(&mut self.repeats, now, bound.retention());
        let max_repeats =
            USED_FRACTION * (bound.ratio * self.requests.len() as f64 + share.of(bound.slack));
        let granted = (self.repeats.len() as f64) + 1.0 <= max_repeats;
        if granted {
            self.repeats.push_back(now);
        }
        let (repeats, requests) = (self.repeats.len(), self.requests.len());
        Verdict { granted, repeats, requests, max_repeats }
    }
}

/// Drops the times that are `span` or more before `now`.
fn drop_older(times: &mut collections::VecDeque<id::Time>, now: id::Time, span: time::Duration) {
    while times.front().is_some_and(|&at| now >= at + span) {
        times.pop_front();
    }
}
