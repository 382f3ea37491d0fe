//! A host's state of one endpoint: its slots there, its loans, and recent latency and faults.

use std::time;

use crate::id;
use crate::message;
use crate::plan;
use crate::policy;
use crate::traffic;
use crate::traffic::loan;
use crate::traffic::prefix;
use crate::traffic::share;

/// How long an unreachable endpoint gets no new calls; doubled for each refused connection in a
/// row.
pub(crate) const UNREACHABLE_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Weight of a new sample in the moving average of call times.
pub(crate) const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the moving average of failed calls.
const FAULT_WEIGHT: f64 = 0.3;
/// Half-life of the fault share while no calls end.
const FAULT_HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// Increase of the expected call time on an endpoint where all calls fail, as a multiple.
const FAULT_FACTOR: f64 = 10.0;
/// Longest pause after repeatedly refused connections.
const MAX_REFUSED_PAUSE: time::Duration = time::Duration::from_secs(8);
/// Age at which reported calls of other hosts count half.
const REPORT_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// Smallest change of a limit that is sent to peers.
const MIN_LIMIT_CHANGE: u32 = 4;

/// State of one endpoint on this host.
pub(crate) struct Endpoint {
    /// Declaration in the configuration.
    pub(crate) conf: plan::Endpoint,
    /// Network distance.
    pub(crate) distance: policy::Distance,
    /// Whether new calls may go to it.
    pub(crate) usable: bool,
    /// Whether it has ever been usable.
    pub(crate) was_usable: bool,
    /// Other hosts of the serving set, by rank.
    pub(crate) serving: Vec<id::HostId>,
    /// Concurrency limit of the whole endpoint.
    pub(crate) limit: Box<dyn policy::Limit>,
    /// This host's share of the limit.
    pub(crate) share: share::Share,
    /// Calls in flight on this host's own slots.
    pub(crate) in_flight: u32,
    /// Loans of this host's slots to peers.
    pub(crate) lent: loan::LentLoans,
    /// Increases with each restart or sudden slowdown.
    pub(crate) generation: u64,
    /// When this host learned of the generation.
    pub(crate) cold_since: id::Time,
    /// Moving average of the time of a call.
    pub(crate) latency: time::Duration,
    /// Moving average of the time of a call per token.
    pub(crate) token_time: time::Duration,
    /// Moving average of failed calls, 0 to 1, and when it was last updated.
    pub(crate) fault_share: (f64, id::Time),
    /// Refused connections in a row.
    pub(crate) refusals: u32,
    /// The last report and when its values were measured.
    pub(crate) report: Option<(traffic::Report, id::Time)>,
    /// No call starts before this time, because the endpoint could not be reached.
    pub(crate) blocked_until: id::Time,
    /// Prompt prefixes that its cache likely holds.
    pub(crate) prefixes: prefix::Prefixes,
    /// Successful calls in this generation.
    pub(crate) finished: u64,
    /// The digest last sent to peers.
    pub(crate) last_digest: Option<message::EndpointDigest>,
    /// No loan is requested before this time.
    pub(crate) loans_after: id::Time,
}

impl Endpoint {
    pub(crate) fn new(
        now: id::Time,
        conf: plan::Endpoint,
        limit: Box<dyn policy::Limit>,
        share: share::Share,
    ) -> Endpoint {
        Endpoint {
            conf,
            distance: policy::Distance::Far,
            usable: false,
            serving: Vec::new(),
            limit,
            share,
            was_usable: false,
            in_flight: 0,
            lent: loan::LentLoans::default(),
            generation: 0,
            cold_since: now,
            latency: time::Duration::ZERO,
            token_time: time::Duration::ZERO,
            fault_share: (0.0, now),
            refusals: 0,
            report: None,
            blocked_until: now,
            prefixes: prefix::Prefixes::default(),
            finished: 0,
            last_digest: None,
            loans_after: now,
        }
    }

    /// Number of this host's slots.
    pub(crate) fn slots(&self) -> u32 {
        self.share.slots(self.limit.allowed())
    }

    /// Number of this host's slots that are neither in use nor lent.
    pub(crate) fn free(&self, now: id::Time) -> u32 {
        match self.usable && now >= self.blocked_until {
            true => self.slots().saturating_sub(self.in_flight + self.lent.total(now)),
            false => 0,
        }
    }

