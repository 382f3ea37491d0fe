//! A service whose endpoints boot and are removed as ordered, under a given load, in steps of a
//! second.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::duty::scaling;
use sequoiacrank_kernel::edge::duty::scaling::dispatch;
use sequoiacrank_kernel::edge::duty::scaling::reports;
use sequoiacrank_kernel::id;

pub const SERVICE: &str = "engine";
/// Slots of each endpoint; half of them are planned for.
pub const SLOTS: u32 = 6;
/// Processes of hosts that report.
pub const HOSTS: u64 = 3;

/// What becomes of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Carried out and answered.
    Done,
    /// Neither carried out nor answered.
    Lost,
    /// Not answered, and carried out after this number of seconds.
    Late(u64),
}

/// An endpoint.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    /// Second from which on it serves.
    from: u64,
}

/// A zone of the platform.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    endpoints: Vec<Endpoint>,
    /// Number that the platform was told last.
    pub ordered: Option<u32>,
    /// Whether operators have taken it out of service.
    pub out: bool,
    /// Whether its endpoints cannot be reached.
    pub lost: bool,
}

/// What was seen in one second.
#[derive(Clone, Debug)]
pub struct Second {
    pub load: u32,
    pub refused: u32,
    /// Endpoints that serve, by zone.
    pub ready: Vec<u32>,
    /// Numbers that the scaler wants, by zone.
    pub desired: Vec<Option<u32>>,
    /// Decisions and calls.
    pub orders: Vec<scaling::Order>,
    pub calls: Vec<(id::ZoneId, u32)>,
}

pub struct World {
    pub second: u64,
    pub bounds: catalog::Scaling,
    /// Time in which endpoints really boot, in seconds.
    pub boot: u64,
    pub zones: collections::BTreeMap<id::ZoneId, Zone>,
    /// Number of hosts whose reports arrive.
    pub reporting: u64,
    scaler: scaling::Scaler,
    dispatch: dispatch::Dispatch,
    reports: reports::Reports,
    recorded: collections::BTreeMap<scaling::Subject, u32>,
    /// Calls that are carried out later: when, and for which zone.
    late: Vec<(u64, id::ZoneId, u32)>,
    refused: u64,
    pub random: rand_chacha::ChaCha8Rng,
    pub history: Vec<Second>,
}

impl World {
    /// Three zones with `count` endpoints each that serve, of which one may be lost.
    pub fn new(count: u32, min: u32, max: u32) -> Self {
        let boot = time::Duration::from_secs(8);
        let zone = || {
            let endpoints = vec![Endpoint { from: 0 }; count as usize];
            Zone { endpoints, ..Zone::default() }
        };
        World {
            second: 0,
            bounds: catalog::Scaling { min, max, boot },
            boot: boot.as_secs(),
            zones: ["a", "b", "c"].into_iter().map(|name| (name.to_owned(), zone())).collect(),
            reporting: HOSTS,
            scaler: scaling::Scaler::new(1, &collections::BTreeMap::new()),
            dispatch: dispatch::Dispatch::default(),
            reports: reports::Reports::default(),
            recorded: collections::BTreeMap::new(),
            late: Vec::new(),
            refused: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(1),
            history: Vec::new(),
        }
    }

    /// Replaces the holder by one that knows what is recorded.
    pub fn change_holder(&mut self) {
        self.scaler = scaling::Scaler::new(1, &self.recorded);
        self.dispatch = dispatch::Dispatch::default();
        self.reports = reports::Reports::default();
    }

    /// Crashes endpoints of a zone; they serve again after `down` seconds.
    pub fn crash(&mut self, zone: &str, count: usize, down: u64) {
        let until = self.second + down;
        let zone = self.zones.get_mut(zone).expect("no such zone");
        for endpoint in zone.endpoints.iter_mut().take(count) {
            endpoint.from = until;
        }
    }

    /// A fate as the platform's faults make it: half of the calls are answered, a quarter is lost
    /// and a quarter is late.
    pub fn random_fate(random: &mut rand_chacha::ChaCha8Rng) -> Fate {
        match random.random_range(0..4) {
            0 => Fate::Lost,
            1 => Fate::Late(random.random_range(2..=12)),
            _ => Fate::Done,
        }
    }

    fn ready(&self, zone: &Zone) -> u32 {
        let up = zone.endpoints.iter().filter(|it| self.second >= it.from && !zone.lost);
        up.count() as u32
    }

    /// Carries out an order at the platform.
    fn carry_out(&mut self, zone: &str, count: u32) {
        let from = self.second + self.boot;
        let zone = self.zones.get_mut(zone).expect("an order for an unknown zone");
        zone.ordered = Some(count);
        zone.endpoints.resize(count as usize, Endpoint { from });
    }

    fn carry_out_late(&mut self) {
        let late = std::mem::take(&mut self.late);
        let (due, rest): (Vec<_>, Vec<_>) = late.into_iter().partition(|it| self.second >= it.0);
        self.late = rest;
        for (_, zone, count) in due {
            self.carry_out(&zone, count);
        }
    }

