//! Measures how long traffic decisions take on one host of a large deployment.
//!
//! `cargo run --release -p sequoiacrank-kernel --example traffic_cost`

use std::sync;
use std::time;

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

const HOSTS: usize = 380;
const ENDPOINTS: usize = 1_400;
const SERVICES: usize = 12;
const WORKSPACES: usize = 2_400;
const ZONES: usize = 12;
const REGIONS: usize = 5;
const STAGES: usize = 4;
const PIPELINES: usize = 10;
const ARRIVALS: usize = 20_000;
const LAG: time::Duration = time::Duration::from_secs(5);
const DEADLINE: time::Duration = time::Duration::from_secs(12);

fn service(i: usize) -> id::ServiceId {
    format!("service-{}", i % SERVICES)
}

fn pipeline(i: usize) -> plan::Pipeline {
    let stage = |s: usize| plan::Stage {
        id: format!("stage-{s}"),
        service: service(i * STAGES + s),
        path: "/".into(),
        idempotent: true,
        idle: DEADLINE,
    };
    let class = plan::Class::Normal;
    plan::Pipeline { deadline: DEADLINE, class, stages: (0..STAGES).map(stage).collect() }
}

fn plan() -> plan::Plan {
    let mut plan = plan::Plan { revision: 1, ..Default::default() };
    for i in 0..ZONES {
        let zone = plan::Zone { region: format!("region-{}", i % REGIONS), out: false };
        plan.zones.insert(format!("zone-{i}"), zone);
    }
    for i in 0..SERVICES {
        let (kind, version) = (plan::Kind::Plain, "v1".into());
        let conf = plan::Service { kind, version, cold: 8, full: 64, fenced: false };
        plan.services.insert(service(i), conf);
    }
    for i in 0..ENDPOINTS {
        let endpoint = plan::Endpoint {
            service: service(i),
            version: "v1".into(),
            zone: format!("zone-{}", (i / SERVICES) % ZONES),
            address: ([127, 0, 0, 1], 1).into(),
            leaving: false,
        };
        plan.endpoints.insert(format!("endpoint-{i}"), endpoint);
    }
    let names: Vec<_> = (0..WORKSPACES).map(|i| format!("workspace-{i}")).collect();
    for name in &names {
        plan.workspaces.insert(name.clone(), plan::Workspace { keys: vec![], weight: 1 });
    }
    for i in 0..PIPELINES {
        let name = format!("pipeline-{i}");
        plan.pipelines.insert(name.clone(), pipeline(i));
        let route = plan::Route { pipeline: name, workspaces: names.clone() };
        plan.routes.insert(format!("route-{i}"), route);
    }
    plan
}

fn hosts() -> Vec<traffic::Host> {
    let host = |i: usize| traffic::Host {
        id: format!("host-{i}"),
        zone: format!("zone-{}", i % ZONES),
        leaving: false,
    };
    (0..HOSTS).map(host).collect()
}

fn arrival(now: id::Time, i: usize) -> traffic::Arrival {
    traffic::Arrival {
        request: uuid::Uuid::from_u128(i as u128),
        workspace: format!("workspace-{}", i % WORKSPACES),
        route: format!("route-{}", i % PIPELINES),
        deadline: now + DEADLINE,
        tokens: 500,
        fingerprint: i as u64,
        prefix: vec![i as u64 % 97, i as u64 % 89, i as u64],
        key: None,
    }
}

/// Durations of `handle` calls of one kind.
#[derive(Default)]
struct Times(Vec<time::Duration>);

impl Times {
    fn run<F, T>(&mut self, call: F) -> T
    where
        F: FnOnce() -> T,
    {
        let start = time::Instant::now();
        let value = call();
        self.0.push(start.elapsed());
        value
    }

    fn print(mut self, name: &str) {
        self.0.sort();
        let at = |q: usize| self.0[(self.0.len() - 1) * q / 100];
        let mean = self.0.iter().sum::<time::Duration>() / self.0.len() as u32;
        println!(
            "{name}: {} calls, mean {mean:?}, p50 {:?}, p99 {:?}",
            self.0.len(),
            at(50),
            at(99)
        );
    }
}

/// Sends requests and prints the durations. Each dispatched call succeeds at once if `end` is set,
/// otherwise it never ends.
fn load(host: &traffic::Traffic, now: id::Time, end: bool, name: &str, from: usize) {
    let (mut arrive, mut ended) = (Times::default(), Times::default());
    for i in from..from + ARRIVALS {
        let at = now + time::Duration::from_micros(20 * (i - from) as u64);
        let event = traffic::Event::Arrive(arrival(at, i));
        let mut commands = arrive.run(|| host.handle(at, event));
        while let Some(attempt) = dispatched(&commands).filter(|_| end) {
            let ending = traffic::Ending::Good { tokens: 1 };
            commands = ended.run(|| host.handle(at, traffic::Event::Ended { attempt, ending }));
        }
    }
    arrive.print(&format!("arrival, {name}"));
    if end {
        ended.print(&format!("end of a call, {name}"));
    }
}

fn dispatched(commands: &[traffic::Command]) -> Option<id::AttemptId> {
    commands.iter().find_map(|command| match command {
        traffic::Command::Dispatch(dispatch) => Some(dispatch.attempt),
        _ => None,
    })
}

fn main() {
    let host = traffic::Traffic::new(traffic::Options {
        host: "host-0".into(),
        incarnation: 1,
        zone: "zone-0".into(),
        seed: 1,
        lag: LAG,
    });
    let mut now = time::Duration::from_secs(1_000_000);
    let plan = sync::Arc::new(plan());
    let mut times = Times::default();
    host.handle(now, traffic::Event::Hosts(hosts()));
    times.run(|| host.handle(now, traffic::Event::Plan(plan)));
    times.print("plan");
    now += time::Duration::from_secs(60);
    let mut times = Times::default();
    let mut list = hosts();
    list.pop();
    times.run(|| host.handle(now, traffic::Event::Hosts(list)));
    times.print("change of the host list");
    for _ in 0..40 {
        now += time::Duration::from_secs(1);
        host.handle(now, traffic::Event::Hosts(hosts()[..HOSTS - 1].to_vec()));
        host.handle(now, traffic::Event::Tick);
    }
    let slots: u32 = host.endpoints(now).iter().map(|endpoint| endpoint.slots).sum();
    println!("slots of this host: {slots}");
    load(&host, now, true, "free slots", 0);
    load(&host, now, false, "full queues", ARRIVALS);
    let mut ticks = Times::default();
    for _ in 0..100 {
        now += time::Duration::from_millis(20);
        ticks.run(|| host.handle(now, traffic::Event::Tick));
    }
    ticks.print("tick, full queues");
}
