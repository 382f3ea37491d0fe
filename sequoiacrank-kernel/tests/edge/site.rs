//! Deterministic simulation in logical time of callers and stage endpoints around one scheduler.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::endpoint;
use sequoiacrank_kernel::edge::stage;
use sequoiacrank_kernel::id;

pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// A stage service: endpoints per zone, pieces per call, time per piece, result bytes per endpoint.
#[derive(Clone)]
pub struct Service {
    pub name: &'static str,
    pub zones: [usize; 3],
    pub max_pieces: usize,
    pub piece_time: time::Duration,
    pub memory: u64,
}

/// A stage of a kind of request: service, preceding stages, bytes of a result, range of pieces,
/// share of requests that have the stage, and time of a piece relative to the usual one.
#[derive(Clone)]
pub struct Stage {
    pub service: &'static str,
    pub after: Vec<usize>,
    pub bytes: u64,
    pub pieces: (u32, u32),
    pub share: f64,
    pub work: f64,
}

/// A kind of request: `rate` arrivals per second, and `credit` earned if served timely or late.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub rate: f64,
    pub target_time: time::Duration,
    pub deadline: time::Duration,
    pub rank: u32,
    pub credit: (f64, f64),
    pub stages: Vec<Stage>,
}

/// A higher arrival rate of one kind, or of all, between two times in milliseconds.
#[derive(Clone, Copy)]
pub struct Burst {
    pub kind: Option<&'static str>,
    pub from: u64,
    pub to: u64,
    pub factor: f64,
}

/// Slow or lost endpoints of a service between two times in milliseconds.
#[derive(Clone, Copy)]
pub struct Fault {
    pub service: &'static str,
    pub endpoints: usize,
    pub from: u64,
    pub to: u64,
    /// Factor on the time of calls; `None` if the endpoints are lost.
    pub slowdown: Option<f64>,
}

/// What a simulation runs: stage services, requests and faults.
#[derive(Clone, Default)]
pub struct World {
    pub services: Vec<Service>,
    pub kinds: Vec<Kind>,
    pub bursts: Vec<Burst>,
    pub faults: Vec<Fault>,
    /// Seconds in which requests arrive.
    pub seconds: u64,
}

/// Number of requests of a kind by their result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub arrived: u32,
    /// Served within the target time.
    pub timely: u32,
    /// Served after the target time.
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

impl Counts {
    /// Share of requests that were served, late ones included.
    pub fn served(&self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.arrived.max(1))
    }

    /// Share of requests that were served within the target time.
    pub fn in_time(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.arrived.max(1))
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Report {
    pub kinds: collections::BTreeMap<&'static str, Counts>,
    /// Earned credit as a fraction of the possible credit.
    pub credit: f64,
    /// The same after the cost of results that cross zones.
    pub net_credit: f64,
    /// Bytes of results that were read from another zone.
    pub crossed_bytes: u64,
    /// Bytes of results that were read.
    pub read_bytes: u64,
    pub calls: u32,
    pub pieces: u32,
    /// Number of results for which an endpoint had no memory.
    pub no_memory: u32,
    /// Real and expected times of the stages of served requests, in milliseconds.
    pub times: collections::BTreeMap<&'static str, Vec<(f64, f64)>>,
}

/// Endpoints of a single service, with their number in each zone.
pub fn engines(zones: [usize; 3]) -> Vec<endpoint::Endpoint> {
    let engine = Service { name: "engine", zones, max_pieces: 1, piece_time: ms(1), memory: 1 };
    entries(&World { services: vec![engine], ..World::default() })
}

/// The endpoints of a world.
pub fn entries(world: &World) -> Vec<endpoint::Endpoint> {
    let mut entries = Vec::new();
    for (s, service) in world.services.iter().enumerate() {
        for (z, &count) in service.zones.iter().enumerate() {
            for n in 0..count {
                entries.push(endpoint::Endpoint {
                    id: format!("{}-{z}-{n}", service.name),
                    service: service.name.into(),
                    address: format!("10.{s}.{z}.{n}:80").parse().expect("address is valid"),
                    zone: ZONES[z].into(),
                    version: "v1".into(),
                    slots: 1,
                    leaving: false,
                    cold: time::Duration::ZERO,
                    started_at: 0,
                });
            }
        }
    }
    entries
}

