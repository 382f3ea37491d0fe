//! The old and the new version of a service side by side, route by route, over all hosts.

use std::time;

use crate::id;
use crate::map;
use crate::message;
use crate::policy;
use crate::rollout::evidence;
use crate::rollout::statistic;

/// Every how many good calls of the new version its route is compared; after bad ones always.
const COMPARE_EVERY: u64 = 4;
/// Shortest time between two comparisons of all routes; digests of peers come no faster.
const COMPARE_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Calls of the new version that a route needs in each step.
const MIN_ROUTE: u64 = 10;
/// Inverse of the share of all calls below which a route is not waited for.
const RARE_ROUTE: u64 = 50;
/// Failed calls of the new version on a route, and rise of its rate of failures, that are waited out.
const SUSPECT_CALLS: u64 = 2;
const SUSPECT_RISE: f64 = 0.1;
/// Further ratio of latencies that is tolerated once a move is done: the old version's sample is then of
/// an earlier time, and load changes latency as well.
const DONE_ALLOWANCE: f64 = 1.4;

/// Evidence about both versions.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    routes: map::FastMap<id::RouteId, evidence::Route>,
    /// All routes together, which shows a fault that all of them share sooner than each alone.
    pool: evidence::Route,
    /// When all routes were last compared.
    compared: id::Time,
}

impl Comparison {
    /// Counts a call of this host. Returns whether its route is to be compared now.
    pub fn ended(&mut self, new: bool, call: &policy::Call<'_>) -> bool {
        if !self.routes.contains_key(call.route) {
            self.routes.insert(call.route.into(), evidence::Route::default());
        }
        let Some(route) = self.routes.get_mut(call.route) else { return false };
        let sample = route.ended(new, call);
        self.pool.count(new, &sample);
        let due = !call.good || statistic::calls(&route.total.new).is_multiple_of(COMPARE_EVERY);
        new && due
    }

    /// Counts a peer's calls, which are cumulative since its start.
    pub fn learn(&mut self, from: &str, told: &message::Evidence) {
        let sample = policy::Sample {
            good: told.good,
            bad: told.bad,
            log_sum: told.log_sum,
            log_squares: told.log_squares,
        };
        let route = self.routes.entry(told.route.clone()).or_default();
        let more = route.learn(from, told.new, &sample);
        self.pool.count(told.new, &more);
    }

    /// This host's calls, cumulative, as evidence about the move `id`.
    pub fn told(&self, id: &str) -> Vec<message::Evidence> {
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

    /// What is wrong with the new version on one route, or on all together, over all windows.
    pub fn fault(
        &self,
        route: Option<&str>,
        judge: &dyn policy::Judge,
        done: bool,
    ) -> Option<String> {
        let known = match route {
            Some(route) => self.routes.get(route)?,
            None => &self.pool,
        };
        let allowance = if done { DONE_ALLOWANCE.ln() } else { 0.0 };
        let (what, pair) =
            known.windows().find_map(|evidence::Window { pair, kind }| {
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
            "{what} on {}: {} of {} calls failed, {} of {} before; latency x{:.2}",
            route.map_or("all routes together".into(), |route| format!("route {route}")),
            pair.new.bad,
            statistic::calls(&pair.new),
            pair.old.bad,
            statistic::calls(&pair.old),
            ratio(&pair),
        ))
    }

    /// Whether all routes are to be compared now: calls of the new version were added since the last time,
    /// and that is long enough ago.
    pub fn take_news(&mut self, now: id::Time) -> bool {
        let news = now >= self.compared + COMPARE_PAUSE && self.pool.take_news();
        if news {
            self.compared = now;
        }
        news
    }

    /// What is wrong on any route that got calls of the new version since this was last asked.
    pub fn news_fault(&mut self, judge: &dyn policy::Judge, done: bool) -> Option<String> {
        let news = self.routes.iter_mut();
        let news: Vec<_> =
            news.filter_map(|(id, route)| route.take_news().then(|| id.clone())).collect();
        let fault = news.iter().find_map(|route| self.fault(Some(route), judge, done));
        fault.or_else(|| self.fault(None, judge, done))
    }

    /// Begins a step of the ramp.
    pub fn begin_step(&mut self) {
        for route in self.routes.values_mut().chain([&mut self.pool]) {
            route.begin_step();
        }
    }

    /// Whether this step has shown enough, or what it still lacks.
    pub fn enough(&self, judge: &dyn policy::Judge) -> Result<(), String> {
        let both =
            |pair: &evidence::Pair| statistic::calls(&pair.old) + statistic::calls(&pair.new);
        let whole = both(&self.pool.total);
        for (name, route) in &self.routes {
            let recent = route.recent();
            let got = statistic::calls(&recent.new);
            if both(&route.total) * RARE_ROUTE >= whole && got < MIN_ROUTE {
                return Err(format!("{got} of {MIN_ROUTE} calls on route {name} in this step"));
            }
            let rise = statistic::rate(&recent.new) - statistic::rate(&recent.old);
            if recent.new.bad >= SUSPECT_CALLS && rise > SUSPECT_RISE {
                return Err(format!("{} of {got} calls failed on route {name}", recent.new.bad));
            }
        }
        let pair = self.pool.recent();
        match judge.judge(&pair.old, &pair.new) {
            policy::Verdict::Good => Ok(()),
            _ => Err(format!("{} calls in this step don't tell yet", statistic::calls(&pair.new))),
        }
    }

    /// Calls of the old and of the new version over all hosts.
    pub fn calls(&self) -> (u64, u64) {
        let total = &self.pool.total;
        (statistic::calls(&total.old), statistic::calls(&total.new))
    }

    /// Number of samples held, for estimates of memory.
    pub fn samples(&self) -> usize {
        self.routes.values().chain([&self.pool]).map(evidence::Route::samples).sum()
    }
}

/// Ratio of the new version's typical latency to the old one's.
fn ratio(pair: &evidence::Pair) -> f64 {
    (statistic::mean(&pair.new) - statistic::mean(&pair.old)).exp()
}
