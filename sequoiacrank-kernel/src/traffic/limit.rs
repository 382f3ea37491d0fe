//! Concurrency limits of an endpoint: slow start with additive increase and multiplicative
//! decrease, and a baseline without a limit.

use std::time;

use crate::id;
use crate::plan;
use crate::policy;
use crate::traffic;

/// Increase per successful call below the threshold, which grows the limit by half in one round.
const SLOW_START_STEP: f64 = 0.5;
/// Factor by which high latency reduces the limit.
const LATENCY_CUT: f64 = 0.7;
/// Factor by which an overload or a timeout reduces the limit.
const OVERLOAD_CUT: f64 = 0.5;
/// Ratio of recent to usual time per token at which the limit is reduced.
const SLOW_RATIO: f64 = 2.0;
/// Ratio of recent to usual time per token at which the endpoint counts as cold.
const COLD_RATIO: f64 = 4.0;
/// Number of calls that must have ended before latency affects the limit.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new sample in the recent time per token.
const RECENT_WEIGHT: f64 = 0.125;
/// Weight of a slower sample in the usual time per token.
const SLOWER_WEIGHT: f64 = 0.02;
/// Weight of a faster sample in the usual time per token.
const FASTER_WEIGHT: f64 = 0.05;
/// Tokens added to each call for its fixed cost, so that short answers don't count as slow.
const FIXED_TOKENS: f64 = 16.0;
/// Shortest time between two reductions of the limit.
const CUT_PAUSE: time::Duration = time::Duration::from_secs(1);

/// A limit that no endpoint reaches; sums of it over endpoints don't overflow.
const UNLIMITED: u32 = 1_000_000;

/// Starts at the cold limit and grows with successful calls while latency stays near the usual.
struct SlowStart {
    cold: f64,
    full: f64,
    allowed: f64,
    /// Limit up to which slow start applies.
    threshold: f64,
    /// Recent seconds per token.
    recent: f64,
    /// Usual seconds per token.
    usual: f64,
    samples: u32,
    last_cut: Option<id::Time>,
}

impl SlowStart {
    fn new(service: &plan::Service) -> SlowStart {
        let cold = f64::from(service.cold.max(1));
        let full = f64::from(service.full).max(cold);
        SlowStart {
            cold,
            full,
            allowed: cold,
            threshold: full,
            recent: 0.0,
            usual: 0.0,
            samples: 0,
            last_cut: None,
        }
    }

    fn sample(&mut self, token_time: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.recent = token_time;
            self.usual = token_time;
            return;
        }
        self.recent += (token_time - self.recent) * RECENT_WEIGHT;
        let weight = if token_time < self.usual { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.usual += (token_time - self.usual) * weight;
    }

    fn shrink(&mut self, now: id::Time, factor: f64, least: f64) {
        if self.last_cut.is_some_and(|at| now < at + CUT_PAUSE) {
            return;
        }
        self.last_cut = Some(now);
        self.allowed = (self.allowed * factor).max(least);
        self.threshold = self.allowed;
    }

    /// Goes back to the cold limit.
    fn restart(&mut self) {
        self.threshold = (self.allowed / 2.0).max(self.cold);
        self.allowed = self.allowed.min(self.cold);
        self.samples = 0;
    }

    fn grow(&mut self, in_flight: u32) {
        // A call that ran with few others is no evidence that the endpoint sustains a higher limit.
        if f64::from(in_flight) * 2.0 < self.allowed.floor() {
            return;
        }
        let step = if self.allowed < self.threshold { SLOW_START_STEP } else { 1.0 / self.allowed };
        self.allowed = (self.allowed + step).min(self.full);
    }
}

impl policy::Limit for SlowStart {
    fn allowed(&self) -> u32 {
        self.allowed as u32
    }

    fn record_success(
        &mut self,
        now: id::Time,
        taken: time::Duration,
        tokens: u32,
        in_flight: u32,
    ) {
        self.sample(taken.as_secs_f64() / (f64::from(tokens) + FIXED_TOKENS));
        let ratio = if self.usual > 0.0 { self.recent / self.usual } else { 1.0 };
        match ratio {
            r if self.samples >= MIN_SAMPLES && r >= COLD_RATIO => self.restart(),
            r if self.samples >= MIN_SAMPLES && r >= SLOW_RATIO => {
                self.shrink(now, LATENCY_CUT, self.cold);
            }
            r if r >= SLOW_RATIO => {}
            _ => self.grow(in_flight),
        }
    }

    fn record_failure(&mut self, now: id::Time, fault: traffic::Fault) {
        match fault {
            traffic::Fault::Refused | traffic::Fault::Reset => self.mark_cold(now),
            traffic::Fault::Overloaded | traffic::Fault::Timeout => {
                self.shrink(now, OVERLOAD_CUT, 1.0);
            }
            traffic::Fault::Status(_) | traffic::Fault::Garbled => {}
        }
    }

    fn mark_cold(&mut self, _now: id::Time) {
        self.restart();
        // Recent times of the previous process don't apply to the new one.
        self.recent = self.usual;
    }

    fn learn(&mut self, _now: id::Time, limit: u32) {
        // Only the slow start threshold is raised: the limit itself needs evidence from this host's
        // own calls.
        self.threshold = self.threshold.max(f64::from(limit).min(self.full));
    }
}

/// Allows any number of calls.
struct Unlimited;

impl policy::Limit for Unlimited {
    fn allowed(&self) -> u32 {
        UNLIMITED
    }
    fn record_success(&mut self, _: id::Time, _: time::Duration, _: u32, _: u32) {}
    fn record_failure(&mut self, _: id::Time, _: traffic::Fault) {}
    fn mark_cold(&mut self, _: id::Time) {}
    fn learn(&mut self, _: id::Time, _: u32) {}
}

inventory::submit! {
    policy::LimitPlugin {
        name: "slow-start",
        about: "starts cold, grows with finished calls, shrinks on latency, overload and restarts",
        make: |service| Box::new(SlowStart::new(service)),
    }
}

inventory::submit! {
    policy::LimitPlugin {
        name: "none",
        about: "no limit, as a baseline",
        make: |_| Box::new(Unlimited),
    }
}
