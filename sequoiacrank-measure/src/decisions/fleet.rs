//! Simulates hosts that move a service between versions and exchange evidence twice a second.

use std::time;

use rand::RngExt as _;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::policy;
use sequoiacrank_kernel::policy::Moves as _;
use sequoiacrank_kernel::rollout;

use crate::random;

/// Start of the move, in seconds.
const START_S: u64 = 1_000;
/// Latest end of the move, in seconds.
const FINISH_S: u64 = 1_300;
/// Latest end of the move.
pub const FINISH: id::Time = time::Duration::from_secs(FINISH_S);
/// Largest share of requests on the new version before it is judged good, in thousandths.
const EARLY_PER_MILLE: u32 = 50;
const HOSTS: usize = 7;
/// Requests per second over all hosts.
const REQUESTS_PER_S: u64 = 50;
/// Digests per second from each host to all others.
const DIGESTS_PER_S: u64 = 2;
/// Routes and the share of requests on each, in percent.
const ROUTE_SHARES: [(&str, u32); 3] = [("bids", 60), ("appraisals", 30), ("lots", 10)];
/// Share of calls that fail on any version if no fault of the version adds failures.
const BASE_FAILURE_RATE: f64 = 0.005;
/// Standard deviation of the logarithm of the latency.
const LATENCY_DEVIATION: f64 = 0.4;
/// Number of calls of the new version after which a version with a delayed fault is bad.
const FAULT_DELAY_CALLS: u64 = 400;
/// A version with a load fault is bad while it gets at least this many calls per second.
const FAULT_CALLS_PER_S: u64 = 15;
/// Number of endpoints of the new version, one of which may reset calls.
const ENDPOINTS: u32 = 10;

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Like the old version.
    Good,
    /// Like the old version; from some time on, load makes both slower by half.
    GoodLoadRises,
    /// Like the old version; one of its endpoints resets all calls for 1 s at some time.
    GoodEndpointResets,
    /// Fails half of its calls.
    FailsHalf,
    /// Fails a tenth of its calls.
    FailsTenth,
    /// Fails half of its calls after a while.
    FailsLater,
    /// Fails half of its calls under load.
    FailsUnderLoad,
    /// Fails half of its calls on the rarest route.
    FailsOnRoute,
    /// Has twice the latency.
    Slow,
    /// Has twice the latency after a while.
    SlowLater,
    /// Has twice the latency under load.
    SlowUnderLoad,
}

impl Behavior {
    /// Name in the figures.
    pub fn title(self) -> &'static str {
        match self {
            Behavior::Good => "good",
            Behavior::GoodLoadRises => "good, load slows both x1.5",
            Behavior::GoodEndpointResets => "good, 1 of 10 endpoints resets for 1 s",
            Behavior::FailsHalf => "fails 50% at once",
            Behavior::FailsTenth => "fails 10% at once",
            Behavior::FailsLater => "fails 50% later",
            Behavior::FailsUnderLoad => "fails 50% under load",
            Behavior::FailsOnRoute => "fails 50% on one route of 10%",
            Behavior::Slow => "slow x2 at once",
            Behavior::SlowLater => "slow x2 later",
            Behavior::SlowUnderLoad => "slow x2 under load",
        }
    }
}

/// Outcome of one simulated move.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Time and kind of the end of the move, if it ended.
    pub end: Option<(id::Time, log::Latch)>,
    /// Calls of the new version while it was bad.
    pub bad_calls: u64,
    /// Number of requests during the move.
    pub requests: u64,
}

struct Fleet {
    hosts: Vec<rollout::Rollout>,
    random: random::Random,
    behavior: Behavior,
    /// Calls of the new version so far.
    new_calls: u64,
    /// Calls of the new version in the previous second.
    recent_calls: u64,
    /// Second from which load is higher, or in which an endpoint resets calls.
    event_second: u64,
    trial: Trial,
}

/// Simulates one move that the policy `judge` decides. Each `trial` has its own random numbers.
pub fn run(seed: u64, trial: u64, judge: &str, behavior: Behavior) -> Trial {
    let plan = move_plan(judge);
    let host = || {
        let mut host = rollout::Rollout::default();
        host.apply_plan(time::Duration::from_secs(START_S), &plan);
        host
    };
    let mut random = random::for_trial(seed, trial);
    let mut fleet = Fleet {
        hosts: (0..HOSTS).map(|_| host()).collect(),
        event_second: random.random_range(START_S..FINISH_S),
        random,
        behavior,
        new_calls: 0,
        recent_calls: 0,
        trial: Trial { end: None, bad_calls: 0, requests: 0 },
    };
    for second in START_S..=FINISH_S {
        fleet.run_second(second);
    }
    fleet.trial
}

impl Fleet {
    fn run_second(&mut self, second: u64) {
        let before = self.new_calls;
        let start = time::Duration::from_secs(second);
        for index in 0..REQUESTS_PER_S {
            let now = start + time::Duration::from_secs(1) * index as u32 / REQUESTS_PER_S as u32;
            self.call(now, second);
            if (index + 1).is_multiple_of(REQUESTS_PER_S / DIGESTS_PER_S) {
                self.exchange_evidence(now);
            }
        }
        self.recent_calls = self.new_calls - before;
    }

