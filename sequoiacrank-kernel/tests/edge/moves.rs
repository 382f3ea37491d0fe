//! Moves of versions on several hosts that share the results of their calls.

use std::net;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::edge::moves;
use sequoiacrank_kernel::policy;
use sequoiacrank_kernel::rollout;

use crate::records;
use crate::site;

const HOSTS: usize = 7;
/// Number of hosts that get the evidence of all others and decide on the outcome of the move.
const DECIDERS: usize = 2;
/// Duration of the ordered move.
const MOVE_TIME: time::Duration = time::Duration::from_secs(30);
const BOUND: moves::Bound = moves::Bound { share: 0.1, slack: 50.0 };
/// Requests per second, all hosts together.
const RATE: u64 = 40;

fn address(host: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, host as u8], 7000))
}

/// How the new version behaves.
#[derive(Clone, Copy)]
struct Version {
    /// Share of its calls that fail.
    fails: f64,
    /// Factor by which its calls take longer.
    slow: f64,
    /// Time from which on it fails or is slow.
    from: time::Duration,
    /// The only one of two routes on which it fails or is slow; both if `None`.
    route: Option<&'static str>,
}

const GOOD: Version = Version { fails: 0.0, slow: 1.0, from: time::Duration::ZERO, route: None };

struct World {
    hosts: Vec<moves::Moves>,
    version: Version,
    random: rand_chacha::ChaCha8Rng,
    /// Requests to the new version, and all requests.
    new: u64,
    all: u64,
    /// Bad answers of the new version, with their times.
    bad: Vec<time::Duration>,
    /// Time of the last request to the new version.
    last: time::Duration,
    /// States of the move written to the store, with their times.
    written: Vec<(time::Duration, moves::State)>,
}

impl World {
    fn new(version: Version, seed: u64) -> Self {
        let mut hosts: Vec<_> = (0..HOSTS).map(|_| moves::Moves::default()).collect();
        let order =
            moves::Order { target: "v2".into(), time: MOVE_TIME, position: records::position(3) };
        for host in &mut hosts {
            host.set_orders(
                site::ms(0),
                [("desk".to_owned(), order.clone())].into_iter().collect(),
                true,
            );
        }
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        World {
            hosts,
            version,
            random,
            new: 0,
            all: 0,
            bad: Vec::new(),
            last: time::Duration::ZERO,
            written: Vec::new(),
        }
    }

    fn request(&mut self, now: time::Duration) {
        let host = self.random.random_range(0..HOSTS);
        let moves = &mut self.hosts[host];
        let filter =
            moves.filter("desk", HOSTS, &BOUND, self.random.random()).expect("service has a move");
        let version = if filter.matches("v2") { "v2" } else { "v1" };
        let route = if self.random.random_bool(0.5) { "bids" } else { "lots" };
        self.all += 1;
        let new = version == "v2";
        let behavior = self.version;
        let faulty = new && now >= behavior.from && behavior.route.is_none_or(|it| it == route);
        let good = !(faulty && self.random.random_bool(behavior.fails));
        let slow = if faulty { behavior.slow } else { 1.0 };
        let taken = time::Duration::from_secs_f64(self.random.random_range(0.015..0.025) * slow);
        if new {
            self.new += 1;
            self.last = now;
            if !good || slow > 1.0 {
                self.bad.push(now);
            }
        }
        moves.record_sent("desk", version);
        let call = policy::Call { service: "desk", version, route, good, taken };
        moves.record_end(&call, &rollout::Sequential);
    }

    /// Sends the evidence to the hosts that decide, and the phases of moves to the neighbours on a
    /// ring.
    fn share(&mut self, now: time::Duration, from: usize, digests: &[moves::Digest]) {
        for (to, host) in self.hosts.iter_mut().enumerate().filter(|(to, _)| *to != from) {
            let near = (to + 1) % HOSTS == from || (from + 1) % HOSTS == to;
            for digest in digests {
                let phase = moves::Digest { evidence: Vec::new(), ..digest.clone() };
                let shared = if to < DECIDERS { digest } else { &phase };
                if to < DECIDERS || near {
                    host.merge(now, address(from), &address(from).to_string(), shared);
                }
            }
        }
    }

    fn run(&mut self, to: time::Duration) {
        let alive: Vec<_> = (1..HOSTS).map(address).collect();
        for tick in 0..to.as_millis() as u64 {
            let now = site::ms(tick);
            if tick % (1000 / RATE) == 0 {
                self.request(now);
            }
            if tick % 200 == 0 {
                for (own, host) in self.hosts.iter_mut().enumerate() {
                    host.tick(now, &rollout::Sequential, own < DECIDERS);
                }
                for update in self.hosts[0].updates(now, |_, _| 0, &alive) {
                    self.written.push((now, update.state));
                    self.hosts[0].apply_stored("desk", "v2", update.state);
                }
            }
            if tick % 400 == 0 {
                let digests: Vec<_> =
                    self.hosts.iter().map(|it| it.digests(now, |_, _| 0)).collect();
                for (from, digests) in digests.iter().enumerate() {
                    self.share(now, from, digests);
                }
            }
        }
    }

    fn states(&self) -> Vec<moves::State> {
        self.written.iter().map(|(_, state)| *state).collect()
    }

    fn assert_reverted(&self) {
        assert_eq!(self.states(), [moves::State::Active, moves::State::Reverted]);
        let most = BOUND.share * self.all as f64 + BOUND.slack;
        assert!(self.new as f64 <= most, "{} of {most}", self.new);
        if let Some(fiftieth) = self.bad.get(49) {
            assert!(self.last <= *fiftieth + time::Duration::from_secs(5));
        }
    }
}