/// The services of a world as a configuration.
pub fn catalog(world: &World) -> catalog::Catalog {
    let service = |it: &Service| catalog::Service {
        name: it.name.into(),
        cold_rate: 0.0,
        batch: Some(catalog::Batch {
            slots: 1,
            max_pieces: it.max_pieces,
            call_time: ms(150),
            piece_time: it.piece_time,
            memory: it.memory,
        }),
        scaling: None,
    };
    let services = world.services.iter().map(service).collect();
    let limits = catalog::Limits {
        head_bytes: 1 << 14,
        body_bytes: 1 << 22,
        idle: ms(15_000),
        head_time: ms(3000),
    };
    catalog::Catalog::new(1, Vec::new(), services, Vec::new(), limits)
}

/// An arrival has its kind, whether it is the first attempt, and the time of the first attempt.
enum Event {
    Arrive(usize, bool, id::Time),
    Done(stage::CallId, Vec<stage::Outcome>, String),
    Lost(stage::CallId),
    Served(stage::RunId),
    FaultChange,
    Tick,
}

struct Running {
    kind: usize,
    began: id::Time,
    expected: time::Duration,
    target_time: id::Time,
}

/// Mean number of requests that arrive together.
const CLUMP_SIZE: u32 = 3;
/// Credit lost per gigabyte of results read across zones.
const CROSSING_COST: f64 = 57.0;
/// Ratio of the real to the declared time of a piece.
const PIECE_RATIO: f64 = 1.2;
/// Time of a request at an engine after its stages.
const ENGINE_TIME: time::Duration = time::Duration::from_millis(170);

pub struct Simulation<'a> {
    world: &'a World,
    random: rand_chacha::ChaCha8Rng,
    now: id::Time,
    sequence: u64,
    queue: collections::BTreeMap<(id::Time, u64), Event>,
    scheduler: stage::Scheduler,
    running: collections::HashMap<stage::RunId, Running>,
    entries: Vec<endpoint::Endpoint>,
    used_bytes: collections::HashMap<String, u64>,
    sizes: collections::HashMap<String, u64>,
    free_at: collections::HashMap<String, id::Time>,
    /// Factor on the time of calls, by endpoint.
    time_factors: collections::HashMap<String, f64>,
    report: Report,
    last_id: u64,
}

impl<'a> Simulation<'a> {
    pub fn run(world: &'a World, seed: u64) -> Report {
        let mut simulation = Simulation {
            world,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now: ms(1000),
            sequence: 0,
            queue: collections::BTreeMap::new(),
            scheduler: stage::Scheduler::default(),
            running: collections::HashMap::new(),
            entries: entries(world),
            used_bytes: collections::HashMap::new(),
            sizes: collections::HashMap::new(),
            free_at: collections::HashMap::new(),
            time_factors: collections::HashMap::new(),
            report: Report::default(),
            last_id: 0,
        };
        for entry in &simulation.entries {
            let factor = simulation.random.random_range(0.95..1.1);
            simulation.time_factors.insert(entry.id.clone(), factor);
        }
        simulation.scheduler.configure(&catalog(world));
        simulation.scheduler.set_endpoints(simulation.entries.iter());
        simulation.schedule_arrivals();
        let end = simulation.now + time::Duration::from_secs(world.seconds) + ms(15_000);
        simulation.schedule(simulation.now, Event::Tick);
        while let Some(((at, _), event)) = simulation.queue.pop_first() {
            if at > end {
                break;
            }
            simulation.now = at;
            simulation.handle(event);
            simulation.run_commands();
        }
        simulation.into_report()
    }

