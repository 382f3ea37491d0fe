//! Policies for retrying a failed attempt of an idempotent stage.
//!
//! Retries multiply the load just when a stage can handle it least, so [`Budget`] limits them to a
//! share of recent first attempts. [`Fixed`] is the baseline without such a limit.

use crate::id;
use crate::policy;
use crate::traffic;

/// Maximum attempts of one stage of one request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum attempts, including the first, if the last one may have cost the stage work.
const MAX_COSTLY_ATTEMPTS: u32 = 2;
/// Retries added to the budget by each first attempt.
const RETRIES_PER_FIRST: f64 = 1.0 / 12.0;
/// Retries available at the start.
const INITIAL_RETRIES: f64 = 3.0;
/// Maximum retries in the budget, so that a long time without faults does not allow a burst.
const MAX_RETRIES: f64 = 10.0;

/// A token bucket that is filled by first attempts.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { tokens: INITIAL_RETRIES }
    }
}

impl policy::Retry for Budget {
    fn record_first(&mut self, _now: id::Time) {
        self.tokens = (self.tokens + RETRIES_PER_FIRST).min(MAX_RETRIES);
    }

    fn allow_retry(&mut self, _now: id::Time, fault: traffic::Fault, attempts: u32) -> bool {
        if attempts >= max_attempts(fault) || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Maximum attempts if the last one ended with `fault`.
fn max_attempts(fault: traffic::Fault) -> u32 {
    match fault {
        traffic::Fault::Refused => MAX_ATTEMPTS,
        traffic::Fault::Status(status) if (400..500).contains(&status) => 1,
        traffic::Fault::Reset
        | traffic::Fault::Timeout
        | traffic::Fault::Overloaded
        | traffic::Fault::Status(_)
        | traffic::Fault::Garbled => MAX_COSTLY_ATTEMPTS,
    }
}

/// Baseline: a fixed number of attempts, regardless of fault and load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fixed;

impl policy::Retry for Fixed {
    fn record_first(&mut self, _now: id::Time) {}

    fn allow_retry(&mut self, _now: id::Time, _fault: traffic::Fault, attempts: u32) -> bool {
        attempts < MAX_ATTEMPTS
    }
}

inventory::submit! {
    policy::RetryPlugin {
        name: "budget",
        about: "retries limited to a share of recent first attempts",
        make: || Box::new(Budget::default()),
    }
}

inventory::submit! {
    policy::RetryPlugin {
        name: "fixed",
        about: "up to three attempts whatever the load",
        make: || Box::new(Fixed),
    }
}
