//! The planned end of a host's process.

use std::time;

use crate::id;

/// Fraction of the grace period that is left when requests in flight are ended.
const GRACE_RESERVE: f64 = 0.06;

/// When a process that is leaving ends the requests that still run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exit {
    at: Option<id::Time>,
}

impl Exit {
    /// The end of a process that was told at `now` to end within `grace`.
    pub fn plan(now: id::Time, grace: time::Duration) -> Exit {
        Exit { at: Some(now + grace.mul_f64(1.0 - GRACE_RESERVE)) }
    }

    /// Whether a request that has ended by `deadline` may be taken. What may still run at the end of
    /// the process would be cut, and other hosts can serve it.
    pub fn allows(&self, deadline: id::Time) -> bool {
        self.at.is_none_or(|at| deadline <= at)
    }

    /// Whether the requests that still run have to end.
    pub fn is_due(&self, now: id::Time) -> bool {
        self.at.is_some_and(|at| now >= at)
    }
}
