//! Simulates hosts that send requests to the endpoints of [`endpoint`] under logical time.

use std::collections;
use std::sync;
use std::time;

use rand::RngExt as _;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::message;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

use crate::decisions::endpoint;
use crate::random;

/// Step of logical time.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Ticks between two reads of the host list and of all reports.
const READ_TICKS: u64 = 25;
/// Lag of the host list.
const LIST_LAG: time::Duration = time::Duration::from_secs(1);
/// Upper bound, exclusive, of the delay of a message between hosts.
const MAX_DELAY_MS: u64 = 40;
/// Start of logical time.
const START: id::Time = time::Duration::from_secs(1_000_000);
/// Time in which hosts settle their shares of endpoints before requests are sent.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(20);

/// A call in flight, with its outcome.
struct Call {
    host: usize,
    endpoint: id::EndpointId,
    end: id::Time,
    ending: traffic::Ending,
}

/// A request that was sent.
struct Request {
    route: String,
    arrived: id::Time,
    deadline: id::Time,
    /// Whether it was completed by its deadline.
    attained: bool,
}

/// A dispatched call.
pub struct Dispatch {
    /// Time of the dispatch.
    pub at: id::Time,
    /// Endpoint that got the call.
    pub endpoint: id::EndpointId,
}

/// Hosts, endpoints, and the calls and messages between them.
pub struct Simulation {
    /// Current logical time.
    pub now: id::Time,
    /// All dispatched calls.
    pub dispatches: Vec<Dispatch>,
    /// Endpoints by name.
    pub endpoints: collections::BTreeMap<id::EndpointId, endpoint::Endpoint>,
    hosts: Vec<traffic::Traffic>,
    calls: collections::BTreeMap<id::AttemptId, Call>,
    requests: collections::BTreeMap<id::RequestId, Request>,
    /// Sender, receiver and content of messages in flight, by time of arrival and a random number
    /// that orders simultaneous ones.
    messages: collections::BTreeMap<(id::Time, u64), (usize, usize, message::Message)>,
    plan: sync::Arc<plan::Plan>,
    random: random::Random,
    ticks: u64,
}

impl Simulation {
    /// Creates hosts that have settled their shares of cold endpoints.
    pub fn new(hosts: usize, plan: plan::Plan, seed: u64) -> Simulation {
        let zones: Vec<_> = {
            let mut zones: Vec<_> = plan.zones.keys().cloned().collect();
            zones.sort();
            zones
        };
        let options = |host: usize| traffic::Options {
            host: format!("host {host}"),
            incarnation: host as u64 + 1,
            zone: zones[host % zones.len()].clone(),
            seed: seed + host as u64,
            lag: LIST_LAG,
        };
        let mut simulation = Simulation {
            now: START,
            dispatches: Vec::new(),
            endpoints: endpoint::endpoints(&plan, START),
            hosts: (0..hosts).map(|host| traffic::Traffic::new(options(host))).collect(),
            calls: Default::default(),
            requests: Default::default(),
            messages: Default::default(),
            plan: sync::Arc::new(plan.clone()),
            random: random::for_trial(seed, 0),
            ticks: 0,
        };
        simulation.apply_plan(plan);
        simulation.run(SETTLE_TIME, &[]);
        simulation
    }

    /// Puts a plan in force on all hosts.
    pub fn apply_plan(&mut self, plan: plan::Plan) {
        self.plan = sync::Arc::new(plan);
        for host in 0..self.hosts.len() {
            self.handle(host, traffic::Event::Plan(self.plan.clone()));
        }
    }

    /// Advances time by `span` with random requests on each route of `load`, given as pairs of route
    /// and requests per second.
    pub fn run(&mut self, span: time::Duration, load: &[(&str, f64)]) {
        let end = self.now + span;
        let mut next: Vec<_> = load.iter().map(|&(_, rate)| self.next_arrival(rate)).collect();
        while self.now < end {
            self.tick();
            for (next, &(route, rate)) in next.iter_mut().zip(load) {
                while *next <= self.now {
                    self.send_request(route);
                    *next += self.next_arrival(rate) - self.now;
                }
            }
        }
    }

    /// Share of the requests sent in a time range, on one route or all, that were answered in time.
    pub fn attained_share(&self, route: Option<&str>, from: id::Time, to: id::Time) -> f64 {
        let matches = |request: &&Request| {
            route.is_none_or(|route| request.route == route)
                && (from..to).contains(&request.arrived)
        };
        let all: Vec<_> = self.requests.values().filter(matches).collect();
        all.iter().filter(|request| request.attained).count() as f64 / all.len() as f64
    }

    /// Number of requests sent since `from` that were answered in time.
    pub fn answered(&self, from: id::Time) -> usize {
        let matches = |request: &&Request| request.attained && request.arrived >= from;
        self.requests.values().filter(matches).count()
    }

    /// Concurrent calls that all hosts together allow on the endpoints of a service.
    pub fn slots(&self, service: &str) -> u64 {
        let status = self.hosts.iter().flat_map(|host| host.endpoints(self.now));
        status
            .filter(|status| status.service == service)
            .map(|status| u64::from(status.slots))
            .sum()
    }

