//! Bursts, cold starts, urgent beside patient requests, a zone outage, and a stage whose calls all
//! fail.

use std::time;

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::plan;

use crate::decisions;
use crate::decisions::endpoint;
use crate::decisions::simulation;
use crate::figure;

const HOSTS: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Services and their numbers of endpoints; an endpoint sustains `COLD` to `FULL` concurrent calls.
const SERVICES: [(&str, usize); 4] =
    [("encode", 3), ("retrieve", 3), ("rerank", 3), ("generate", 9)];
const COLD: u32 = 2;
const FULL: u32 = 8;
/// Calls per second that the generating stage sustains when warm: 9 endpoints run `FULL` concurrent
/// calls of 1 s each, so it also equals the number of concurrent calls.
const CAPACITY: f64 = 72.0;
const DEADLINE: time::Duration = time::Duration::from_secs(8);
const PATIENT_DEADLINE: time::Duration = time::Duration::from_secs(60);
/// Time after which no new call may go into a zone that was taken out.
const MAX_ZONE_EXIT: time::Duration = time::Duration::from_secs(3);

/// A policy that replaces a default one; all others stay at their defaults.
#[derive(Clone, Copy)]
enum Policy {
    /// All defaults.
    Default,
    /// No limit on the calls to an endpoint.
    Unlimited,
    /// Queues serve requests in order of arrival.
    Fifo,
    /// Endpoints are used in turn.
    RoundRobin,
    /// A fixed number of attempts.
    Fixed,
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Policy::Default => "default",
            Policy::Unlimited => "limit none",
            Policy::Fifo => "queue fifo",
            Policy::RoundRobin => "round-robin",
            Policy::Fixed => "retry fixed",
        }
    }

    fn apply(self, policies: &mut plan::Policies) {
        match self {
            Policy::Default => {}
            Policy::Unlimited => policies.limit = "none".into(),
            Policy::Fifo => policies.queue = "fifo".into(),
            Policy::RoundRobin => policies.placement = "round-robin".into(),
            Policy::Fixed => policies.retry = "fixed".into(),
        }
    }
}

/// Measures all figures of this module.
pub fn run(options: &decisions::Options) -> Vec<figure::Figure> {
    let mut figures = burst(options.seed);
    figures.extend(cold_start(options.seed));
    figures.extend(urgent_and_patient(options.seed));
    figures.extend(zone_outage(options.seed));
    figures.extend(failing_stage(options.seed));
    figures
}

/// Results under the default policies and under a baseline.
struct Comparison<T> {
    chosen: T,
    baseline: T,
    baseline_name: &'static str,
}

impl<T> Comparison<T> {
    fn new<R>(baseline: Policy, run: R) -> Comparison<T>
    where
        R: Fn(Policy) -> T,
    {
        Comparison {
            chosen: run(Policy::Default),
            baseline: run(baseline),
            baseline_name: baseline.name(),
        }
    }

    /// Creates a figure from one value of each result.
    fn figure<P>(&self, matter: &str, unit: &str, target: figure::Target, pick: P) -> figure::Figure
    where
        P: Fn(&T) -> f64,
    {
        let chosen = (Policy::Default.name(), pick(&self.chosen));
        figure::figure(
            matter,
            unit,
            target,
            chosen,
            Some((self.baseline_name, pick(&self.baseline))),
        )
    }
}

/// Results of a burst.
struct Burst {
    /// Shares of the requests sent during and after it that were answered in time.
    attained: [f64; 2],
    /// Start of the burst.
    start: id::Time,
    /// Concurrent calls that hosts allow at its end, as a share of those that endpoints sustain.
    slots: f64,
    simulation: simulation::Simulation,
}

/// Sends twice the capacity for a minute.
fn burst(seed: u64) -> Vec<figure::Figure> {
    let run = |policy: Policy| {
        let mut simulation = warm(policy, seed);
        let start = simulation.now;
        simulation.run(secs(60), &[("ask", 2.0 * CAPACITY)]);
        let slots = simulation.slots("generate") as f64 / CAPACITY;
        let burst_end = simulation.now;
        simulation.run(DEADLINE, &[("ask", 0.5 * CAPACITY)]);
        let after_start = simulation.now;
        simulation.run(secs(20), &[("ask", 0.5 * CAPACITY)]);
        let after_end = simulation.now;
        simulation.run(DEADLINE, &[]);
        let attained = [
            simulation.attained_share(None, start, burst_end),
            simulation.attained_share(None, after_start, after_end),
        ];
        Burst { attained, start, slots, simulation }
    };
    let runs = Comparison::new(Policy::Fifo, run);
    let matter = "burst of twice the capacity for 60 s";
    let more = figure::Target::More;
    let mut figures = vec![
        runs.figure(matter, "share attained (0.5 = capacity)", more, |run| run.attained[0]),
        runs.figure("after the burst, at half the capacity", "share attained", more, |run| {
            run.attained[1]
        }),
        runs.figure(matter, "endpoint crashes", figure::Target::Most(0.0), |run| {
            crashes(&run.simulation)
        }),
    ];
    let slots = (Policy::Default.name(), runs.chosen.slots);
    figures.push(figure::figure(
        matter,
        "slots at its end, share of those borne",
        more,
        slots,
        None,
    ));
    for (service, _) in SERVICES {
        let unit = format!("endpoint-ms per answer, {service}");
        let cost = |run: &Burst| cost_per_answer(&run.simulation, run.start, service);
        figures.push(runs.figure(matter, &unit, figure::Target::Less, cost));
    }
    figures
}

