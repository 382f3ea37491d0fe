//! A simulated endpoint. It sustains fewer calls when cold, slows down with more calls than it
//! sustains, and crashes with more than twice as many.

use std::collections;
use std::time;

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

/// An endpoint crashes when it runs more than this multiple of the calls that it sustains.
const CRASH_FACTOR: u32 = 2;
/// Time from a crash to the next start.
const RESTART_TIME: time::Duration = time::Duration::from_secs(5);
/// Age of reports.
const REPORT_AGE: time::Duration = time::Duration::from_millis(300);
/// Duration of a call that is refused or fails at once.
const FAILURE_TIME: time::Duration = time::Duration::from_millis(1);

/// Outcome of a call.
pub struct Outcome {
    /// When it ends.
    pub end: id::Time,
    /// How it ends.
    pub ending: traffic::Ending,
    /// Whether it crashed the endpoint.
    pub crashed: bool,
}

/// A simulated endpoint.
pub struct Endpoint {
    /// Its service.
    pub service: id::ServiceId,
    /// Maximum number of running calls beyond those it sustained at the time.
    pub max_overload: u32,
    /// Number of crashes.
    pub crashes: u32,
    /// Total duration of all calls but those that fail at once.
    pub call_time: time::Duration,
    /// Number of calls.
    pub calls: u64,
    /// Whether all calls fail.
    pub failing: bool,
    cold: u32,
    full: u32,
    base_time: time::Duration,
    running: u32,
    successes: u32,
    started: id::Time,
}

/// Creates all endpoints of a plan, which are cold.
pub fn endpoints(
    plan: &plan::Plan,
    now: id::Time,
) -> collections::BTreeMap<id::EndpointId, Endpoint> {
    let make = |endpoint: &plan::Endpoint| {
        let service = &plan.services[&endpoint.service];
        Endpoint {
            service: endpoint.service.clone(),
            max_overload: 0,
            crashes: 0,
            call_time: time::Duration::ZERO,
            calls: 0,
            failing: false,
            cold: service.cold,
            full: service.full,
            base_time: base_time(&endpoint.service),
            running: 0,
            successes: 0,
            started: now,
        }
    };
    plan.endpoints.iter().map(|(id, endpoint)| (id.clone(), make(endpoint))).collect()
}

/// Duration of a call on an endpoint that runs no more calls than it sustains.
pub fn base_time(service: &str) -> time::Duration {
    time::Duration::from_millis(match service {
        "encode" => 40,
        "retrieve" => 60,
        "rerank" => 100,
        _ => 1_000,
    })
}

impl Endpoint {
    /// Concurrent calls it sustains now: one more for each successful call since its start, up to
    /// `full`.
    pub fn sustained_calls(&self) -> u32 {
        (self.cold + self.successes).min(self.full)
    }

    /// Restarts it, so that it is down until `start` and cold from then on.
    pub fn restart(&mut self, start: id::Time) {
        self.started = start;
        self.successes = 0;
    }

    /// Starts a call, whose duration is multiplied by `spread`.
    pub fn call(&mut self, now: id::Time, spread: f64) -> Outcome {
        self.calls += 1;
        self.running += 1;
        let bad = |fault| traffic::Ending::Bad { fault, delivered: false };
        if now < self.started {
            let ending = bad(traffic::Fault::Refused);
            return Outcome { end: now + FAILURE_TIME, ending, crashed: false };
        }
        if self.failing {
            let ending = bad(traffic::Fault::Status(500));
            return Outcome { end: now + FAILURE_TIME, ending, crashed: false };
        }
        self.max_overload =
            self.max_overload.max(self.running.saturating_sub(self.sustained_calls()));
        if self.running > CRASH_FACTOR * self.sustained_calls() {
            self.crashes += 1;
            self.restart(now + RESTART_TIME);
            return Outcome { end: now, ending: bad(traffic::Fault::Reset), crashed: true };
        }
        let load = f64::from(self.running) / f64::from(self.sustained_calls());
        let duration = self.base_time.mul_f64(spread * load.max(1.0));
        self.call_time += duration;
        Outcome { end: now + duration, ending: traffic::Ending::Good { tokens: 1 }, crashed: false }
    }

    /// Records the end of a call.
    pub fn record_end(&mut self, good: bool) {
        self.running = self.running.saturating_sub(1);
        self.successes += u32::from(good);
    }

    /// Its load report; `None` while it is down.
    pub fn report(&self, now: id::Time) -> Option<traffic::Report> {
        (now >= self.started).then_some(traffic::Report {
            running: self.running,
            waiting: 0,
            cache: 0.0,
            started: self.started,
            age: REPORT_AGE,
        })
    }
}
