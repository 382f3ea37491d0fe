//! Many hosts that start together, and what they tell each other.

use std::net;
use std::time;

use sequoiacrank_kernel::edge::budget;
use sequoiacrank_kernel::edge::members;
use sequoiacrank_kernel::edge::records;

use crate::site;

const HOSTS: u8 = 83;

fn address(host: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, host], 7000))
}

struct Message {
    at: time::Duration,
    from: usize,
    pulse: members::Pulse,
}

/// Hosts that all know the same three seeds.
struct World {
    hosts: Vec<members::Members>,
    messages: Vec<Message>,
    /// Time of each host's next pulse.
    beats: Vec<time::Duration>,
    /// Names sent in all.
    names: usize,
    /// Way of a message.
    way: time::Duration,
}

/// Hosts start within 0.3 s.
fn start(own: usize) -> time::Duration {
    site::ms(own as u64 * 3)
}

impl World {
    fn new() -> Self {
        let mut hosts = vec![members::Members::default(); usize::from(HOSTS)];
        for (own, host) in hosts.iter_mut().enumerate() {
            for seed in (0..3).filter(|&seed| usize::from(seed) != own) {
                host.add(start(own), address(seed));
            }
        }
        let beats = (0..hosts.len()).map(start).collect();
        World { hosts, messages: Vec::new(), beats, names: 0, way: site::ms(2) }
    }

    fn send(&mut self, now: time::Duration, from: usize, pulse: members::Pulse) {
        self.names += pulse.names.len();
        self.messages.push(Message { at: now + self.way, from, pulse });
    }

