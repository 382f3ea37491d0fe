//! A rate limiter for an endpoint that has set a limit for all hosts together. One host runs it for
//! all of them.
//!
//! Fixed shares of the limit fail in two cases. With a few hundred hosts and a limit of one request
//! per second, each host would be allowed one request in minutes and the endpoint would be idle, as
//! a host has a request for it only occasionally. And hosts that restart, or that disagree on which
//! hosts there are, would each use a share again. A host therefore asks the limiter for each
//! request to the endpoint, and a new limiter earns the limit in proportion to its age.

use std::time;

use crate::edge::notice;
use crate::edge::pace;
use crate::id;
use crate::map;

/// Interval over which the platform counts the requests to an endpoint with a limit.
pub const SPAN: time::Duration = time::Duration::from_secs(4);
/// Time by which requests may arrive closer together than they were granted, owing to the time to
/// ask and to connect.
const ARRIVAL_JITTER: time::Duration = time::Duration::from_millis(500);
/// Requests that may be granted within [`pace::SPAN`]: a multiple of the limit, and a number in
/// addition. Without this bound, unused requests of the past would be granted in one burst.
const MAX_BURST: (f64, f64) = (1.0, 1.0);
/// Fractions of a limit that requests may use, by the number of more urgent ranks that asked within
/// [`SPAN`]. The rest is reserved for those.
const RANK_SHARES: [f64; notice::RANKS] = [1.0, 0.85, 0.7, 0.55];
/// Time without a granted request after which a limiter discards its grants for an endpoint.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Grants from the limit of one instance of an endpoint.
#[derive(Clone, Debug)]
pub struct Grants {
    since: id::Time,
    pace: pace::Pace,
    /// Time of the last request of each rank.
    asked: [Option<id::Time>; notice::RANKS],
}

impl Grants {
    /// Creates an empty set of grants that starts at `now`.
    pub fn new(now: id::Time) -> Self {
        Grants {
            since: now,
            pace: pace::Pace::with_span(SPAN + ARRIVAL_JITTER),
            asked: Default::default(),
        }
    }

    /// Number of requests that the limit allows in one span. Grants that are younger than a span
    /// allow only part of it, since another limiter may have granted requests before they started.
    fn allowance(&self, now: id::Time, rate: notice::Rate) -> f64 {
        let full = rate * SPAN.as_secs_f64();
        let age =
            now.saturating_sub(self.since).as_secs_f64() / (SPAN + ARRIVAL_JITTER).as_secs_f64();
        (full * age).clamp(full.min(1.0), full)
    }

    /// Time until one more request may be sent; zero if it may be sent now.
    pub fn wait(&self, now: id::Time, rate: notice::Rate) -> time::Duration {
        let burst = MAX_BURST.0 * rate + MAX_BURST.1;
        let burst_wait = self.pace.wait_over(now, pace::SPAN, burst);
        self.pace.wait(now, self.allowance(now, rate)).max(burst_wait)
    }

    /// The fraction of the limit that is open to a request of a rank. Records that this rank asks
    /// now.
    fn rank_share(&mut self, now: id::Time, rank: u32) -> f64 {
        let rank = notice::rank_index(rank);
        self.asked[rank] = Some(now);
        let recent = |asked: &&Option<id::Time>| asked.is_some_and(|at| now < at + SPAN);
        RANK_SHARES[self.asked[..rank].iter().filter(recent).count()]
    }

    /// Records that a request is sent.
    pub fn record(&mut self, now: id::Time) {
        self.pace.record(now);
    }
}

/// Grants of this host by endpoint, with the start of the instance that each set is for.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    endpoints: map::FastMap<id::EndpointId, (u64, Grants)>,
}

impl Limiter {
    /// Grants one request of a rank to an instance of an endpoint with a limit.
    ///
    /// # Errors
    ///
    /// If the limit allows no request now, returns the time after which it may.
    pub fn grant(
        &mut self,
        now: id::Time,
        (id, started_at): notice::Instance<'_>,
        rate: notice::Rate,
        rank: u32,
    ) -> Result<(), time::Duration> {
        let unused = || (started_at, Grants::new(now));
        let entry = self.endpoints.entry(id.to_owned()).or_insert_with(unused);
        if entry.0 != started_at {
            *entry = unused();
        }
        let share = entry.1.rank_share(now, rank);
        let wait = entry.1.wait(now, rate * share);
        if !wait.is_zero() {
            return Err(wait);
        }
        entry.1.record(now);
        Ok(())
    }

    /// Discards the grants for endpoints to which no request was granted recently.
    pub fn expire(&mut self, now: id::Time) {
        let last = |grants: &Grants| grants.pace.last().unwrap_or(grants.since);
        self.endpoints.retain(|_, (_, grants)| now < last(grants) + IDLE_TIMEOUT);
    }
}