/// A version without faults gets all requests, and its move completes.
#[test]
fn good_version_completes() {
    for seed in 0..8 {
        let mut world = World::new(GOOD, seed);
        world.run(MOVE_TIME);
        assert_eq!(world.states(), [moves::State::Active, moves::State::Completed], "seed {seed}");
        let moved = world
            .hosts
            .iter()
            .all(|host| host.filter("desk", HOSTS, &BOUND, 0.99).is_some_and(|filter| filter.new));
        assert!(moved, "seed {seed}");
    }
}

/// A version whose calls fail is reverted before it gets more requests than the bound allows.
#[test]
fn failing_version_within_bound() {
    for (seed, fails) in [(1, 0.3), (2, 0.3), (3, 0.6), (4, 1.0)] {
        let mut world = World::new(Version { fails, ..GOOD }, seed);
        world.run(MOVE_TIME);
        world.assert_reverted();
    }
}

/// A version that is only slow, or bad on one of two routes, is reverted as well.
#[test]
fn slow_or_one_route_reverts() {
    for version in [
        Version { slow: 4.0, ..GOOD },
        Version { fails: 0.5, route: Some("lots"), ..GOOD },
        Version { slow: 4.0, route: Some("bids"), ..GOOD },
    ] {
        for seed in 0..4 {
            let mut world = World::new(version, seed);
            world.run(MOVE_TIME);
            world.assert_reverted();
        }
    }
}

/// The fault begins at a time when a shorter move would already have given the version all
/// requests. The version is reverted within the bound all the same.
#[test]
fn late_failure_within_bound() {
    for seed in 0..4 {
        let from = time::Duration::from_secs(12);
        let mut world = World::new(Version { fails: 0.5, from, ..GOOD }, seed);
        world.run(MOVE_TIME);
        world.assert_reverted();
    }
}

/// Without requests there is no evidence for the version, so the move is reverted at its end.
#[test]
fn no_requests_revert() {
    let mut host = moves::Moves::default();
    let order =
        moves::Order { target: "v2".into(), time: MOVE_TIME, position: records::position(3) };
    host.set_orders(site::ms(0), [("desk".to_owned(), order)].into_iter().collect(), true);
    host.apply_stored("desk", "v2", moves::State::Active);
    host.tick(MOVE_TIME, &rollout::Sequential, true);
    assert_eq!(host.updates(MOVE_TIME, |_, _| 0, &[])[0].state, moves::State::Reverted);
}

/// A process that starts in the middle of a move learns the phase from other hosts, and must not
/// use the target before.
#[test]
fn new_process_avoids_target() {
    let mut world = World::new(Version { fails: 1.0, ..GOOD }, 9);
    world.run(time::Duration::from_secs(10));
    let digest = world.hosts[0].digests(site::ms(10_000), |_, _| 0).remove(0);
    let mut new = moves::Moves::default();
    let order =
        moves::Order { target: "v2".into(), time: MOVE_TIME, position: records::position(3) };
    new.set_orders(site::ms(50), [("desk".to_owned(), order)].into_iter().collect(), false);
    let filter =
        |host: &moves::Moves| host.filter("desk", HOSTS, &BOUND, 0.0).expect("service has a move");
    assert!(!filter(&new).new && !filter(&new).strict);
    new.merge(site::ms(60), address(0), &address(0).to_string(), &digest);
    assert!(!filter(&new).new && filter(&new).strict);
    // The store takes precedence: the old version is gone.
    new.apply_stored("desk", "v2", moves::State::Completed);
    assert!(filter(&new).new);
}

/// The old version ends once the store has the move as completed, so completion waits for hosts
/// that still have calls to it.
#[test]
fn completes_when_drained() {
    let mut world = World::new(GOOD, 3);
    world.run(time::Duration::from_secs(25));
    let mut host = moves::Moves::default();
    let order =
        moves::Order { target: "v2".into(), time: MOVE_TIME, position: records::position(3) };
    host.set_orders(site::ms(0), [("desk".to_owned(), order)].into_iter().collect(), true);
    host.apply_stored("desk", "v2", moves::State::Active);
    let mut digest = world.hosts[1].digests(site::ms(25_000), |_, _| 1).remove(0);
    digest.phase = moves::Phase::Moved;
    host.merge(site::ms(25_000), address(1), &address(1).to_string(), &digest);
    let updates =
        |host: &moves::Moves, at: u64| host.updates(site::ms(at), |_, _| 0, &[address(1)]);
    assert_eq!(updates(&host, 25_000), []);
    assert_eq!(updates(&host, 28_000)[0].state, moves::State::Completed);
    digest.old_calls = 0;
    host.merge(site::ms(25_400), address(1), &address(1).to_string(), &digest);
    assert_eq!(updates(&host, 25_400)[0].state, moves::State::Completed);
}

/// A host that restarts again and again must not use its share of the bound's slack in each
/// process.
#[test]
fn restarts_within_bound() {
    let order =
        moves::Order { target: "v2".into(), time: MOVE_TIME, position: records::position(3) };
    let (mut all, mut new) = (0, 0);
    for restart in 0..30 {
        let mut host = moves::Moves::default();
        let orders = [("desk".to_owned(), order.clone())].into_iter().collect();
        host.set_orders(site::ms(0), orders, restart == 0);
        host.apply_stored("desk", "v2", moves::State::Active);
        for _ in 0..5 {
            let filter = host.filter("desk", HOSTS, &BOUND, 0.0).expect("service has a move");
            let version = if filter.matches("v2") { "v2" } else { "v1" };
            host.record_sent("desk", version);
            all += 1;
            new += u32::from(version == "v2");
        }
    }
    let most = BOUND.share * f64::from(all) + BOUND.slack / HOSTS as f64;
    assert!(f64::from(new) <= most, "{new} of {all}, allowed {most}");
}
