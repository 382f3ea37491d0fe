//! Processing time of requests, reports and ticks, by the size of the plan.

use std::sync;
use std::time;

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

use crate::capacity;
use crate::capacity::document;
use crate::capacity::probe;
use crate::random;

const START: id::Time = time::Duration::from_secs(1_000_000);
const LAG: time::Duration = time::Duration::from_secs(1);
/// Ticks in which a host settles its shares of endpoints.
const SETTLE_TICKS: u32 = 40;
/// Number of requests in one timing.
const TIMED_REQUESTS: usize = 500;
/// Number of ticks in one timing.
const TIMED_TICKS: usize = 20;

/// A host that has settled its shares of endpoints, and its plan.
pub struct Bench {
    /// The host.
    pub host: traffic::Traffic,
    /// Current logical time.
    pub now: id::Time,
    plan: sync::Arc<plan::Plan>,
    random: random::Random,
}

/// Creates a settled host with `peers` other hosts in the platform's list.
pub fn settled(plan: sync::Arc<plan::Plan>, peers: usize) -> Bench {
    let options = traffic::Options {
        host: "host-0".into(),
        incarnation: 1,
        zone: "zone-0".into(),
        seed: 1,
        lag: LAG,
    };
    let random = random::for_trial(1, 0);
    let mut bench = Bench { host: traffic::Traffic::new(options), now: START, plan, random };
    bench.host.handle(bench.now, traffic::Event::Plan(bench.plan.clone()));
    for _ in 0..SETTLE_TICKS {
        bench.now += time::Duration::from_millis(500);
        bench.update_hosts(peers);
        bench.host.handle(bench.now, traffic::Event::Tick);
    }
    bench
}

impl Bench {
    /// Passes a host list with this host and `peers` others to the host.
    pub fn update_hosts(&self, peers: usize) {
        let host = |number: usize| traffic::Host {
            id: format!("host-{number}"),
            zone: format!("zone-{}", number % 12),
            leaving: false,
        };
        let list = (0..=peers).map(host).collect();
        self.host.handle(self.now, traffic::Event::Hosts(list));
    }

    /// Sends one request; unless `finish` is set, no call of it ever ends.
    pub fn request(&mut self, number: usize, finish: bool) {
        let route = format!("route-{}", number % self.plan.routes.len());
        let workspaces = &self.plan.routes[&route].workspaces;
        let arrival = traffic::Arrival {
            request: random::request_id(&mut self.random),
            workspace: workspaces[number % workspaces.len()].clone(),
            route,
            deadline: self.now + time::Duration::from_secs(12),
            tokens: 500,
            fingerprint: number as u64,
            prefix: (0..8).map(|part| (number * 8 + part) as u64).collect(),
            key: None,
        };
        let mut commands = self.host.handle(self.now, traffic::Event::Arrive(arrival));
        while finish && let Some(command) = commands.pop() {
            if let traffic::Command::Dispatch(call) = command {
                let ending = traffic::Ending::Good { tokens: 1 };
                let event = traffic::Event::Ended { attempt: call.attempt, ending };
                commands.extend(self.host.handle(self.now, event));
            }
        }
    }

    fn send_reports(&self) {
        for endpoint in self.plan.endpoints.keys() {
            let report = traffic::Report {
                running: 3,
                waiting: 0,
                cache: 0.5,
                started: START,
                age: time::Duration::ZERO,
            };
            let event = traffic::Event::Report { endpoint: endpoint.clone(), report: Some(report) };
            self.host.handle(self.now, event);
        }
    }

    /// Advances time by one tick; returns the commands of the host.
    pub fn tick(&mut self) -> Vec<traffic::Command> {
        self.now += time::Duration::from_millis(50);
        self.host.handle(self.now, traffic::Event::Tick)
    }
}

/// Measures all series of this module.
pub fn run(options: &capacity::Options) -> Vec<capacity::Series> {
    let default = document::Size::default();
    let request = |size: &document::Size| {
        let mut bench = settled(document::plan(size), 0);
        let work = || (0..TIMED_REQUESTS).for_each(|number| bench.request(number, true));
        probe::min_time(options.repeats, TIMED_REQUESTS, work)
    };
    let endpoints = |endpoints| document::Size { endpoints, ..default };
    let name = "request of 4 stages, all decisions";
    vec![
        probe::series(name, "us/request", "endpoints", &ENDPOINTS, |size| {
            request(&endpoints(size))
        }),
        probe::series(name, "us/request", "workspaces", &[150, 600, 2_400, 9_600], |workspaces| {
            request(&document::Size { workspaces, ..default })
        }),
        probe::series(name, "us/request", "pipelines", &[3, 10, 30, 90], |pipelines| {
            request(&document::Size { pipelines, ..default })
        }),
        probe::series("tick without load", "us/tick", "endpoints", &ENDPOINTS, |size| {
            let mut bench = settled(document::plan(&endpoints(size)), 0);
            probe::min_time(options.repeats, TIMED_TICKS, || {
                (0..TIMED_TICKS).for_each(|_| drop(bench.tick()));
            })
        }),
        probe::series("one report of each endpoint", "us/round", "endpoints", &ENDPOINTS, |size| {
            let bench = settled(document::plan(&endpoints(size)), 0);
            probe::min_time(options.repeats, 1, || bench.send_reports())
        }),
        probe::series(
            "host list that changed",
            "us/list",
            "hosts",
            &[24, 95, 380, 1_520],
            |size| {
                let bench = settled(document::plan(&endpoints(350)), size);
                let mut more = 0;
                probe::min_time(options.repeats, 1, || {
                    more += 1;
                    bench.update_hosts(size + more);
                })
            },
        ),
    ]
}

/// Numbers of endpoints in the plans.
const ENDPOINTS: [usize; 4] = [50, 150, 450, 1_400];