    fn schedule(&mut self, time: id::Time, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    fn draw_interval(&mut self, rate: f64) -> time::Duration {
        let draw: f64 = self.random.random();
        time::Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
    }

    fn schedule_arrivals(&mut self) {
        for (k, kind) in self.world.kinds.iter().enumerate() {
            let mut at = self.now;
            let end = self.now + time::Duration::from_secs(self.world.seconds);
            loop {
                let since = (at - self.now).as_millis() as u64;
                let factor: f64 = self
                    .world
                    .bursts
                    .iter()
                    .filter(|it| it.kind.is_none_or(|name| name == kind.name))
                    .filter(|it| (it.from..it.to).contains(&since))
                    .map(|it| it.factor)
                    .product();
                at += self.draw_interval(kind.rate * factor);
                if at >= end {
                    break;
                }
                let clump = self.random.random_range(1..=2 * CLUMP_SIZE - 1);
                at += self.draw_interval(kind.rate * factor) * (clump - 1);
                for n in 0..clump {
                    let at = at + ms(5) * n;
                    self.schedule(at, Event::Arrive(k, true, at));
                }
            }
        }
        for fault in &self.world.faults {
            self.schedule(ms(1000 + fault.from), Event::FaultChange);
            self.schedule(ms(1000 + fault.to), Event::FaultChange);
        }
    }

    fn active_fault(&self, endpoint: &str) -> Option<&Fault> {
        let since = (self.now.saturating_sub(ms(1000))).as_millis() as u64;
        self.world.faults.iter().filter(|it| (it.from..it.to).contains(&since)).find(|it| {
            let mut of = self.entries.iter().filter(|entry| entry.service == it.service);
            of.position(|entry| entry.id == endpoint).is_some_and(|index| index < it.endpoints)
        })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind, first, at) => self.arrive(kind, first, at),
            Event::Done(call, outcomes, endpoint) => {
                let down = self.active_fault(&endpoint).is_some_and(|it| it.slowdown.is_none());
                match down {
                    true => self.scheduler.call_failed(self.now, call, stage::Failure::Lost),
                    false => self.scheduler.call_answered(self.now, call, outcomes),
                }
            }
            Event::Lost(call) => self.scheduler.call_failed(self.now, call, stage::Failure::Lost),
            Event::Served(run) => {
                if let Some(running) = self.running.remove(&run) {
                    let took =
                        (self.now - running.began).saturating_sub(ENGINE_TIME).as_millis() as f64;
                    let expected = running.expected.as_millis() as f64;
                    let times =
                        self.report.times.entry(self.world.kinds[running.kind].name).or_default();
                    times.push((took, expected));
                    let timely = self.now <= running.target_time;
                    let counts = self.counts_of(running.kind);
                    match timely {
                        true => counts.timely += 1,
                        false => counts.late += 1,
                    }
                    self.scheduler.release(run);
                }
            }
            Event::FaultChange => {} // The scheduler is polled after each event.
            Event::Tick => self.schedule(self.now + ms(25), Event::Tick),
        }
    }

    fn counts_of(&mut self, kind: usize) -> &mut Counts {
        self.report.kinds.entry(self.world.kinds[kind].name).or_default()
    }

    fn arrive(&mut self, k: usize, first: bool, began: id::Time) {
        let kind = &self.world.kinds[k];
        if first {
            self.counts_of(k).arrived += 1;
        }
        let mut stages = Vec::new();
        for it in &kind.stages {
            let count = self.random.random_range(it.pieces.0..=it.pieces.1);
            let draw: f64 = self.random.random();
            stages.push(stage::Work {
                service: it.service.into(),
                after: it.after.clone(),
                bytes: it.bytes,
                pieces: if draw < it.share { count } else { 0 },
            });
        }
        self.last_id += 1;
        let zone = ZONES[self.random.random_range(0..3)].to_owned();
        let job = stage::Job {
            request: format!("{k}-{}", self.last_id),
            key: "key".into(),
            stages,
            // A host does not know that a caller retries, so the target time starts anew.
            target_time: self.now + kind.target_time,
            deadline: began + kind.deadline,
            rank: kind.rank,
            request_time: ENGINE_TIME,
            zone: Some(zone),
        };
        match self.scheduler.submit(self.now, job) {
            stage::Admission::Accepted { run, expected } => {
                let target_time = began + kind.target_time;
                let running = Running { kind: k, began: self.now, expected, target_time };
                self.running.insert(run, running);
            }
            stage::Admission::Refused { retry_after: after, .. } => {
                let left = (began + kind.deadline).saturating_sub(self.now);
                match first && after <= left / 3 {
                    true => self.schedule(self.now + after, Event::Arrive(k, false, began)),
                    false => self.counts_of(k).refused += 1,
                }
            }
        }
    }

    fn zone(&self, endpoint: &str) -> &str {
        let entry = self.entries.iter().find(|entry| entry.id == endpoint);
        entry.map_or("", |entry| &entry.zone)
    }

    fn run_commands(&mut self) {
        for command in self.scheduler.poll(self.now) {
            match command {
                stage::Command::Call { call, endpoint, items, .. } => {
                    self.call(call, &endpoint, &items);
                }
                stage::Command::Ready { run, results } => {
                    for handle in results {
                        let zone = ZONES[self.random.random_range(0..3)];
                        self.record_read(&handle, zone);
                    }
                    self.schedule(self.now + ENGINE_TIME, Event::Served(run));
                }
                stage::Command::Failed { run } => {
                    if let Some(running) = self.running.remove(&run) {
                        self.counts_of(running.kind).failed += 1;
                    }
                }
                stage::Command::Free { endpoint, results } => {
                    for handle in results {
                        let size = self.sizes.remove(&handle).unwrap_or_default();
                        let used = self.used_bytes.entry(endpoint.clone()).or_default();
                        *used = used.saturating_sub(size);
                    }
                }
            }
        }
    }

    fn record_read(&mut self, handle: &str, zone: &str) {
        let maker = handle.split('/').next().unwrap_or_default();
        let size = self.sizes.get(handle).copied().unwrap_or_default();
        self.report.read_bytes += size;
        if self.zone(maker) != zone {
            self.report.crossed_bytes += size;
        }
    }

    fn call(&mut self, call: stage::CallId, endpoint: &str, items: &[stage::Item]) {
        let service = self.world.services.iter().find(|it| endpoint.starts_with(it.name));
        let service = service.expect("endpoint belongs to a service").clone();
        if self.active_fault(endpoint).is_some_and(|it| it.slowdown.is_none()) {
            return self.schedule(self.now + ms(2), Event::Lost(call));
        }
        let zone = self.zone(endpoint).to_owned();
        let mut took = ms(150);
        let mut outcomes = Vec::new();
        let mut used = self.used_bytes.get(endpoint).copied().unwrap_or_default();
        for item in items {
            let kind: usize = item
                .request
                .split('-')
                .next()
                .and_then(|it| it.parse().ok())
                .expect("request id begins with its kind");
            let stage = &self.world.kinds[kind].stages[item.stage];
            took += service.piece_time.mul_f64(stage.work * PIECE_RATIO);
            if let stage::Input::Results(handles) = &item.input {
                for handle in handles {
                    self.record_read(handle, &zone);
                }
            }
            self.last_id += 1;
            let handle = format!("{endpoint}/{}", self.last_id);
            outcomes.push(match used + stage.bytes <= service.memory {
                true => {
                    used += stage.bytes;
                    self.sizes.insert(handle.clone(), stage.bytes);
                    stage::Outcome::Stored(handle)
                }
                false => {
                    self.report.no_memory += 1;
                    stage::Outcome::NoMemory
                }
            });
        }
        self.used_bytes.insert(endpoint.to_owned(), used);
        took = took.mul_f64(self.time_factors.get(endpoint).copied().unwrap_or(1.0));
        if let Some(slowdown) = self.active_fault(endpoint).and_then(|it| it.slowdown) {
            took = took.mul_f64(slowdown);
        }
        self.report.calls += 1;
        self.report.pieces += items.len() as u32;
        let start = self.free_at.get(endpoint).copied().unwrap_or_default().max(self.now);
        self.free_at.insert(endpoint.to_owned(), start + took);
        self.schedule(start + took + ms(2), Event::Done(call, outcomes, endpoint.to_owned()));
    }

    fn into_report(mut self) -> Report {
        let left: Vec<usize> = self.running.drain().map(|(_, it)| it.kind).collect();
        for kind in left {
            self.counts_of(kind).failed += 1;
        }
        let (mut possible, mut earned) = (0.0, 0.0);
        for kind in &self.world.kinds {
            let counts = self.report.kinds.get(kind.name).copied().unwrap_or_default();
            possible += f64::from(counts.arrived) * kind.credit.0;
            earned += f64::from(counts.timely) * kind.credit.0;
            earned += f64::from(counts.late) * kind.credit.1;
        }
        self.report.credit = earned / possible;
        self.report.net_credit =
            (earned - CROSSING_COST * self.report.crossed_bytes as f64 / 1e9) / possible;
        self.report
    }
}
