//! Switches that make a stand-in fail in given ways.

use std::sync::atomic;

use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use serde::Deserialize;
use serde::Serialize;

/// Fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallFault {
    /// The call is refused with [`Faults::status`] and has no effect.
    Fail,
    /// The call takes effect, but the answer is an error with [`Faults::status`].
    FailAfter,
    /// The call is never answered and takes effect only after [`Faults::late_ms`]. Only the log
    /// supports this fault.
    Late,
    /// The call takes effect; the answer stops halfway and the connection stays open.
    Stall,
    /// The call takes effect; the answer is malformed.
    Garbage,
    /// The call takes effect; the connection closes halfway through the answer.
    Truncate,
    /// The call takes effect; the answer is sent twice on the same connection.
    Twice,
    /// The call takes effect; the answer carries the attempt id of another call.
    Other,
    /// The call takes effect; the connection closes without an answer.
    Lost,
}

/// How a stand-in treats calls while it is down. Calls to the fault switches still work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Calls are answered with 503 at once and have no effect.
    Refuse,
    /// Calls are never answered and have no effect.
    Silent,
}

/// Fault switches of one stand-in. Switches that a kind of stand-in does not support are ignored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Factor on all service times.
    pub slow: f64,
    /// Fault of calls; `None` if calls have no fault.
    pub call: Option<CallFault>,
    /// Fraction of calls to which [`Faults::call`] applies, from 0 to 1.
    pub share: f64,
    /// HTTP status of refused calls.
    pub status: u16,
    /// Restricts `slow` and `call` to calls with this value of the header `Sequoiacrank-Route`.
    pub route: Option<String>,
    /// Restricts `slow` and `call` to times when at least this many calls are in flight.
    pub load: Option<u32>,
    /// Number of calls, counted since the switches were set, after which `slow` and `call` apply.
    pub after: Option<u64>,
    /// Whether the stand-in is down, and how it behaves then.
    pub outage: Option<Outage>,
    /// The stand-in crashes at each call whose body contains this text.
    pub poison: Option<String>,
    /// Time for which a crashed stand-in refuses connections, in ms.
    pub down_ms: u64,
    /// Delay after which a call with [`CallFault::Late`] takes effect, in ms.
    pub late_ms: u64,
    /// Delay of load reports, cache events and host lists, in ms. Overrides the `lag` option of the
    /// stand-in.
    pub lag_ms: Option<u64>,
    /// Makes the log return records in reverse order, and the first one twice.
    pub disorder: bool,
    /// Overrides the rate limit of the log, in appends per second.
    pub rate: Option<f64>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slow: 1.0,
            call: None,
            share: 1.0,
            status: 500,
            route: None,
            load: None,
            after: None,
            outage: None,
            poison: None,
            down_ms: 500,
            late_ms: 500,
            lag_ms: None,
            disorder: false,
            rate: None,
        }
    }
}

/// What the switches do to one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Effect {
    pub(crate) fault: Option<CallFault>,
    pub(crate) slow: f64,
    pub(crate) status: u16,
}

/// The fault switches in force, the number of calls since they were set, and the random generator
/// that picks the calls they apply to.
pub(crate) struct Switches {
    faults: Mutex<Faults>,
    calls: atomic::AtomicU64,
    random: Mutex<rngs::SmallRng>,
}

impl Switches {
    pub(crate) fn new(seed: u64) -> Switches {
        Switches {
            faults: Mutex::default(),
            calls: atomic::AtomicU64::new(0),
            random: Mutex::new(rngs::SmallRng::seed_from_u64(seed)),
        }
    }

    pub(crate) fn get(&self) -> Faults {
        self.faults.lock().clone()
    }

    pub(crate) fn set(&self, faults: Faults) {
        let mut current = self.faults.lock();
        *current = faults;
        self.calls.store(0, atomic::Ordering::Relaxed);
    }

    /// Decides what happens to the next call, which has this `route` and arrives while `load` calls
    /// are in flight.
    pub(crate) fn next_effect(&self, route: Option<&str>, load: u32) -> Effect {
        let earlier = self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        let faults = self.faults.lock();
        let applies = faults.route.as_deref().is_none_or(|only| Some(only) == route)
            && faults.load.is_none_or(|min| load >= min)
            && faults.after.is_none_or(|after| earlier >= after);
        if !applies {
            return Effect { fault: None, slow: 1.0, status: faults.status };
        }
        let hit = faults.share >= 1.0 || self.random.lock().random::<f64>() < faults.share;
        let fault = faults.call.filter(|_| hit);
        Effect { fault, slow: faults.slow, status: faults.status }
    }
}
