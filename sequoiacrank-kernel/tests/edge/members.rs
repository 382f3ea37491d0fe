//! Tests of what one host knows of others, and of hosts that start together.

use std::net;

use sequoiacrank_kernel::edge::budget;
use sequoiacrank_kernel::edge::members;
use sequoiacrank_kernel::edge::members::shares;
use sequoiacrank_kernel::edge::members::statement;
use sequoiacrank_kernel::edge::records::Request;
use sequoiacrank_kernel::id;

use crate::mesh;
use crate::records;
use crate::site;

const HOSTS: u8 = 83;

fn address(host: u8) -> net::SocketAddr {
    mesh::address(usize::from(host))
}

fn statement(host: u8) -> statement::Statement {
    statement::Statement::first(address(host), u64::from(host) + 100, 1, 250)
}

fn host(own: u8) -> members::Members {
    members::Members::new(statement(own))
}

/// Host 0, which hears host 1 and is heard by it. Host 1 is simulated only by its messages.
fn pair() -> members::Members {
    let mut host = host(0);
    host.add(site::ms(0), address(1));
    deliver(
        &mut host,
        100,
        members::heartbeat::Header { chosen: true, ..members::heartbeat::Header::default() },
    );
    host
}

/// Delivers messages of host 1, which hears host 0.
fn deliver(host: &mut members::Members, at: u64, header: members::heartbeat::Header) {
    let now = site::ms(at);
    let hears = vec![statement::short_id(statement(0).process)];
    let newest = statement::Statement { hears, version: 2, ..statement(1) };
    host.record_process(address(1), newest.process, 1);
    host.merge(now, address(1), vec![newest]);
    host.record_message(now, address(1));
    host.record_heartbeat(now, address(1), header);
    host.flush(now);
}

/// A statement about an earlier process of this host with the last possible epoch must not overflow.
#[test]
fn last_epoch_of_earlier_process() {
    let mut own = host(0);
    let earlier = statement::Statement { process: 7, epoch: u64::MAX, ..statement(0) };
    assert!(own.merge(site::ms(1), address(1), vec![earlier]).is_empty());
    own.flush(site::ms(2));
    assert_eq!(own.statements()[0].epoch, u64::MAX);
}

/// Checks that no host is settled before it uses all others.
fn check_settling(world: &mut mesh::World) {
    for tick in 0..2000 {
        world.run(site::ms(tick));
        for own in 0..world.len() {
            let Some((host, age)) = world.host(own) else { continue };
            let alive = host.alive().len();
            let settled = host.settling_time(age).is_none();
            assert!(!settled || alive == world.len() - 1, "host {own} at {tick}: {alive}");
        }
    }
}

/// Hosts that start together are not settled before they use all others.
#[test]
fn settled_hosts_know_all() {
    for hosts in [7, usize::from(HOSTS), 300] {
        check_settling(&mut mesh::World::new(hosts, 1));
    }
}

/// Hosts with a small share of a core answer late. The delay of messages is as long as between slow
/// hosts that all start together.
#[test]
fn slow_hosts_settle() {
    let mut world = mesh::World::new(usize::from(HOSTS), 1);
    world.delay = Some(site::ms(150));
    check_settling(&mut world);
}

/// A host whose seeds don't answer settles after a while, and stays settled when another one joins.
#[test]
fn lone_host_settles() {
    let mut host = host(0);
    host.add(site::ms(0), address(1));
    assert!(host.settling_time(site::ms(700)).is_some());
    assert!(host.settling_time(site::ms(1000)).is_none());
    // A host that joins later changes nothing.
    deliver(
        &mut host,
        5000,
        members::heartbeat::Header { chosen: true, ..members::heartbeat::Header::default() },
    );
    assert!(host.is_alive(address(1)));
    assert!(host.settling_time(site::ms(5001)).is_none());
}

/// Guards against heartbeats that carry the statements of all hosts. They took a quarter of a slow
/// link, and more when hosts considered each other lost because of that.
#[test]
fn steady_heartbeats_carry_no_statements() {
    let mut world = mesh::World::new(usize::from(HOSTS), 1);
    world.run(site::ms(4000));
    let before = world.statements;
    world.run(site::ms(14_000));
    assert_eq!(world.statements, before);
}

