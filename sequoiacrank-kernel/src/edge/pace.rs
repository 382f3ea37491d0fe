//! A bound on how often something is done in any second.
//!
//! Answers the load of a zone that comes back cold: every host sees idle endpoints at the same moment and
//! would send all that waits to them. Each host keeps to its share of what an endpoint bears.

use std::collections;
use std::time;

use crate::id;

/// Span over which the bound holds. The platform counts requests in any one second; the tenth more
/// covers requests that left in one second and arrived in the next.
pub const SPAN: time::Duration = time::Duration::from_millis(1100);

/// Requests that one host may send to one endpoint in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// To one that may be cold: a share of what it bears.
    pub cold: f64,
    /// Whether those that say they are cold get nothing yet, as an earlier process of the host may have used
    /// the share.
    pub waits: bool,
    /// To any other. It may turn cold without a word, but then gets no more than usual from all hosts.
    pub warm: f64,
}

/// Time between two for a bound of less than one in a second.
pub fn gap(most: f64) -> time::Duration {
    SPAN.div_f64(most)
}

/// Times at which something was done within the last [`SPAN`].
#[derive(Clone, Debug, Default)]
pub struct Pace {
    done: collections::VecDeque<id::Time>,
}

impl Pace {
    /// Whether one more stays within `most` in any second, which may be less than one.
    pub fn allows(&self, now: id::Time, most: f64) -> bool {
        match most {
            _ if most >= 1.0 => self.recent(now) < most as usize,
            _ if most > 0.0 => self.done.back().is_none_or(|&at| now >= at + gap(most)),
            _ => false,
        }
    }

    /// When it was done last.
    pub fn last(&self) -> Option<id::Time> {
        self.done.back().copied()
    }

    /// How often it was done in the last second.
    fn recent(&self, now: id::Time) -> usize {
        self.done.iter().rev().take_while(|&&at| now < at + SPAN).count()
    }

    /// Notes that it was done.
    pub fn note(&mut self, now: id::Time) {
        while self.done.len() > 1 && self.done.front().is_some_and(|&at| now >= at + SPAN) {
            self.done.pop_front();
        }
        self.done.push_back(now);
    }
}