    fn call(&mut self, now: id::Time, second: u64) {
        let host = self.random.random_range(0..HOSTS);
        let request = random::request_id(&mut self.random);
        let Some(version) = self.hosts[host].version(now, "service", request) else { return };
        let (new, route) = (version == "new", self.pick_route());
        let bad = new && self.is_bad(route);
        self.trial.requests += 1;
        self.trial.bad_calls += u64::from(bad);
        self.new_calls += u64::from(new);
        let failed =
            self.random.random_bool(self.failure_rate(bad)) || new && self.is_reset(second);
        let good = !failed;
        let factor = self.latency_factor(bad, second)
            * (LATENCY_DEVIATION * random::normal(&mut self.random)).exp();
        let taken = time::Duration::from_secs_f64(0.1 * factor);
        let call = policy::Call { service: "service", version: &version, route, good, taken };
        self.hosts[host].record_end(now, &call);
    }

    fn pick_route(&mut self) -> &'static str {
        let mut percent = self.random.random_range(0..100);
        for (route, share) in ROUTE_SHARES {
            if percent < share {
                return route;
            }
            percent -= share;
        }
        ROUTE_SHARES[0].0
    }

    /// Whether the new version is bad for a call on this route.
    fn is_bad(&self, route: &str) -> bool {
        match self.behavior {
            Behavior::Good | Behavior::GoodLoadRises | Behavior::GoodEndpointResets => false,
            Behavior::FailsHalf | Behavior::FailsTenth | Behavior::Slow => true,
            Behavior::FailsLater | Behavior::SlowLater => self.new_calls >= FAULT_DELAY_CALLS,
            Behavior::FailsUnderLoad | Behavior::SlowUnderLoad => {
                self.recent_calls >= FAULT_CALLS_PER_S
            }
            Behavior::FailsOnRoute => route == ROUTE_SHARES[2].0,
        }
    }

    fn failure_rate(&self, bad: bool) -> f64 {
        match self.behavior {
            Behavior::FailsTenth if bad => 0.1,
            Behavior::FailsHalf
            | Behavior::FailsLater
            | Behavior::FailsUnderLoad
            | Behavior::FailsOnRoute
                if bad =>
            {
                0.5
            }
            _ => BASE_FAILURE_RATE,
        }
    }

    fn latency_factor(&self, bad: bool, second: u64) -> f64 {
        match self.behavior {
            Behavior::Slow | Behavior::SlowLater | Behavior::SlowUnderLoad if bad => 2.0,
            Behavior::GoodLoadRises if second >= self.event_second => 1.5,
            _ => 1.0,
        }
    }

    /// Whether the call goes to the endpoint that resets calls, in the second in which it does.
    fn is_reset(&mut self, second: u64) -> bool {
        self.behavior == Behavior::GoodEndpointResets
            && (self.event_second..self.event_second + 1).contains(&second)
            && self.random.random_range(0..ENDPOINTS) == 0
    }

    /// Sends the evidence of each host to all others, and applies new latches on all hosts.
    fn exchange_evidence(&mut self, now: id::Time) {
        let evidence: Vec<_> = self.hosts.iter().map(|host| host.evidence()).collect();
        for (to, host) in self.hosts.iter_mut().enumerate() {
            for (from, evidence) in evidence.iter().enumerate().filter(|(from, _)| *from != to) {
                host.learn(now, &format!("host {from}"), evidence);
            }
        }
        let latches: Vec<_> = self.hosts.iter_mut().flat_map(|host| host.tick(now)).collect();
        for (latch, _) in latches {
            self.hosts.iter_mut().for_each(|host| host.apply_latch(now, &latch));
            self.record_end(now, latch);
        }
    }

    /// Records the end of the move; taken back takes precedence over done.
    fn record_end(&mut self, now: id::Time, latch: log::Latch) {
        let replaces = matches!(
            (&self.trial.end, &latch),
            (None, _) | (Some((_, log::Latch::Done(_))), log::Latch::TakenBack(_))
        );
        if replaces {
            self.trial.end = Some((now, latch));
        }
    }
}

/// A plan with one move under the given policy.
fn move_plan(judge: &str) -> plan::Plan {
    let mut plan = plan::Plan::default();
    plan.policies.judge = judge.into();
    let service = plan::Service {
        kind: plan::Kind::Plain,
        version: "old".into(),
        cold: 1,
        full: 8,
        fenced: false,
    };
    plan.services.insert("service".into(), service);
    let endpoint = plan::Endpoint {
        service: "service".into(),
        version: "old".into(),
        zone: "zone".into(),
        address: ([127, 0, 0, 1], 1).into(),
        leaving: false,
    };
    plan.endpoints.insert("endpoint".into(), endpoint);
    let spec = plan::Move {
        service: "service".into(),
        from: "old".into(),
        to: "new".into(),
        start: time::Duration::from_secs(START_S),
        finish: FINISH,
        early: EARLY_PER_MILLE,
    };
    plan.moves.insert("move".into(), spec);
    plan
}