/// A connection works in one direction only: heartbeats of the other host arrive, but acknowledge
/// none. The host reconnects, but not in each round.
#[test]
fn unacknowledged_heartbeats_reconnect() {
    let mut host = pair();
    let mut reconnects = Vec::new();
    for number in 1..12 {
        // The other side receives none of the heartbeats.
        let header = members::heartbeat::Header {
            number,
            chosen: true,
            ..members::heartbeat::Header::default()
        };
        deliver(&mut host, number * 400, header);
        reconnects.push(!host.next_round(site::ms(number * 400)).reconnect.is_empty());
    }
    assert_eq!(reconnects.iter().filter(|it| **it).count(), 2, "{reconnects:?}");
}

/// A lost host is not asked for work and is forgotten later. It keeps its share of bounds for as
/// long as it may use it.
#[test]
fn lost_host_is_forgotten() {
    let mut host = pair();
    let candidates = |host: &members::Members, at| host.work_candidates(site::ms(at)).count();
    assert_eq!(candidates(&host, 1000), 1);
    host.back_off(site::ms(1000), address(1));
    assert_eq!(candidates(&host, 1100), 0);
    (1..10).for_each(|round| drop(host.next_round(site::ms(round * 400))));
    assert_eq!(host.alive().len(), 0);
    assert_eq!(host.sharing_hosts(site::ms(4000)), 2);
    let forgotten = |round: u64| host.next_round(site::ms(round * 400)).forgotten;
    assert_eq!((10..60u64).flat_map(forgotten).collect::<Vec<_>>(), [address(1)]);
    // The host may be cut off and still use its share of bounds over all hosts, until that expires
    // after 15 minutes.
    assert_eq!(host.sharing_hosts(site::ms(24_000)), 2);
    host.next_round(site::ms(920_000));
    assert_eq!(host.sharing_hosts(site::ms(920_000)), 1);
}

/// Messages that arrived while a process was suspended are read before its next heartbeat. A
/// neighbour that is lost at that time has to be noticed as early as any other.
#[test]
fn loss_noticed_after_suspension() {
    let mut host = pair();
    (1..5).for_each(|round| drop(host.next_round(site::ms(round * 400))));
    let header =
        members::heartbeat::Header { chosen: true, ..members::heartbeat::Header::default() };
    deliver(&mut host, 11_600, header);
    // The host is out of use within 2.5 s.
    (29..=35).for_each(|round| drop(host.next_round(site::ms(round * 400))));
    assert!(!host.is_alive(address(1)));
}

/// Guards against giving up the work of a host that is suspended for two seconds. A host whose
/// connection has closed, as when it is killed, counts as ended sooner.
#[test]
fn silent_host_has_ended() {
    let ended_after = |host: &mut members::Members, end: u64| {
        (1..=end / 400).for_each(|round| drop(host.next_round(site::ms(round * 400))));
        host.has_ended(site::ms(end), address(1))
    };
    let mut paused = pair();
    assert!(!ended_after(&mut paused, 1200));
    assert!(!ended_after(&mut paused, 3200));
    assert!(ended_after(&mut paused, 4800));
    deliver(&mut paused, 4900, members::heartbeat::Header::default());
    assert!(!paused.has_ended(site::ms(5000), address(1)));

    let mut killed = pair();
    killed.record_closed(1);
    assert!(!ended_after(&mut killed, 1200));
    assert!(ended_after(&mut killed, 2000));

    let mut reconnected = pair();
    reconnected.record_closed(1);
    reconnected.record_process(address(1), statement(1).process, 2);
    reconnected.record_closed(1);
    assert!(!ended_after(&mut reconnected, 2000));
}

/// A host that does not answer is left out for a longer time after each request, until it is heard
/// again.
#[test]
fn back_off_doubles() {
    let mut host = pair();
    let mut now = site::ms(200);
    let mut asked = 0;
    while now < site::ms(30_000) {
        if host.work_candidates(now).next().is_some() {
            asked += 1;
            host.back_off(now, address(1));
        }
        now += site::ms(100);
    }
    assert_eq!(asked, 4);
    host.record_message(now, address(1));
    host.back_off(now, address(1));
    assert!(host.work_candidates(now + site::ms(2100)).next().is_some());
}