    /// Serves `load` calls with the slots of the endpoints that serve. Returns those refused.
    fn serve(&mut self, load: u32) -> u32 {
        let now = time::Duration::from_secs(self.second);
        let serving = self.zones.values().filter(|zone| !zone.out);
        let slots: u32 = serving.map(|zone| self.ready(zone) * SLOTS).sum();
        let running = load.min(slots);
        let refused = load - running;
        self.refused += u64::from(refused);
        for host in 0..self.reporting {
            let share = |all: u64| all / HOSTS + u64::from(host < all % HOSTS);
            let running = share(u64::from(running)) as u32;
            let load = reports::Load { running, refused: share(self.refused) };
            self.reports.receive(now, host, [(SERVICE.to_owned(), load)]);
        }
        refused
    }

    fn observe(&mut self) -> scaling::Observation {
        let now = time::Duration::from_secs(self.second);
        let demand = self.reports.take(now, SERVICE);
        let zone = |zone: &Zone| scaling::Zone {
            ready: self.ready(zone),
            out: zone.out,
            ..scaling::Zone::default()
        };
        let zones: collections::BTreeMap<_, _> =
            self.zones.iter().map(|(name, it)| (name.clone(), zone(it))).collect();
        // Slots are those of registered endpoints.
        let known = zones.values().any(|zone| zone.ready > 0);
        scaling::Observation {
            bounds: self.bounds,
            zones,
            slots: if known { f64::from(SLOTS) } else { 0.0 },
            running: demand.running,
            refused: demand.refused,
            complete: (0..HOSTS).all(|host| self.reports.has(now, host)),
        }
    }

    /// Makes the calls that are due. `fate` tells what becomes of each.
    fn call<F>(&mut self, fate: &mut F) -> Vec<(id::ZoneId, u32)>
    where
        F: FnMut(u64, &mut rand_chacha::ChaCha8Rng) -> Fate,
    {
        let now = time::Duration::from_secs(self.second);
        let informed = self.scaler.is_informed(SERVICE);
        let out = |zone: &str| self.zones[zone].out;
        let allowed = |subject: &scaling::Subject| informed && !out(&subject.1);
        let due = self.dispatch.take_due(now, &self.recorded, allowed);
        for (subject, count) in &due {
            let fate = fate(self.second, &mut self.random);
            match fate {
                Fate::Done => self.carry_out(&subject.1, *count),
                Fate::Lost => {}
                Fate::Late(delay) => {
                    self.late.push((self.second + delay, subject.1.clone(), *count));
                }
            }
            self.dispatch.answered(now, subject, *count, fate == Fate::Done);
        }
        due.into_iter().map(|(subject, count)| (subject.1, count)).collect()
    }

    /// Runs one second under `load`.
    pub fn step<F>(&mut self, load: u32, fate: &mut F)
    where
        F: FnMut(u64, &mut rand_chacha::ChaCha8Rng) -> Fate,
    {
        let now = time::Duration::from_secs(self.second);
        self.carry_out_late();
        let refused = self.serve(load);
        let seen = self.observe();
        for (zone, it) in &seen.zones {
            let subject = (SERVICE.to_owned(), zone.clone());
            self.dispatch.observe(now, &subject, it, self.bounds.boot);
        }
        let orders = self.scaler.decide(now, SERVICE, &seen);
        self.recorded = self.scaler.desired().collect();
        let calls = self.call(fate);
        let desired =
            |zone: &id::ZoneId| self.recorded.get(&(SERVICE.to_owned(), zone.clone())).copied();
        self.history.push(Second {
            load,
            refused,
            ready: self.zones.values().map(|zone| self.ready(zone)).collect(),
            desired: self.zones.keys().map(desired).collect(),
            orders,
            calls,
        });
        self.second += 1;
    }

    /// Runs for `seconds` under `load`, a function of the second since the start of the world,
    /// with a platform that carries out all calls.
    pub fn run<F>(&mut self, seconds: u64, load: F)
    where
        F: Fn(u64) -> u32,
    {
        self.run_with(seconds, load, |_, _| Fate::Done);
    }

    /// Like [`Self::run`], with the given fates of calls.
    pub fn run_with<F, G>(&mut self, seconds: u64, load: F, mut fate: G)
    where
        F: Fn(u64) -> u32,
        G: FnMut(u64, &mut rand_chacha::ChaCha8Rng) -> Fate,
    {
        for _ in 0..seconds {
            self.step(load(self.second), &mut fate);
        }
    }

    /// Numbers that the platform was told last; panics if a zone was told none.
    pub fn ordered(&self) -> Vec<u32> {
        self.zones.values().map(|zone| zone.ordered.expect("nothing ordered")).collect()
    }

    /// Number of decisions and of calls so far.
    pub fn count(&self) -> (usize, usize) {
        let orders = self.history.iter().map(|it| it.orders.len()).sum();
        (orders, self.history.iter().map(|it| it.calls.len()).sum())
    }
}

impl Second {
    /// Number of calls that the planned share of the slots carries without the largest zone.
    pub fn safe_load(&self) -> u32 {
        let lost = self.ready.iter().max().copied().unwrap_or_default();
        (self.ready.iter().sum::<u32>() - lost) * SLOTS / 2
    }
}
