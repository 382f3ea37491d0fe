//! How many endpoints a service needs in each availability zone.
//!
//! New endpoints serve only after their boot time, so the number rises at once with the demand and
//! falls slowly. All times are those of the holder's steady clock.

pub mod dispatch;
pub mod reports;

use std::collections;
use std::time;

use crate::edge::catalog;
use crate::id;

/// Time for which a peak of the demand counts. Shorter waves of the load must not remove endpoints
/// that the next wave needs.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(30);
/// Share of an endpoint's slots that is planned for. Beyond half of them each token takes clearly
/// longer, and the other half takes the growth of the load during the boot time.
const USED_SLOTS: f64 = 0.5;
/// Observed time for which fewer endpoints must suffice before any is removed.
const STABILIZATION_TIME: time::Duration = time::Duration::from_secs(10);
/// Time between two reductions in a zone, in which their effect on the load shows.
const REDUCTION_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// One of this number of endpoints is removed at a time, so that the rest takes over little work.
const REDUCTION_DIVISOR: u32 = 8;
/// One endpoint for this number of present ones is added at least when work is refused, as the
/// demand that could not be served is only partly known.
const REFUSAL_DIVISOR: u32 = 4;
/// Time beyond the boot time until the endpoints of an order are known: the call and registration.
const KNOWN_TIME: time::Duration = time::Duration::from_secs(2);
/// Time for which a new holder waits for the reports of all hosts. After it, it adds endpoints for
/// the demand that it knows, as a host may be alive and cut off from the holder.
const REPORT_WAIT: time::Duration = time::Duration::from_secs(10);
/// Longest time between two decisions that counts as observed; a longer one is a pause of the
/// process.
const MAX_OBSERVED_STEP: time::Duration = time::Duration::from_secs(2);

/// A service and an availability zone.
pub type Subject = (id::ServiceId, id::ZoneId);

/// Endpoints of a service in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Zone {
    /// Endpoints in full service.
    pub ready: u32,
    /// Endpoints that are registered but still cold.
    pub starting: u32,
    /// Endpoints that are leaving.
    pub leaving: u32,
    /// Whether operators have taken the zone out of service.
    pub out: bool,
}

impl Zone {
    /// Endpoints that stay.
    fn present(&self) -> u32 {
        self.ready + self.starting
    }
}

/// What the holder knows of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Bounds on the number of endpoints in each zone, and their boot time.
    pub bounds: catalog::Scaling,
    /// Zones with endpoints, and those out of service.
    pub zones: collections::BTreeMap<id::ZoneId, Zone>,
    /// Mean slots of an endpoint; zero if none is registered.
    pub slots: f64,
    /// Calls in flight at all hosts.
    pub running: u32,
    /// Requests that were refused since the last decision for lack of an endpoint with room.
    pub refused: u32,
    /// Whether the reports of all hosts are included.
    pub complete: bool,
}

/// Why a number is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The demand needs more endpoints.
    Demand,
    /// Work was refused.
    Refused,
    /// Fewer endpoints have sufficed for the stabilization time.
    Idle,
    /// The last number lies outside the configured bounds.
    Bounds,
}

impl Reason {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Demand => "demand",
            Reason::Refused => "work refused",
            Reason::Idle => "fewer suffice",
            Reason::Bounds => "configured bounds",
        }
    }
}

/// A change of the number of endpoints of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Availability zone.
    pub zone: id::ZoneId,
    /// Number of endpoints that the zone is to have.
    pub count: u32,
    /// Number before.
    pub before: u32,
    /// Number that the demand requires.
    pub required: u32,
    /// Largest demand in the window, in calls.
    pub demand: u32,
    /// Why it changes.
    pub reason: Reason,
}

/// State of one zone.
#[derive(Clone, Debug, Default)]
struct ZoneState {
    /// Number that was ordered last, if any.
    desired: Option<u32>,
    /// Largest number of endpoints seen; in place of `desired` while nothing was ordered. Crashed
    /// endpoints return without an order.
    seen: u32,
    /// Observed time for which fewer endpoints have sufficed.
    lower: time::Duration,
    /// Time of the last reduction.
    reduced_at: Option<id::Time>,
}

impl ZoneState {
    /// Number of endpoints that the zone has or is about to have.
    fn count(&self) -> u32 {
        self.desired.unwrap_or(self.seen)
    }
}

