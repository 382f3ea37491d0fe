//! Comparison of the old and the new version of a service, by route and over all hosts.

use std::time;

use crate::id;
use crate::map;
use crate::message;
use crate::policy;
use crate::rollout::evidence;
use crate::rollout::statistic;

/// Number of calls of the new version between two comparisons of a route. A failed call of it is
/// followed by a comparison in any case.
const COMPARE_EVERY: u64 = 4;
/// Shortest time between two comparisons of all routes. Digests of peers do not come more often.
const COMPARE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Calls of the new version that each route needs in a step.
const MIN_ROUTE_CALLS: u64 = 10;
/// A route with less than one in this many of all calls need not reach `MIN_ROUTE_CALLS`.
const RARE_DIVISOR: u64 = 50;
/// A step goes on while, on any route, the new version has at least this many failed calls and its
/// failure rate exceeds the old one by more than `WAIT_RISE`.
const WAIT_FAILURES: u64 = 2;
/// See `WAIT_FAILURES`.
const WAIT_RISE: f64 = 0.1;
/// Additional latency ratio that is tolerated once a move is done. The old version's sample is then
/// from an earlier time, and the load changes latency as well.
const DONE_RATIO: f64 = 1.4;

/// Evidence about both versions.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    routes: map::FastMap<id::RouteId, evidence::Route>,
    /// All routes combined, which shows a fault common to all routes sooner than a single route
    /// does.
    combined: evidence::Route,
    /// When all routes were last compared.
    last_compared: id::Time,
}

impl Comparison {
    /// Adds a call of this host. Returns whether its route should be compared now.
    pub fn record(&mut self, new: bool, call: &policy::Call<'_>) -> bool {
        if !self.routes.contains_key(call.route) {
            self.routes.insert(call.route.into(), evidence::Route::default());
        }
        let Some(route) = self.routes.get_mut(call.route) else { return false };
        let sample = route.record(new, call);
        self.combined.count(new, &sample);
        let due = !call.good || statistic::calls(&route.total.new).is_multiple_of(COMPARE_EVERY);
        new && due
    }

    /// Adds a peer's calls, which are cumulative since its start.
    pub fn learn(&mut self, from: &str, peer: &message::Evidence) {
        let sample = policy::Sample {
            good: peer.good,
            bad: peer.bad,
            log_sum: peer.log_sum,
            log_squares: peer.log_squares,
        };
        let route = self.routes.entry(peer.route.clone()).or_default();
        let added = route.learn(from, peer.new, &sample);
        self.combined.count(peer.new, &added);
    }

    /// This host's calls, cumulative, as evidence about the move `id`.
    pub fn evidence(&self, id: &str) -> Vec<message::Evidence> {
        let sides = self.routes.iter().flat_map(|(route, known)| {
            [(route, false, known.own.old), (route, true, known.own.new)]
        });
        sides
            .filter(|(_, _, sample)| statistic::calls(sample) > 0)
            .map(|(route, new, sample)| message::Evidence {
                r#move: id.into(),
                route: route.clone(),
                new,
                good: sample.good,
                bad: sample.bad,
                log_sum: sample.log_sum,
                log_squares: sample.log_squares,
            })
            .collect()
    }

    /// What is wrong with the new version on one route, or on all combined, in any window.
    pub fn fault(
        &self,
        route: Option<&str>,
        judge: &dyn policy::Judge,
        done: bool,
    ) -> Option<String> {
        let known = match route {
            Some(route) => self.routes.get(route)?,
            None => &self.combined,
        };
        let allowance = if done { DONE_RATIO.ln() } else { 0.0 };
        let (verdict, pair) = known.windows().find_map(|evidence::Window { pair, kind }| {
            match judge.judge(&pair.old, &statistic::faster(&pair.new, allowance)) {
                policy::Verdict::Failing if kind != evidence::Kind::Latencies => {
                    Some(("failing", pair))
                }
                policy::Verdict::Slow if done || kind != evidence::Kind::Failures => {
                    Some(("slow", pair))
                }
                _ => None,
            }
        })?;
        Some(format!(
            "{verdict} on {}: {} of {} calls failed, {} of {} before; latency x{:.2}",
            route.map_or("all routes together".into(), |route| format!("route {route}")),
            pair.new.bad,
            statistic::calls(&pair.new),
            pair.old.bad,
            statistic::calls(&pair.old),
            ratio(&pair),
        ))
    }

    /// Whether all routes should be compared now: calls of the new version have been added since
    /// the last comparison, and that was at least `COMPARE_INTERVAL` ago.
    pub fn take_changed(&mut self, now: id::Time) -> bool {
        let changed = now >= self.last_compared + COMPARE_INTERVAL && self.combined.take_changed();
        if changed {
            self.last_compared = now;
        }
        changed
    }

    /// What is wrong on any route that got calls of the new version since the last call of this
    /// method, or else on all routes combined.
    pub fn changed_fault(&mut self, judge: &dyn policy::Judge, done: bool) -> Option<String> {
        let changed = self.routes.iter_mut();
        let changed: Vec<_> =
            changed.filter_map(|(id, route)| route.take_changed().then(|| id.clone())).collect();
        let fault = changed.iter().find_map(|route| self.fault(Some(route), judge, done));
        fault.or_else(|| self.fault(None, judge, done))
    }

    /// Begins a step of the ramp.
    pub fn begin_step(&mut self) {
        for route in self.routes.values_mut().chain([&mut self.combined]) {
            route.begin_step();
        }
    }

    /// Checks that this step has enough evidence that the new version is good.
    ///
    /// # Errors
    ///
    /// If it does not; the text says what is missing.
    pub fn check_step(&self, judge: &dyn policy::Judge) -> Result<(), String> {
        let both =
            |pair: &evidence::Pair| statistic::calls(&pair.old) + statistic::calls(&pair.new);
        let all = both(&self.combined.total);
        for (name, route) in &self.routes {
            let recent = route.recent();
            let got = statistic::calls(&recent.new);
            if both(&route.total) * RARE_DIVISOR >= all && got < MIN_ROUTE_CALLS {
                return Err(format!(
                    "{got} of {MIN_ROUTE_CALLS} calls on route {name} in this step"
                ));
            }
            let rise = statistic::rate(&recent.new) - statistic::rate(&recent.old);
            if recent.new.bad >= WAIT_FAILURES && rise > WAIT_RISE {
                return Err(format!("{} of {got} calls failed on route {name}", recent.new.bad));
            }
        }
        let pair = self.combined.recent();
        match judge.judge(&pair.old, &pair.new) {
            policy::Verdict::Good => Ok(()),
            _ => Err(format!("{} calls in this step don't tell yet", statistic::calls(&pair.new))),
        }
    }

    /// Calls of the old and of the new version over all hosts.
    pub fn calls(&self) -> (u64, u64) {
        let total = &self.combined.total;
        (statistic::calls(&total.old), statistic::calls(&total.new))
    }

    /// Number of samples held, for estimates of memory use.
    pub fn samples(&self) -> usize {
        self.routes.values().chain([&self.combined]).map(evidence::Route::samples).sum()
    }
}

/// Ratio of the new version's typical latency to the old one's.
fn ratio(pair: &evidence::Pair) -> f64 {
    (statistic::mean(&pair.new) - statistic::mean(&pair.old)).exp()
}