    fn receive(&mut self, now: time::Duration, message: Message) {
        let Message { from, pulse, .. } = message;
        let to = pulse.to;
        let own = usize::from(place(to));
        let sender = address(from as u8);
        let host = &mut self.hosts[own];
        let mut greeted = Vec::new();
        for name in pulse.names.into_iter().chain([sender]) {
            if name != to && host.add(now, name) {
                greeted.push(host.hello(name));
            }
        }
        greeted.extend(host.hear(now, sender));
        let (number, heard) = (pulse.number, pulse.heard);
        host.learn(now, sender, members::Signs { number, heard, ..members::Signs::default() });
        for pulse in greeted {
            self.send(now, own, pulse);
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for tick in from..to {
            let now = site::ms(tick);
            let (due, rest) =
                std::mem::take(&mut self.messages).into_iter().partition(|it| it.at <= now);
            self.messages = rest;
            for message in due {
                self.receive(now, message);
            }
            for own in 0..self.hosts.len() {
                if self.beats[own] == now {
                    self.beats[own] += members::pause(now - start(own));
                    let round = self.hosts[own].pulse(now);
                    assert!(round.silent.is_empty() && round.forgotten.is_empty());
                    for pulse in round.pulses {
                        self.send(now, own, pulse);
                    }
                }
            }
        }
    }
}

fn place(address: net::SocketAddr) -> u8 {
    match address.ip() {
        net::IpAddr::V4(ip) => ip.octets()[3],
        net::IpAddr::V6(_) => 0,
    }
}

#[test]
fn hosts_that_start_together_know_all_before_they_are_settled() {
    let mut world = World::new();
    for tick in 0..2000 {
        world.run(tick, tick + 1);
        let now = site::ms(tick);
        for (own, host) in world.hosts.iter().enumerate() {
            let alive = host.alive(now).len();
            let settled = host.unsettled(now).is_none();
            assert!(!settled || alive == usize::from(HOSTS) - 1, "host {own} at {tick}: {alive}");
        }
    }
}

/// Hosts with a small share of a core answer late: the way of a message is as long as between slow hosts
/// that all start together.
#[test]
fn slow_hosts_settle_later() {
    let mut world = World::new();
    world.way = site::ms(150);
    for tick in 0..2000 {
        world.run(tick, tick + 1);
        let now = site::ms(tick);
        for (own, host) in world.hosts.iter().enumerate() {
            let settled = now > start(own) && host.unsettled(now).is_none();
            let alive = host.alive(now).len();
            assert!(!settled || alive == usize::from(HOSTS) - 1, "host {own} at {tick}: {alive}");
        }
    }
}

#[test]
fn a_host_that_is_alone_waits_for_a_while() {
    let mut host = members::Members::default();
    host.add(site::ms(0), address(1));
    assert!(host.unsettled(site::ms(700)).is_some());
    assert!(host.unsettled(site::ms(1000)).is_none());
    // One that joins later changes nothing.
    host.hear(site::ms(5000), address(1));
    assert!(host.unsettled(site::ms(5001)).is_none());
}

/// Names in each pulse took a quarter of a slow link, and more while hosts lost each other for it.
#[test]
fn names_of_hosts_do_not_fill_links() {
    let mut world = World::new();
    world.run(0, 2000);
    let before = world.names;
    world.run(2000, 12_000);
    let hosts = usize::from(HOSTS);
    // Once all names for each pair of hosts within ten seconds.
    let each = (world.names - before) / (hosts * (hosts - 1));
    assert!(each <= hosts, "{each} names from one host to another");
}

#[test]
fn a_host_that_is_not_heard_is_told_by_its_echoes() {
    let mut host = members::Members::default();
    host.add(site::ms(0), address(1));
    let mut silent = Vec::new();
    for number in 0..11 {
        let now = site::ms(number * 400);
        host.hear(now, address(1));
        // The other side hears none of the pulses.
        host.learn(now, address(1), members::Signs { number, ..members::Signs::default() });
        silent.push(!host.pulse(now).silent.is_empty());
    }
    assert_eq!(silent.iter().filter(|it| **it).count(), 2, "{silent:?}");
}

#[test]
fn a_lost_host_is_not_asked_and_is_forgotten() {
    let mut host = members::Members::default();
    host.add(site::ms(0), address(1));
    host.hear(site::ms(100), address(1));
    assert_eq!(host.asked(site::ms(1000)).len(), 1);
    host.pass_over(site::ms(1000), address(1));
    assert_eq!(host.asked(site::ms(1100)).len(), 0);
    assert_eq!(host.alive(site::ms(2000)).len(), 0);
    assert_eq!(host.sharers(site::ms(2000)), 2);
    assert_eq!(host.pulse(site::ms(21_000)).forgotten, [address(1)]);
    assert_eq!(host.alive(site::ms(21_000)).len(), 0);
    // It may be cut off and use its part of bounds over all hosts, until long after.
    assert_eq!(host.sharers(site::ms(21_000)), 2);
    host.pulse(site::ms(900_200));
    assert_eq!(host.sharers(site::ms(900_200)), 1);
}

/// A large configuration comes in force, and all other hosts tell of it with each pulse. Copies that were
/// fetched from hosts beside the own read of the store took all links for over a second.
#[test]
fn one_host_is_asked_for_newer_records_at_a_time() {
    let mut known: records::Records<u8> = records::Records::default();
    known.merge(Vec::new(), 5, site::ms(0));
    let asked = |known: &mut records::Records<u8>, from: u64| {
        let pulses = (0..u64::from(HOSTS)).map(|host| site::ms(from + 4 * host));
        pulses.filter_map(|now| known.ask(now, 9)).collect::<Vec<_>>()
    };
    // The store may still send them.
    assert_eq!(asked(&mut known, 1000), []);
    assert_eq!(asked(&mut known, 1400), [5]);
    // The first did not answer.
    assert_eq!(asked(&mut known, 1800), [5]);
    known.merge(Vec::new(), 9, site::ms(2200));
    assert_eq!(asked(&mut known, 2201), []);
}

#[test]
fn records_that_the_store_sends_are_not_asked_of_hosts() {
    let mut known: records::Records<u8> = records::Records::default();
    for version in 1..20 {
        let now = site::ms(version * 1000);
        assert_eq!(known.ask(now, version), None);
        known.merge(Vec::new(), version, now + site::ms(100));
        assert_eq!(known.ask(now + site::ms(400), version), None);
    }
}

/// Hosts that do not hear each other for long divide the bound on repeats among as many as before.
#[test]
fn hosts_that_lose_each_other_do_not_use_more_than_the_budget_of_repeats() {
    let bound = budget::Bound { ratio: 0.2, slack: 54.0, span: site::ms(10_000) };
    let mut hosts = vec![members::Members::default(); 7];
    for (own, host) in hosts.iter_mut().enumerate() {
        for other in (0..7).filter(|&other| usize::from(other) != own) {
            host.add(site::ms(0), address(other));
            host.hear(site::ms(0), address(other));
        }
    }
    let mut budgets = vec![budget::Budget::default(); hosts.len()];
    let (mut requests, mut repeats) = (0, 0);
    for tick in 0..600 {
        let now = site::ms(tick * 100);
        for (host, budget) in hosts.iter_mut().zip(&mut budgets) {
            host.pulse(now);
            if now >= site::ms(50_000) {
                requests += 1;
                budget.request(now, &bound);
                repeats +=
                    u32::from(budget.repeat(now, &bound, &host.part(now, bound.memory())).granted);
            }
        }
    }
    let most = bound.ratio * f64::from(requests) + bound.slack;
    assert!(f64::from(repeats) <= most, "{repeats} of {most}");
}

#[test]
fn a_host_that_left_has_no_part_of_bounds_once_it_is_forgotten() {
    let mut host = members::Members::default();
    host.add(site::ms(0), address(1));
    host.hear(site::ms(100), address(1));
    let leaving = members::Signs { leaving: true, ..members::Signs::default() };
    host.learn(site::ms(100), address(1), leaving);
    assert_eq!(host.sharers(site::ms(2000)), 2);
    host.pulse(site::ms(21_000));
    assert_eq!(host.sharers(site::ms(21_000)), 1);
}

/// A process that has just started may follow one that used its part of a bound, and knows few hosts.
#[test]
fn a_host_earns_its_part_of_a_bound_and_has_none_while_it_hears_nobody() {
    let span = site::ms(10_000);
    let part = |hosts, earned| members::Part { hosts, earned };
    let mut host = members::Members::default();
    assert_eq!(host.part(site::ms(0), span), part(1, 0.0));
    assert!(host.part(site::ms(9_999), span).earned < 0.41);
    assert_eq!(host.part(site::ms(10_000), span), part(1, 1.0));
    host.add(site::ms(0), address(1));
    assert_eq!(host.part(site::ms(20_000), span), part(2, 0.0));
    host.hear(site::ms(20_000), address(1));
    assert_eq!(host.part(site::ms(20_000), span), part(2, 1.0));
    // The other one knows of more that this one does not hear.
    let signs = members::Signs { known: 7, ..members::Signs::default() };
    host.learn(site::ms(20_100), address(1), signs);
    assert_eq!(host.part(site::ms(20_100), span), part(7, 1.0));
}

/// One host restarts again and again, as often as fits; each process repeats all that it may.
#[test]
fn processes_of_one_host_do_not_use_more_than_its_part_of_the_budget_together() {
    let bound = budget::Bound { ratio: 0.0, slack: 54.0, span: site::ms(10_000) };
    for life in [100, 500, 1000, 3000, 7000, 10_900, 11_100, 15_000] {
        let mut repeats = Vec::new();
        let (mut host, mut budget, mut started) =
            (members::Members::default(), budget::Budget::default(), 0);
        for tick in 0..8000 {
            let now = tick * 10;
            // The first process is old, and others follow it at once.
            if now > 20_000 && now >= started + life {
                (host, budget, started) =
                    (members::Members::default(), budget::Budget::default(), now);
            }
            let age = site::ms(now - started);
            let failing = now >= 19_900;
            let part = host.part(age, bound.memory());
            if failing && budget.repeat(age, &bound, &part).granted {
                repeats.push(now);
            }
            host.pulse(age);
        }
        let within =
            |from: u64| repeats.iter().filter(|&&at| at >= from && at < from + 10_000).count();
        let most = repeats.iter().map(|&from| within(from)).max().unwrap_or_default();
        assert!(most as f64 <= bound.slack && most > 0, "lives of {life} ms: {most}");
    }
}

/// What a process sent before it ended may be read after what the next one at its address sent.
#[test]
fn messages_of_a_process_that_has_ended_are_told_from_those_of_the_next_one() {
    let mut host = members::Members::default();
    host.add(site::ms(0), address(1));
    assert_eq!(host.life(address(1), 70, 1), members::Life::New);
    assert_eq!(host.life(address(1), 70, 1), members::Life::Same);
    assert_eq!(host.life(address(1), 71, 4), members::Life::New);
    assert_eq!(host.life(address(1), 70, 1), members::Life::Ended);
    assert_eq!(host.life(address(1), 71, 4), members::Life::Same);
    // A connection made anew by the same process, and what is left on the one before.
    assert_eq!(host.life(address(1), 71, 5), members::Life::Same);
    assert_eq!(host.life(address(1), 71, 4), members::Life::Same);
}
