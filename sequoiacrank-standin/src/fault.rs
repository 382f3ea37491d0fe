//! Switches that make a stand-in fail in chosen ways.

use std::sync::atomic;

use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use serde::Deserialize;
use serde::Serialize;

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallFault {
    /// It is refused with [`Faults::status`] and has no effect.
    Fail,
    /// It takes effect; the answer is an error with [`Faults::status`].
    FailAfter,
    /// It is never answered and takes effect only after [`Faults::late_ms`]; known to the log alone.
    Late,
    /// It takes effect; the answer stops in the middle and the connection stays open.
    Stall,
    /// It takes effect; the answer is malformed.
    Garbage,
    /// It takes effect; the connection closes in the middle of the answer.
    Truncate,
    /// It takes effect; the answer comes twice on the same connection.
    Twice,
    /// It takes effect; the answer carries the attempt id of another call.
    Other,
    /// It takes effect; the connection closes without an answer.
    Lost,
}

/// How a stand-in treats all calls while it is down, fault switches excepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers 503 at once; calls have no effect.
    Refuse,
    /// It never answers; calls have no effect.
    Silent,
}

/// The switches of one stand-in. Those that a kind does not know have no effect on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Factor on all service times.
    pub slow: f64,
    /// What goes wrong with calls.
    pub call: Option<CallFault>,
    /// Share of calls that [`Faults::call`] strikes, 0 to 1.
    pub share: f64,
    /// Status of refused calls.
    pub status: u16,
    /// `slow` and `call` strike only calls whose `Sequoiacrank-Route` is this one.
    pub route: Option<String>,
    /// `slow` and `call` strike only while at least so many calls are in flight.
    pub load: Option<u32>,
    /// `slow` and `call` strike only behind so many calls since the switches were set.
    pub after: Option<u64>,
    /// The stand-in is down.
    pub outage: Option<Outage>,
    /// An engine or plain service crashes at each call whose body holds this text.
    pub poison: Option<String>,
    /// How long a crash lasts, in ms.
    pub down_ms: u64,
    /// How late [`CallFault::Late`] takes effect, in ms.
    pub late_ms: u64,
    /// How far reports, events and lists lag behind, in ms, in place of the option of the kind.
    pub lag_ms: Option<u64>,
    /// The log hands records out in reverse order, and the first one twice.
    pub disorder: bool,
    /// Calls a second in place of the rate limit of the log.
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

/// What strikes one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Drawn {
    pub(crate) fault: Option<CallFault>,
    pub(crate) slow: f64,
    pub(crate) status: u16,
}

/// The switches with what is needed to draw from them.
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
        let mut held = self.faults.lock();
        *held = faults;
        self.calls.store(0, atomic::Ordering::Relaxed);
    }

    /// What strikes the next call, which came by `route` while `load` calls are in flight.
    pub(crate) fn draw(&self, route: Option<&str>, load: u32) -> Drawn {
        let before = self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        let faults = self.faults.lock();
        let strikes = faults.route.as_deref().is_none_or(|only| Some(only) == route)
            && faults.load.is_none_or(|least| load >= least)
            && faults.after.is_none_or(|after| before >= after);
        if !strikes {
            return Drawn { fault: None, slow: 1.0, status: faults.status };
        }
        let struck = faults.share >= 1.0 || self.random.lock().random::<f64>() < faults.share;
        let fault = faults.call.filter(|_| struck);
        Drawn { fault, slow: faults.slow, status: faults.status }
    }
}
