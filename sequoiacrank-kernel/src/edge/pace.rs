//! A bound on how often something is done in any second.
//!
//! Answers the load of a zone that comes back cold: every host sees idle endpoints at the same moment and
//! would send all that waits to them. Each host keeps to its share of what an endpoint bears.

use std::collections;
use std::time;

use crate::id;

/// Span over which the bound holds. The platform counts requests in any one second; the tenth more
/// covers requests that left in one second and arrived in the next.
const SPAN: time::Duration = time::Duration::from_millis(1100);

/// Times at which something was done within the last [`SPAN`].
#[derive(Clone, Debug, Default)]
pub struct Pace {
    done: collections::VecDeque<id::Time>,
}

impl Pace {
    /// Whether one more stays within `most` in any second.
    pub fn allows(&self, now: id::Time, most: usize) -> bool {
        self.recent(now) < most
    }

    /// How often it was done in the last second.
    pub fn recent(&self, now: id::Time) -> usize {
        self.done.iter().rev().take_while(|&&at| now < at + SPAN).count()
    }

    /// Notes that it was done.
    pub fn note(&mut self, now: id::Time) {
        while self.done.front().is_some_and(|&at| now >= at + SPAN) {
            self.done.pop_front();
        }
        self.done.push_back(now);
    }
}