    /// Number of all requests.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn next_arrival(&mut self, rate: f64) -> id::Time {
        self.now + time::Duration::from_secs_f64(random::interval(&mut self.random, rate))
    }

    fn send_request(&mut self, route: &str) {
        let Some(pipeline) = self.plan.routes.get(route).map(|route| &route.pipeline) else {
            return;
        };
        let Some(pipeline) = self.plan.pipelines.get(pipeline) else { return };
        let deadline = self.now + pipeline.deadline;
        let request = random::request_id(&mut self.random);
        let entry = Request { route: route.into(), arrived: self.now, deadline, attained: false };
        self.requests.insert(request, entry);
        let arrival = traffic::Arrival {
            request,
            workspace: "workspace".into(),
            route: route.into(),
            deadline,
            tokens: 100,
            fingerprint: self.random.random(),
            prefix: Vec::new(),
            key: Some(request),
        };
        let host = self.random.random_range(0..self.hosts.len());
        self.handle(host, traffic::Event::Arrive(arrival));
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        if self.ticks.is_multiple_of(READ_TICKS) {
            self.read_status();
        }
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let (from, to, message) = entry.remove();
            let from = format!("host {from}");
            self.handle(to, traffic::Event::Peer { from, message });
        }
        let ended: Vec<_> =
            self.calls.iter().filter(|(_, call)| call.end <= self.now).map(|(id, _)| *id).collect();
        for attempt in ended {
            self.end_call(attempt);
        }
        for host in 0..self.hosts.len() {
            self.handle(host, traffic::Event::Tick);
        }
    }

    /// Passes the host list and the reports of all endpoints to all hosts.
    fn read_status(&mut self) {
        let zone = |host: usize| {
            let mut zones: Vec<_> = self.plan.zones.keys().cloned().collect();
            zones.sort();
            zones[host % zones.len()].clone()
        };
        let list: Vec<_> = (0..self.hosts.len())
            .map(|host| traffic::Host {
                id: format!("host {host}"),
                zone: zone(host),
                leaving: false,
            })
            .collect();
        let reports: Vec<_> =
            self.endpoints.iter().map(|(id, state)| (id.clone(), state.report(self.now))).collect();
        for host in 0..self.hosts.len() {
            self.handle(host, traffic::Event::Hosts(list.clone()));
            for (endpoint, report) in &reports {
                let (endpoint, report) = (endpoint.clone(), *report);
                self.handle(host, traffic::Event::Report { endpoint, report });
            }
        }
    }

    fn end_call(&mut self, attempt: id::AttemptId) {
        let Some(call) = self.calls.remove(&attempt) else { return };
        if let Some(state) = self.endpoints.get_mut(&call.endpoint) {
            state.record_end(matches!(call.ending, traffic::Ending::Good { .. }));
        }
        self.handle(call.host, traffic::Event::Ended { attempt, ending: call.ending });
    }

    fn handle(&mut self, host: usize, event: traffic::Event) {
        for command in self.hosts[host].handle(self.now, event) {
            self.execute(host, command);
        }
    }

    fn execute(&mut self, host: usize, command: traffic::Command) {
        match command {
            traffic::Command::Dispatch(call) => self.dispatch(host, &call),
            traffic::Command::Cancel(attempt) => {
                if let Some(call) = self.calls.get_mut(&attempt) {
                    call.end = self.now;
                    call.ending = traffic::Ending::Cancelled;
                }
            }
            traffic::Command::End { request, end } => {
                let now = self.now;
                if let Some(request) = self.requests.get_mut(&request) {
                    request.attained =
                        end == traffic::RequestEnd::Completed && now <= request.deadline;
                }
            }
            traffic::Command::Claim { request, .. } => {
                let answer = message::ClaimAnswer::Granted;
                self.handle(host, traffic::Event::Claimed { request, answer });
            }
            traffic::Command::Send { to, message } => self.send(host, &to, message),
            traffic::Command::Latch(_) | traffic::Command::Explain(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &str, message: message::Message) {
        let hosts = 0..self.hosts.len();
        let Some(to) = hosts.into_iter().find(|host| format!("host {host}") == to) else { return };
        let delay = time::Duration::from_millis(self.random.random_range(1..MAX_DELAY_MS));
        let order = self.random.random();
        self.messages.insert((self.now + delay, order), (from, to, message));
    }

    fn dispatch(&mut self, host: usize, call: &traffic::Dispatch) {
        let endpoint = call.endpoint.clone();
        self.dispatches.push(Dispatch { at: self.now, endpoint: endpoint.clone() });
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        let spread = (0.2 * random::normal(&mut self.random)).exp();
        let outcome = state.call(self.now, spread);
        if outcome.crashed {
            for other in self.calls.values_mut().filter(|other| other.endpoint == endpoint) {
                other.end = self.now;
                other.ending = connection_reset();
            }
        }
        let late = outcome.end > call.deadline;
        let ending = match outcome.ending {
            traffic::Ending::Good { .. } if late => {
                traffic::Ending::Bad { fault: traffic::Fault::Timeout, delivered: false }
            }
            ending => ending,
        };
        let end = outcome.end.min(call.deadline);
        self.calls.insert(call.attempt, Call { host, endpoint, end, ending });
    }
}

fn connection_reset() -> traffic::Ending {
    traffic::Ending::Bad { fault: traffic::Fault::Reset, delivered: false }
}