/// State of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    zones: collections::BTreeMap<id::ZoneId, ZoneState>,
    /// Demand in calls by the time of its observation.
    demand: collections::VecDeque<(id::Time, u32)>,
    /// Mean slots of an endpoint, kept while none is registered.
    slots: f64,
    /// Time of the first and of the last observation.
    span: Option<(id::Time, id::Time)>,
    /// Whether there was any demand, or an earlier holder has ordered endpoints.
    begun: bool,
    /// Whether all hosts have reported, or [`REPORT_WAIT`] is over.
    informed: bool,
    /// Time of the last increase for refused work.
    refused_at: Option<id::Time>,
    /// Time since which the demand was observed without a gap.
    observed_since: id::Time,
}

impl Service {
    /// Records an observation. Returns the time since the last one.
    fn record(&mut self, now: id::Time, seen: &Observation) -> time::Duration {
        for (zone, it) in &seen.zones {
            let state = self.zones.entry(zone.clone()).or_default();
            state.seen = state.seen.max(it.present());
        }
        if seen.slots > 0.0 {
            self.slots = seen.slots;
        }
        let demand = seen.running.saturating_add(seen.refused);
        self.begun |= demand > 0;
        self.demand.push_back((now, demand));
        while self.demand.front().is_some_and(|&(at, _)| now > at + DEMAND_WINDOW) {
            self.demand.pop_front();
        }
        let (first, last) = self.span.unwrap_or((now, now));
        let step = now.saturating_sub(last);
        if self.span.is_none() || step > MAX_OBSERVED_STEP {
            self.observed_since = now;
            self.zones.values_mut().for_each(|zone| zone.lower = time::Duration::ZERO);
        }
        self.span = Some((first, now));
        self.informed |= seen.complete || now >= first + REPORT_WAIT;
        step.min(MAX_OBSERVED_STEP)
    }

    /// Whether the window of the demand holds no gap. A new holder does not know the last peak.
    fn is_window_full(&self, now: id::Time) -> bool {
        now >= self.observed_since + DEMAND_WINDOW
    }

    /// Largest demand in the window, in calls.
    fn peak(&self) -> u32 {
        self.demand.iter().map(|&(_, demand)| demand).max().unwrap_or_default()
    }

    /// Number of endpoints that each zone needs to carry `demand` without the zones that may be
    /// lost. Zones out of service are among these. While no endpoint has shown its slots, one has to
    /// come first.
    fn required(&self, demand: u32, seen: &Observation, lost: u32) -> u32 {
        if self.slots <= 0.0 {
            return u32::from(demand > 0).clamp(seen.bounds.min, seen.bounds.max);
        }
        let out = seen.zones.values().filter(|zone| zone.out).count();
        let left = self.zones.len().saturating_sub(out.max(lost as usize)).max(1);
        let capacity = self.slots * USED_SLOTS * left as f64;
        let needed = (f64::from(demand) / capacity).ceil();
        // The conversion saturates, and bounds whose order is wrong are not decoded.
        (needed as u32).max(seen.bounds.min).min(seen.bounds.max)
    }

    /// Whether the step for refused work is due. A further one has to wait until the endpoints of
    /// the last one serve; otherwise the number would reach its maximum within one boot time.
    fn is_step_due(&mut self, now: id::Time, seen: &Observation) -> bool {
        let wait = seen.bounds.boot + KNOWN_TIME;
        let due = seen.refused > 0 && self.refused_at.is_none_or(|at| now >= at + wait);
        if due {
            self.refused_at = Some(now);
        }
        due
    }

    /// Whether all endpoints that were ordered serve and no zone is out of service. Otherwise the
    /// demand does not show how many are needed.
    fn is_steady(&self, seen: &Observation) -> bool {
        self.zones.iter().all(|(zone, state)| {
            let it = seen.zones.get(zone).copied().unwrap_or_default();
            !it.out && it.starting == 0 && it.ready >= state.count()
        })
    }
}

/// Chooses the number of endpoints of each service.
#[derive(Clone, Debug)]
pub struct Scaler {
    /// Number of zones that may be lost at the same time.
    lost: u32,
    services: collections::BTreeMap<id::ServiceId, Service>,
}

