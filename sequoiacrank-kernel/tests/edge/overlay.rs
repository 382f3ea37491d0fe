//! Simulations of the control traffic between many hosts, and of which hosts they use, in logical
//! time.

use sequoiacrank_kernel::edge::members;

use crate::mesh;
use crate::site;

/// Time within which all hosts must stop using a lost one, in milliseconds.
const LOST_MS: u64 = 2500;
/// Time within which hosts must use each other after all of them have restarted, in milliseconds.
const REJOIN_MS: u64 = 3000;

/// Mean messages and bytes of a host in a second, and messages of the busiest host.
fn traffic(hosts: usize) -> (f64, f64, f64) {
    let mut world = mesh::World::new(hosts, 1);
    world.run(site::ms(6000));
    assert_eq!(world.count_wrong(), (0, 0), "{hosts} hosts");
    (world.messages, world.bytes) = (0, 0);
    world.sent.fill(0);
    world.run(site::ms(26_000));
    let each = 20.0 * hosts as f64;
    let busiest = world.sent.iter().max().copied().unwrap_or_default();
    (world.messages as f64 / each, world.bytes as f64 / each, busiest as f64 / 20.0)
}

/// The messages and bytes that a host sends must not grow with the number of hosts.
#[test]
fn traffic_per_host_is_constant() {
    let table: Vec<_> = [7, 30, 100, 300, 1000].map(|hosts| (hosts, traffic(hosts))).into();
    for (hosts, (messages, bytes, busiest)) in &table {
        println!(
            "{hosts} hosts: {messages:.1} messages, {bytes:.0} bytes per host and second, {busiest:.1} messages at most"
        );
    }
    let (few, many) = (table[2].1, table[4].1);
    assert!(many.0 <= 1.3 * few.0 && many.1 <= 1.3 * few.1, "{table:?}");
}

/// Runs until no host uses a dead one or leaves out a live one. Returns the time that this took, in
/// milliseconds.
fn settle_time(world: &mut mesh::World, limit: u64) -> u64 {
    let started = world.now;
    for step in 0..=limit / 50 {
        world.run(started + site::ms(step * 50));
        if world.count_wrong() == (0, 0) {
            return step * 50;
        }
    }
    panic!("{:?} after {limit} ms", world.count_wrong());
}

/// Killed hosts, from one to most of them, are out of use on all others in time.
#[test]
fn lost_hosts_drop_out() {
    for (lost, seed) in [(1, 1), (1, 2), (1, 3), (60, 4), (150, 5), (270, 6)] {
        let mut world = mesh::World::new(300, seed);
        world.run(site::ms(6000));
        (0..lost).for_each(|host| world.kill(host));
        let took = settle_time(&mut world, LOST_MS);
        println!("{lost} of 300 lost: {took} ms");
    }
}

/// All hosts are killed and restart together. They use each other again in time.
#[test]
fn all_restart() {
    for seed in 1..4 {
        let mut world = mesh::World::new(300, seed);
        world.run(site::ms(300));
        println!("300 started: {} ms", settle_time(&mut world, REJOIN_MS));
        world.run(site::ms(8000));
        (0..300).for_each(|host| world.kill(host));
        (0..300).for_each(|host| world.start(host, 300));
        world.run(world.now + site::ms(300));
        println!("300 restarted: {} ms", settle_time(&mut world, REJOIN_MS));
        let bytes = world.bytes;
        world.run(world.now + site::ms(1000));
        println!("{} bytes per host in the next second", (world.bytes - bytes) / 300);
    }
}

/// One host at a time stops and starts, as in planned restarts.
#[test]
fn restarts_in_series() {
    let mut world = mesh::World::new(100, 1);
    world.run(site::ms(6000));
    for host in 0..20 {
        world.kill(host);
        world.run(world.now + site::ms(500));
        world.start(host, 0);
        settle_time(&mut world, REJOIN_MS);
    }
}

/// Lost packets delay heartbeats. Because of that, no live host may be out of use on another one
/// for longer than a heartbeat interval.
#[test]
fn live_hosts_stay_under_packet_loss() {
    let mut world = mesh::World::new(300, 1);
    world.run(site::ms(6000));
    world.loss = 0.03;
    let mut since = None;
    for step in 1..=600 {
        world.run(site::ms(6000 + step * 50));
        let (missed, _) = world.count_wrong();
        since = if missed == 0 { None } else { since.or(Some(step)) };
        let long = since.map_or(0, |since| (step - since) * 50);
        assert!(site::ms(long) <= members::HEARTBEAT_INTERVAL, "{missed} at {step}");
    }
}