/// Guards against one silence that counts once for each job that waits: a silence of a second kept
/// a host without work for 16 s.
#[test]
fn back_off_counts_silences() {
    let mut host = pair();
    (0..20).for_each(|job| host.back_off(site::ms(200 + job), address(1)));
    assert_eq!(host.work_candidates(site::ms(2100)).count(), 0);
    assert_eq!(host.work_candidates(site::ms(2300)).count(), 1);
}

type Records = sequoiacrank_kernel::edge::records::Records<u8>;

/// Offset from which on to fetch records from a host that has those up to `end`.
fn fetch_from(known: &mut Records, now: id::Time, end: u64) -> Option<u64> {
    match known.request(now, records::position(end), None)? {
        Request::From(from) => Some(from.offset),
        Request::Compare => panic!("nothing to compare"),
    }
}

/// When a large configuration comes into force, all other hosts announce it with each heartbeat.
/// Copies fetched from hosts while the store was read as well filled all links for over a second.
#[test]
fn fetch_asks_one_host_at_a_time() {
    let mut known = records::empty();
    records::merge(&mut known, Vec::new(), 5, site::ms(0));
    let fetches = |known: &mut Records, from: u64| {
        let heartbeats = (0..u64::from(HOSTS)).map(|host| site::ms(from + 4 * host));
        heartbeats.filter_map(|now| fetch_from(known, now, 9)).collect::<Vec<_>>()
    };
    // The store may still send them.
    assert_eq!(fetches(&mut known, 1000), []);
    assert_eq!(fetches(&mut known, 1400), [5]);
    // The first host did not answer.
    assert_eq!(fetches(&mut known, 1800), [5]);
    records::merge(&mut known, Vec::new(), 9, site::ms(2200));
    assert_eq!(fetches(&mut known, 2201), []);
}

/// Records that the store sends soon are not fetched from other hosts as well.
#[test]
fn fetch_waits_for_store() {
    let mut known = records::empty();
    for version in 1..20 {
        let now = site::ms(version * 1000);
        assert_eq!(fetch_from(&mut known, now, version), None);
        records::merge(&mut known, Vec::new(), version, now + site::ms(100));
        assert_eq!(fetch_from(&mut known, now + site::ms(400), version), None);
    }
}

/// Hosts that have not heard each other for a long time still divide the bound on repeats among as
/// many hosts as before.
#[test]
fn partitioned_hosts_keep_budget() {
    let bound = budget::Bound { ratio: 0.2, slack: 54.0, span: site::ms(10_000) };
    let mut world = mesh::World::new(7, 1);
    world.run(site::ms(3000));
    let known = |own| world.host(own).map(|(host, _)| host.clone());
    let mut hosts: Vec<_> = (0..7).filter_map(known).collect();
    let mut budgets = vec![budget::Budget::default(); hosts.len()];
    let (mut requests, mut repeats) = (0, 0);
    for tick in 0..600 {
        let now = site::ms(tick * 100);
        for (host, budget) in hosts.iter_mut().zip(&mut budgets) {
            host.next_round(now);
            if now >= site::ms(50_000) {
                requests += 1;
                budget.record_request(now, &bound);
                repeats += u32::from(
                    budget.try_repeat(now, &bound, &host.share(now, bound.retention())).granted,
                );
            }
        }
    }
    let limit = bound.ratio * f64::from(requests) + bound.slack;
    assert!(f64::from(repeats) <= limit, "{repeats} of {limit}");
}

/// A host that announced its departure has no share of bounds once it is forgotten.
#[test]
fn left_host_has_no_share() {
    let mut host = pair();
    let leaving = statement::Statement { leaving: true, version: 3, ..statement(1) };
    assert!(host.merge(site::ms(200), address(1), vec![leaving])[0].leaving);
    assert_eq!(host.sharing_hosts(site::ms(2000)), 2);
    (1..60).for_each(|round| drop(host.next_round(site::ms(round * 400))));
    assert_eq!(host.sharing_hosts(site::ms(24_000)), 1);
}

