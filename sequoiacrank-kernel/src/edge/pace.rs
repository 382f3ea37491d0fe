//! A sliding-window bound on the rate of events.
//!
//! When an availability zone comes back with cold endpoints, every host sees them idle at the same
//! moment and would send them all waiting requests. Each host therefore keeps to its share of the
//! rate that an endpoint can handle.

use std::collections;
use std::time;

use crate::id;

/// Length of the window. The platform counts requests within any one second; the additional tenth
/// covers requests that are sent in one second and arrive in the next.
pub const SPAN: time::Duration = time::Duration::from_millis(1100);

/// Requests per second that one host may send to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// To an endpoint that may be cold: a share of the rate that it can handle.
    pub cold: f64,
    /// Whether endpoints that report being cold get no requests yet, because an earlier process of
    /// this host may have used the share.
    pub defer_cold: bool,
    /// To any other endpoint. It may become cold without reporting it, but then gets no more than
    /// its usual load from all hosts.
    pub warm: f64,
}

/// Wait returned for a rate of zero, and the longest one for any other rate.
const NEVER: time::Duration = time::Duration::from_secs(24 * 3600);

/// Time between two events at a rate below one per window.
pub fn interval(rate: f64) -> time::Duration {
    interval_in(SPAN, rate)
}

fn interval_in(span: time::Duration, rate: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(span.as_secs_f64() / rate).unwrap_or(NEVER).min(NEVER)
}

/// Times of the events within the last window.
#[derive(Clone, Debug)]
pub struct Pace {
    span: time::Duration,
    events: collections::VecDeque<id::Time>,
}

impl Default for Pace {
    fn default() -> Self {
        Pace::with_span(SPAN)
    }
}

impl Pace {
    /// Creates a pace without events that bounds events in any window of length `span`.
    pub fn with_span(span: time::Duration) -> Self {
        Pace { span, events: collections::VecDeque::new() }
    }

    /// Whether one more event keeps within `rate` events in any window; `rate` may be below one.
    pub fn allows(&self, now: id::Time, rate: f64) -> bool {
        self.wait(now, rate).is_zero()
    }

    /// Time until one more event keeps within `rate` events in any window.
    pub fn wait(&self, now: id::Time, rate: f64) -> time::Duration {
        self.wait_over(now, self.span, rate)
    }

    /// The same for windows of length `span`, which must not exceed that of `self`.
    pub fn wait_over(&self, now: id::Time, span: time::Duration, rate: f64) -> time::Duration {
        let next = match rate {
            _ if rate >= 1.0 => {
                // The event that must be at least `span` ago.
                let index = self.events.len().checked_sub(rate as usize);
                index.map_or(id::Time::ZERO, |index| self.events[index] + span)
            }
            _ if rate > 0.0 => {
                self.last().map_or(id::Time::ZERO, |at| at + interval_in(span, rate))
            }
            _ => return NEVER,
        };
        next.saturating_sub(now)
    }

    /// Time of the last event.
    pub fn last(&self) -> Option<id::Time> {
        self.events.back().copied()
    }

    /// Records an event.
    pub fn record(&mut self, now: id::Time) {
        while self.events.len() > 1 && self.events.front().is_some_and(|&at| now >= at + self.span)
        {
            self.events.pop_front();
        }
        self.events.push_back(now);
    }
}