/// Hosts of two zones can't reach each other, while a third zone reaches both.
#[test]
fn partial_partition_keeps_all() {
    let mut world = mesh::World::new(60, 1);
    world.run(site::ms(6000));
    world.partition = Box::new(|one, other| one % 3 + other % 3 == 1);
    for step in 1..=100 {
        world.run(site::ms(6000 + step * 100));
        assert_eq!(world.count_wrong(), (0, 0), "at {step}");
    }
}

/// Each side of a partition continues by itself, and both find each other when it ends.
#[test]
fn full_partition_splits() {
    for (hosts, behind) in [(60, 20), (300, 60), (300, 1), (7, 2)] {
        let mut world = mesh::World::new(hosts, 1);
        world.run(site::ms(6000));
        world.partition = Box::new(move |one, other| (one < behind) != (other < behind));
        world.run(site::ms(8500));
        let uses = |world: &mesh::World, own: usize| {
            let (known, _) = world.host(own).expect("host is up");
            (0..hosts).filter(|&other| known.is_alive(mesh::address(other))).collect::<Vec<_>>()
        };
        for own in 0..hosts {
            let side = (0..hosts).filter(|&it| it != own && (it < behind) == (own < behind));
            assert_eq!(uses(&world, own), side.collect::<Vec<_>>(), "{hosts} hosts, {own}");
        }
        world.run(site::ms(14_000));
        world.partition = Box::new(|_, _| false);
        println!(
            "{behind} of {hosts} behind a partition: {} ms",
            settle_time(&mut world, REJOIN_MS)
        );
    }
}

/// Hosts that were suspended are used again soon after they continue.
#[test]
fn suspended_hosts_return() {
    for pause in [1000, 2000, 5000, 25_000] {
        let mut world = mesh::World::new(60, 1);
        world.run(site::ms(6000));
        (0..6).for_each(|host| world.pause(host, site::ms(pause)));
        world.run(site::ms(6000 + pause));
        println!("paused for {pause} ms: {} ms", settle_time(&mut world, REJOIN_MS));
    }
}

/// All hosts ask the same host first.
#[test]
fn candidate_order_is_shared() {
    let mut world = mesh::World::new(30, 1);
    world.run(site::ms(4000));
    let candidates = |own| {
        let (known, _) = world.host(own).expect("host is up");
        let mut candidates: Vec<_> = known.candidates().chain([known.own_candidate()]).collect();
        candidates.sort_unstable_by_key(|candidate| (candidate.cpu, candidate.hash));
        candidates
    };
    assert!((1..30).all(|own| candidates(own) == candidates(0)));
    assert_eq!(candidates(0).len(), 30);
}

/// A broadcast of a host that reads the store reaches each other host once.
#[test]
fn broadcast_reaches_each_once() {
    let mut world = mesh::World::new(300, 1);
    world.run(site::ms(6000));
    for root in [0, 1, 17] {
        let mut received = vec![0; world.len()];
        let mut pending = vec![(root, 0)];
        while let Some((own, depth)) = pending.pop() {
            let (known, _) = world.host(own).expect("host is up");
            let children = known.children(mesh::address(root));
            assert!(children.len() <= 6 && depth <= 4);
            for child in children {
                let child = (0..300)
                    .find(|&it| mesh::address(it) == child)
                    .expect("address belongs to a host");
                received[child] += 1;
                pending.push((child, depth + 1));
            }
        }
        assert!((0..300).all(|host| received[host] == usize::from(host != root)), "{received:?}");
    }
}

/// The clock of a host is behind that of its previous process, whose statements must not take
/// precedence over those of the new one.
#[test]
fn clock_behind_predecessor() {
    let mut world = mesh::World::new(20, 1);
    world.run(site::ms(6000));
    for host in [4, 5] {
        world.kill(host);
        world.clock_lag = site::ms(60_000);
        world.start(host, 0);
    }
    settle_time(&mut world, REJOIN_MS);
}