/// A new process may follow one that used its share of a bound, and it knows few hosts at first. It
/// earns its share over the time span of the bound.
#[test]
fn share_is_earned() {
    let span = site::ms(10_000);
    let share = |hosts, earned| shares::Share { hosts, earned };
    let mut host = host(0);
    assert_eq!(host.share(site::ms(0), span), share(1, 0.0));
    assert!(host.share(site::ms(9_999), span).earned < 0.41);
    assert_eq!(host.share(site::ms(10_000), span), share(1, 1.0));
    host.add(site::ms(0), address(1));
    assert_eq!(host.share(site::ms(20_000), span), share(2, 0.0));
    let header =
        members::heartbeat::Header { chosen: true, ..members::heartbeat::Header::default() };
    deliver(&mut host, 20_000, header);
    assert_eq!(host.share(site::ms(20_000), span), share(2, 1.0));
    // The other host knows of hosts that this one does not hear; their number is passed on with its
    // age.
    let known = shares::HostCount { hosts: 7, age: site::ms(5000) };
    host.record_heartbeat(
        site::ms(20_100),
        address(1),
        members::heartbeat::Header { known, ..header },
    );
    assert_eq!(host.share(site::ms(20_100), span), share(7, 1.0));
    assert_eq!(host.hello(site::ms(21_100), address(1)).header.known.age, site::ms(6000));
    // No host has confirmed that number recently.
    assert_eq!(host.share(site::ms(35_200), span), share(2, 1.0));
}

/// One host restarts as often as possible, and each of its processes repeats as many requests as it
/// may.
#[test]
fn restarts_keep_budget() {
    let bound = budget::Bound { ratio: 0.0, slack: 54.0, span: site::ms(10_000) };
    for lifetime in [100, 500, 1000, 3000, 7000, 10_900, 11_100, 15_000] {
        let mut repeats = Vec::new();
        let (mut host, mut budget, mut started) =
            (members::Members::new(statement(0)), budget::Budget::default(), 0);
        for tick in 0..8000 {
            let now = tick * 10;
            // The first process is old, and its successors follow without a pause.
            if now > 20_000 && now >= started + lifetime {
                (host, budget, started) =
                    (members::Members::new(statement(0)), budget::Budget::default(), now);
            }
            let age = site::ms(now - started);
            let failing = now >= 19_900;
            let share = host.share(age, bound.retention());
            if failing && budget.try_repeat(age, &bound, &share).granted {
                repeats.push(now);
            }
            host.next_round(age);
        }
        let within =
            |from: u64| repeats.iter().filter(|&&at| at >= from && at < from + 10_000).count();
        let peak = repeats.iter().map(|&from| within(from)).max().unwrap_or_default();
        assert!(peak as f64 <= bound.slack && peak > 0, "lifetimes of {lifetime} ms: {peak}");
    }
}

/// Messages that a process sent before it ended may be read after messages of its successor.
#[test]
fn process_status_of_late_messages() {
    let mut host = host(0);
    host.add(site::ms(0), address(1));
    assert_eq!(host.record_process(address(1), 70, 1), members::ProcessStatus::New);
    assert_eq!(host.record_process(address(1), 70, 1), members::ProcessStatus::Same);
    assert_eq!(host.record_process(address(1), 71, 4), members::ProcessStatus::New);
    assert_eq!(host.record_process(address(1), 70, 1), members::ProcessStatus::Ended);
    assert_eq!(host.record_process(address(1), 71, 4), members::ProcessStatus::Same);
    // The same process makes a new connection, and messages are left on the previous one.
    assert_eq!(host.record_process(address(1), 71, 5), members::ProcessStatus::Same);
    assert_eq!(host.record_process(address(1), 71, 4), members::ProcessStatus::Same);
}

/// Guards against closing the link of a live host for a new connection, and against keeping the
/// links of others.
#[test]
fn links_of_live_hosts_are_kept() {
    let mut host = pair();
    drop(host.next_round(site::ms(400)));
    assert!(host.uses_connection(site::ms(500), address(1), site::ms(100)));
    assert!(!host.uses_connection(site::ms(1500), address(1), site::ms(100)));
    assert!(!host.uses_connection(site::ms(500), address(2), site::ms(100)));
    (2..8).for_each(|round| drop(host.next_round(site::ms(round * 400))));
    assert!(!host.uses_connection(site::ms(2900), address(1), site::ms(2800)));
}