/// All endpoints start cold under nearly as much load as they sustain when warm.
fn cold_start(seed: u64) -> Vec<figure::Figure> {
    let run = |policy: Policy| {
        let mut simulation = simulation::Simulation::new(HOSTS, make_plan(policy, 1), seed);
        let from = simulation.now;
        simulation.run(secs(30), &[("ask", 0.9 * CAPACITY)]);
        let to = simulation.now;
        simulation.run(DEADLINE, &[]);
        (simulation.attained_share(None, from, to), simulation)
    };
    let runs = Comparison::new(Policy::Unlimited, run);
    let matter = "cold start of all endpoints";
    vec![
        runs.figure(matter, "calls over what one bears", figure::Target::Most(0.0), |run| {
            max_overload(&run.1)
        }),
        runs.figure(matter, "endpoint crashes", figure::Target::Most(0.0), |run| crashes(&run.1)),
        runs.figure(matter, "share attained in 30 s", figure::Target::More, |run| run.0),
    ]
}

/// Urgent bids beside patient reviews that fill the queue, and the reverse.
fn urgent_and_patient(seed: u64) -> Vec<figure::Figure> {
    let run = |policy: Policy, bids: f64, reviews: f64| {
        let mut simulation = warm(policy, seed);
        let from = simulation.now;
        simulation.run(secs(60), &[("bid", bids * CAPACITY), ("review", reviews * CAPACITY)]);
        let to = simulation.now;
        simulation.run(PATIENT_DEADLINE, &[]);
        ["bid", "review"].map(|route| simulation.attained_share(Some(route), from, to))
    };
    let [mostly_reviews, mostly_bids] = [(0.1, 2.0), (2.0, 0.1)]
        .map(|(bids, reviews)| Comparison::new(Policy::Fifo, |policy| run(policy, bids, reviews)));
    let least = figure::Target::Least(0.99);
    let more = figure::Target::More;
    let (reviews_matter, bids_matter) =
        ("reviews at twice the capacity", "bids at twice the capacity");
    vec![
        mostly_reviews.figure(reviews_matter, "share of bids attained", least, |run| run[0]),
        mostly_reviews.figure(reviews_matter, "share of reviews attained", more, |run| run[1]),
        mostly_bids.figure(bids_matter, "share of reviews attained", more, |run| run[1]),
        mostly_bids.figure(bids_matter, "share of bids attained", more, |run| run[0]),
    ]
}

/// A zone is taken out and comes back cold, under half the capacity.
fn zone_outage(seed: u64) -> Vec<figure::Figure> {
    let run = |policy: Policy| {
        let mut simulation = warm(policy, seed);
        let from = simulation.now;
        let load = [("ask", 0.5 * CAPACITY)];
        let mut plan = make_plan(policy, 2);
        plan.zones.entry("b".into()).and_modify(|zone| zone.out = true);
        let zone_endpoints: Vec<_> = plan
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.zone == "b")
            .map(|(id, _)| id.clone())
            .collect();
        simulation.apply_plan(plan);
        let out = simulation.now;
        simulation.run(secs(20), &load);
        let back = simulation.now;
        let calls_between = |from: id::Time, to: id::Time| {
            let matches = |call: &&simulation::Dispatch| {
                (from..to).contains(&call.at) && zone_endpoints.contains(&call.endpoint)
            };
            simulation.dispatches.iter().filter(matches).count() as f64
        };
        let counts = [calls_between(out, back), calls_between(out + MAX_ZONE_EXIT, back)];
        for id in &zone_endpoints {
            if let Some(endpoint) = simulation.endpoints.get_mut(id) {
                endpoint.restart(back);
            }
        }
        simulation.apply_plan(make_plan(policy, 3));
        simulation.run(secs(20), &load);
        let to = simulation.now;
        simulation.run(DEADLINE, &[]);
        (counts, simulation.attained_share(None, from, to), max_overload(&simulation))
    };
    let runs = Comparison::new(Policy::RoundRobin, run);
    let matter = "zone out for 20 s and back cold";
    let most = figure::Target::Most(0.0);
    vec![
        runs.figure(matter, "calls into it after 3 s", most, |run| run.0[1]),
        runs.figure(matter, "calls into it at all", figure::Target::Less, |run| run.0[0]),
        runs.figure(matter, "share attained", figure::Target::Least(0.99), |run| run.1),
        runs.figure(matter, "calls over what one bears", most, |run| run.2),
    ]
}