    /// Records a successful call. Returns true if it at least halved the limit: the endpoint is
    /// cold.
    pub(crate) fn record_success(&mut self, now: id::Time, call: &Call) -> bool {
        let before = self.limit.allowed();
        let weight = if self.finished == 0 { 1.0 } else { LATENCY_WEIGHT };
        self.latency = moving_average(self.latency, call.taken, weight);
        self.token_time = moving_average(self.token_time, call.taken / call.tokens.max(1), weight);
        self.finished += 1;
        self.blocked_until = now;
        self.refusals = 0;
        self.fault_share = (self.fault_share(now) * (1.0 - FAULT_WEIGHT), now);
        // The limit is that of the whole endpoint, so this host's calls are scaled up from its
        // share.
        let slots = self.slots().max(1);
        let in_flight = call.in_flight.saturating_mul(before.div_ceil(slots)).min(before);
        self.limit.record_success(now, call.taken, call.tokens, in_flight);
        self.limit.allowed() < before && self.limit.allowed() <= before / 2
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, now: id::Time, fault: traffic::Fault) {
        self.limit.record_failure(now, fault);
        let fault_share = self.fault_share(now);
        self.fault_share = (fault_share + (1.0 - fault_share) * FAULT_WEIGHT, now);
        if fault == traffic::Fault::Refused {
            let pause = UNREACHABLE_PAUSE * 2_u32.saturating_pow(self.refusals.min(8));
            self.blocked_until = now + pause.min(MAX_REFUSED_PAUSE);
            self.refusals += 1;
        }
    }

    /// Recent share of failed calls, decayed to `now`.
    fn fault_share(&self, now: id::Time) -> f64 {
        let (share, at) = self.fault_share;
        let half_lives = now.saturating_sub(at).as_secs_f64() / FAULT_HALF_LIFE.as_secs_f64();
        share * (-half_lives).exp2()
    }

    /// Marks the endpoint as cold and starts `generation`.
    pub(crate) fn mark_cold(&mut self, now: id::Time, generation: u64) {
        self.generation = generation;
        self.cold_since = now;
        self.finished = 0;
        self.limit.mark_cold(now);
        self.prefixes.clear();
    }

    /// The endpoint's state for peers.
    pub(crate) fn digest(&self, endpoint: &str) -> message::EndpointDigest {
        message::EndpointDigest {
            endpoint: endpoint.into(),
            generation: self.generation,
            limit: self.limit.allowed(),
            in_flight: self.in_flight,
            latency: self.token_time,
            finished: self.finished,
        }
    }

    /// Returns a digest for peers if it differs enough from the last one, and stores it as sent.
    pub(crate) fn changed_digest(&mut self, endpoint: &str) -> Option<message::EndpointDigest> {
        let digest = self.digest(endpoint);
        let same = |old: &message::EndpointDigest| {
            old.generation == digest.generation
                && old.limit.abs_diff(digest.limit) < MIN_LIMIT_CHANGE
        };
        match &self.last_digest {
            Some(old) if same(old) => None,
            None if digest.generation == 0 && digest.finished == 0 => None,
            _ => {
                self.last_digest = Some(digest.clone());
                Some(digest)
            }
        }
    }

    /// The endpoint as a candidate for a call.
    pub(crate) fn candidate(
        &self,
        now: id::Time,
        endpoint: &str,
        prefix: &[u64],
        usual: time::Duration,
    ) -> policy::Candidate {
        // An endpoint without finished calls counts as average and one that fails fast as slow, so
        // that neither attracts all calls.
        let latency = if self.finished == 0 { usual } else { self.latency };
        let latency = latency.mul_f64(1.0 + FAULT_FACTOR * self.fault_share(now));
        let (others, age) = match &self.report {
            Some((report, at)) => {
                let all = report.running.saturating_add(report.waiting);
                let age = now.saturating_sub(*at);
                let weight =
                    REPORT_HALF_LIFE.as_secs_f64() / (REPORT_HALF_LIFE + age).as_secs_f64();
                (f64::from(all.saturating_sub(self.in_flight)) * weight, age)
            }
            None => (0.0, time::Duration::ZERO),
        };
        policy::Candidate {
            endpoint: endpoint.into(),
            limit: self.limit.allowed(),
            in_flight: self.in_flight.saturating_add(others as u32),
            latency,
            age,
            cached: self.prefixes.cached_share(prefix),
            distance: self.distance,
        }
    }
}

/// A successful call.
pub(crate) struct Call {
    pub(crate) taken: time::Duration,
    pub(crate) tokens: u32,
    /// This host's calls in flight on the endpoint when the call started, including the call.
    pub(crate) in_flight: u32,
}

pub(crate) fn moving_average(
    old: time::Duration,
    new: time::Duration,
    weight: f64,
) -> time::Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