impl Scaler {
    /// Creates the state of a new holder. `lost` is the number of zones that may be lost at the
    /// same time, and `desired` what earlier holders have ordered.
    pub fn new(lost: u32, desired: &collections::BTreeMap<Subject, u32>) -> Self {
        let mut services: collections::BTreeMap<id::ServiceId, Service> =
            collections::BTreeMap::new();
        for ((service, zone), &count) in desired {
            let service = services.entry(service.clone()).or_default();
            service.begun = true;
            let state = ZoneState { desired: Some(count), ..ZoneState::default() };
            service.zones.insert(zone.clone(), state);
        }
        Scaler { lost, services }
    }

    /// Whether orders for a service may be sent: all hosts have reported, or the wait for them is
    /// over.
    pub fn is_informed(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|it| it.informed)
    }

    /// The numbers that the zones are to have, as far as any was ordered.
    pub fn desired(&self) -> impl Iterator<Item = (Subject, u32)> {
        self.services.iter().flat_map(|(service, state)| {
            let zones = state.zones.iter();
            zones.filter_map(|(zone, it)| Some(((service.clone(), zone.clone()), it.desired?)))
        })
    }

    /// Forgets services for which `is_scaled` returns false.
    pub fn retain<F>(&mut self, is_scaled: F)
    where
        F: Fn(&str) -> bool,
    {
        self.services.retain(|service, _| is_scaled(service));
    }

    /// Records an observation of a service and returns the numbers that change. To be called once
    /// a second.
    pub fn decide(&mut self, now: id::Time, service: &str, seen: &Observation) -> Vec<Order> {
        let state = self.services.entry(service.to_owned()).or_default();
        let elapsed = state.record(now, seen);
        // Registered endpoints without any slots show no need.
        let slotless = state.slots <= 0.0 && seen.zones.values().any(|zone| zone.present() > 0);
        if !state.begun || !state.informed || slotless {
            return Vec::new();
        }
        let demand = state.peak();
        let required = state.required(demand, seen, self.lost);
        let step = state.is_step_due(now, seen);
        let known = state.is_window_full(now) && seen.complete;
        let steady = known && state.is_steady(seen) && seen.refused == 0;
        let context = Context { now, elapsed, required, demand, step, steady };
        let is_out = |zone: &str| seen.zones.get(zone).is_some_and(|it| it.out);
        let zones = state.zones.iter_mut().filter(|(zone, _)| !is_out(zone));
        let orders = zones.filter_map(|(zone, state)| context.order(zone, state, &seen.bounds));
        orders.collect()
    }
}

/// What the orders for all zones of a service follow from.
struct Context {
    now: id::Time,
    /// Observed time since the last decision.
    elapsed: time::Duration,
    required: u32,
    demand: u32,
    /// Whether the step for refused work is due.
    step: bool,
    /// Whether endpoints may be removed.
    steady: bool,
}

impl Context {
    /// The order for a zone, if its number changes.
    fn order(&self, zone: &str, state: &mut ZoneState, bounds: &catalog::Scaling) -> Option<Order> {
        let before = state.count();
        let (count, reason) = self.target(state, before, bounds);
        if count == before {
            return None;
        }
        if count < before {
            state.reduced_at = Some(self.now);
        }
        state.desired = Some(count);
        let (required, demand) = (self.required, self.demand);
        Some(Order { zone: zone.to_owned(), count, before, required, demand, reason })
    }

    /// The number that a zone with `before` endpoints is to have.
    fn target(
        &self,
        state: &mut ZoneState,
        before: u32,
        bounds: &catalog::Scaling,
    ) -> (u32, Reason) {
        // An incomplete observation shows neither that fewer suffice nor that they do not.
        match () {
            () if self.required >= before => state.lower = time::Duration::ZERO,
            () if self.steady => state.lower += self.elapsed,
            () => {}
        }
        let stepped = before.saturating_add(before.div_ceil(REFUSAL_DIVISOR)).min(bounds.max);
        let rested = state.reduced_at.is_none_or(|at| self.now >= at + REDUCTION_INTERVAL);
        let idle = self.steady && rested && state.lower >= STABILIZATION_TIME;
        match () {
            () if before > bounds.max => (bounds.max, Reason::Bounds),
            () if self.step && stepped > before.max(self.required) => (stepped, Reason::Refused),
            () if before < bounds.min && self.required == bounds.min => {
                (bounds.min, Reason::Bounds)
            }
            () if self.required > before => (self.required, Reason::Demand),
            () if idle && self.required < before => {
                let reduced = before - (before / REDUCTION_DIVISOR).max(1);
                (reduced.max(self.required), Reason::Idle)
            }
            () => (before, Reason::Demand),
        }
    }
}