/// All calls of the second stage fail.
fn failing_stage(seed: u64) -> Vec<figure::Figure> {
    let run = |policy: Policy| {
        let mut simulation = warm(policy, seed);
        let service = "retrieve";
        simulation.endpoints.values_mut().filter(|endpoint| endpoint.service == service).for_each(
            |endpoint| {
                endpoint.failing = true;
                endpoint.calls = 0;
            },
        );
        let before = simulation.request_count();
        simulation.run(secs(20), &[("ask", 0.5 * CAPACITY)]);
        simulation.run(DEADLINE, &[]);
        let matches = |endpoint: &&endpoint::Endpoint| endpoint.service == service;
        let calls: u64 =
            simulation.endpoints.values().filter(matches).map(|endpoint| endpoint.calls).sum();
        calls as f64 / (simulation.request_count() - before) as f64
    };
    let runs = Comparison::new(Policy::Fixed, run);
    let target = figure::Target::Most(1.1);
    let matter = "stage that fails fully, through all decisions";
    vec![runs.figure(matter, "calls/request", target, |run| *run)]
}

/// Creates a simulation whose endpoints are warm and whose counts start anew.
fn warm(policy: Policy, seed: u64) -> simulation::Simulation {
    let mut simulation = simulation::Simulation::new(HOSTS, make_plan(policy, 1), seed);
    simulation.run(secs(60), &[("ask", 0.5 * CAPACITY)]);
    simulation.run(DEADLINE, &[]);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.max_overload = 0;
        endpoint.crashes = 0;
        endpoint.call_time = time::Duration::ZERO;
    }
    simulation
}

fn secs(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

fn max_overload(simulation: &simulation::Simulation) -> f64 {
    simulation.endpoints.values().map(|endpoint| endpoint.max_overload).max().unwrap_or(0).into()
}

fn crashes(simulation: &simulation::Simulation) -> f64 {
    simulation.endpoints.values().map(|endpoint| endpoint.crashes).sum::<u32>().into()
}

/// Endpoint time in milliseconds per request answered in time.
fn cost_per_answer(simulation: &simulation::Simulation, from: id::Time, service: &str) -> f64 {
    let matches = |endpoint: &&endpoint::Endpoint| endpoint.service == service;
    let call_time: time::Duration =
        simulation.endpoints.values().filter(matches).map(|endpoint| endpoint.call_time).sum();
    call_time.as_secs_f64() * 1e3 / simulation.answered(from) as f64
}

fn make_plan(policy: Policy, revision: id::Revision) -> plan::Plan {
    let mut plan = plan::Plan { revision, ..plan::Plan::default() };
    policy.apply(&mut plan.policies);
    for zone in ZONES {
        plan.zones.insert(zone.into(), plan::Zone { region: "region".into(), out: false });
    }
    for (name, count) in SERVICES {
        let service = plan::Service {
            kind: plan::Kind::Plain,
            version: "v1".into(),
            cold: COLD,
            full: FULL,
            fenced: false,
        };
        plan.services.insert(name.into(), service);
        for number in 0..count {
            let endpoint = plan::Endpoint {
                service: name.into(),
                version: "v1".into(),
                zone: ZONES[number % ZONES.len()].into(),
                address: ([127, 0, 0, 1], 1).into(),
                leaving: false,
            };
            plan.endpoints.insert(format!("{name} {number}"), endpoint);
        }
    }
    pipeline(
        &mut plan,
        "ask",
        plan::Class::Normal,
        DEADLINE,
        &["encode", "retrieve", "rerank", "generate"],
    );
    pipeline(&mut plan, "bid", plan::Class::Urgent, DEADLINE, &["encode", "generate"]);
    pipeline(
        &mut plan,
        "review",
        plan::Class::Patient,
        PATIENT_DEADLINE,
        &["retrieve", "generate"],
    );
    plan.workspaces.insert("workspace".into(), plan::Workspace { keys: Vec::new(), weight: 1 });
    plan
}

fn pipeline(
    plan: &mut plan::Plan,
    name: &str,
    class: plan::Class,
    deadline: time::Duration,
    services: &[&str],
) {
    let stages = services.iter().map(|&service| plan::Stage {
        id: service.into(),
        service: service.into(),
        path: "/".into(),
        idempotent: true,
        idle: deadline,
    });
    let pipeline = plan::Pipeline { deadline, class, stages: stages.collect() };
    plan.pipelines.insert(name.into(), pipeline);
    let route = plan::Route { pipeline: name.into(), workspaces: vec!["workspace".into()] };
    plan.routes.insert(name.into(), route);
}
