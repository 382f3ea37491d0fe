//! The state of one stage endpoint: calls, memory, health and rate limit.

use std::time;

use crate::edge::endpoint;
use crate::edge::limiter;
use crate::edge::notice;
use crate::edge::stage;
use crate::edge::stage::queue;
use crate::id;

/// The state of a stage endpoint, as its calls and notices show it.
#[derive(Clone, Debug)]
pub struct State {
    /// Availability zone.
    pub(super) zone: id::ZoneId,
    /// Start time of its process, as registered.
    pub(super) started_at: u64,
    /// Number of calls in flight.
    pub(super) in_flight: u32,
    /// Expected end of the newest call.
    pub(super) call_end: id::Time,
    /// Time at which the newest call was sent.
    pub(super) last_sent: id::Time,
    /// Memory taken by results of this queue, including those of calls in flight, in bytes.
    pub(super) held_bytes: u64,
    /// Results that it stores and that are to be freed.
    pub(super) to_free: Vec<stage::Handle>,
    /// Size of the results to free, in bytes.
    pub(super) free_bytes: u64,
    /// Time since which results wait to be freed.
    pub(super) free_since: Option<id::Time>,
    /// Smoothed ratio of real to expected times of calls.
    pub(super) slowdown: f64,
    /// Lost calls since the last answer; failed pieces alone count as one.
    pub(super) failures: u32,
    /// Number of calls refused as full since the last answer.
    pub(super) full_count: u32,
    /// Time until which it gets no calls after a failure or a refusal as full.
    pub(super) skipped_until: id::Time,
    /// Time until which its notices ask for no calls.
    pub(super) paused_until: id::Time,
    /// Rate limit from its notices, and the grants for calls sent under it.
    pub(super) rate_limit: Option<(notice::Rate, limiter::Grants)>,
    /// Reduced memory for results while those of other hosts take the rest, in bytes, and its
    /// expiry.
    pub(super) memory_cap: Option<(u64, id::Time)>,
}

impl State {
    /// Creates the state of an endpoint that has had no call yet.
    pub(super) fn new(entry: &endpoint::Endpoint) -> Self {
        State {
            zone: entry.zone.clone(),
            started_at: entry.started_at,
            in_flight: 0,
            call_end: id::Time::ZERO,
            last_sent: id::Time::ZERO,
            held_bytes: 0,
            to_free: Vec::new(),
            free_bytes: 0,
            free_since: None,
            slowdown: 1.0,
            failures: 0,
            full_count: 0,
            skipped_until: id::Time::ZERO,
            paused_until: id::Time::ZERO,
            rate_limit: None,
            memory_cap: None,
        }
    }

    /// Whether it is available and not slow.
    pub(super) fn serves(&self, now: id::Time) -> bool {
        self.is_available(now) && self.slowdown < queue::SLOW_RATIO
    }

    /// Whether neither a recent failure nor a notice keeps calls from it.
    fn is_available(&self, now: id::Time) -> bool {
        now >= self.skipped_until.max(self.paused_until)
    }

    /// Time until it may get a call, given a free slot.
    pub(super) fn available_in(&self, now: id::Time) -> time::Duration {
        let limit = self.rate_limit.as_ref().map(|(rate, grants)| grants.wait(now, *rate));
        self.skipped_until.max(self.paused_until).saturating_sub(now).max(limit.unwrap_or_default())
    }

    /// Capacity relative to an endpoint without a rate limit, from 0 to 1, for calls that take
    /// `call`.
    pub(super) fn relative_capacity(&self, call: time::Duration, slots: u32) -> f64 {
        let calls = |rate: notice::Rate| rate * call.as_secs_f64() / f64::from(slots.max(1));
        self.rate_limit.as_ref().map_or(1.0, |(rate, _)| calls(*rate).min(1.0))
    }

    /// Time until it may get a call, given that it runs `slots` calls concurrently.
    pub(super) fn slot_wait(&self, now: id::Time, slots: u32) -> time::Duration {
        match self.in_flight < slots {
            true => self.available_in(now),
            false => self.call_end.saturating_sub(now).max(self.available_in(now)),
        }
    }
}
