//! Single rules of the lease.

use std::time;

use sequoiacrank_kernel::edge::duty::lease;
use sequoiacrank_kernel::id;

use super::world;
use super::world::Event;

const TICK: time::Duration = world::TICK;

/// Two hosts of which the first holds the lease, after these further events.
fn site(events: &[Event]) -> world::World {
    let mut world = world::World::new(2, world::Fakes::default());
    let first = [Event::Run(0), Event::Run(0), Event::Run(1)];
    for event in first.iter().chain(events) {
        world.apply(*event);
        world.check().expect("guarantee broken");
    }
    world
}

/// Lets a host decide until it waits.
fn settle(world: &mut world::World, host: usize) {
    while world.apply(Event::Run(host)) {}
}

/// What the lease of the first host does next with these facts.
fn next(world: &mut world::World, facts: &lease::Facts) -> lease::Action {
    let now = world.now;
    world.nodes[0].lease.next(now, facts)
}

/// Guards against a host that acts with a token again that the platform has refused, and against
/// one that acquires the lease again at once.
#[test]
fn fenced_holder_stops() {
    let mut world = site(&[]);
    let token = world.token(0).expect("no holder");
    world.nodes[0].lease.record_fenced(world.now, token - 1);
    assert_eq!(world.token(0), Some(token), "stopped for the token of an earlier lease");
    world.apply(Event::Fence(0));
    let lost = lease::Event::Lost(token, lease::Loss::Fenced);
    assert!(world.nodes[0].lease.take_events().contains(&lost));
    let until = world.now + world::PERIOD;
    while world.now < until {
        settle(&mut world, 0);
        assert_eq!(world.token(0), None);
        world.apply(Event::Pass(1));
    }
    settle(&mut world, 0);
    assert!(world.token(0).expect("not acquired again") > token);
}

/// Guards against a release that overtakes calls in flight, and against one that waits for them
/// longer than a second.
#[test]
fn release_waits_for_calls() {
    let mut world = site(&[]);
    let busy = lease::Facts { leaving: true, calls: 1, ..lease::Facts::default() };
    assert!(matches!(next(&mut world, &busy), lease::Action::Wait(_)));
    assert_eq!(world.token(0), None, "acts while it releases the lease");
    let mut other = world.clone();
    let idle = lease::Facts { calls: 0, ..busy };
    assert!(matches!(next(&mut other, &idle), lease::Action::Append(it) if it.record.released));
    world.now += time::Duration::from_millis(900);
    assert!(matches!(next(&mut world, &busy), lease::Action::Wait(_)));
    world.now += time::Duration::from_millis(200);
    assert!(matches!(next(&mut world, &busy), lease::Action::Append(it) if it.record.released));
}

/// Runs the first host for two periods and a tick while its calls get no answer, apart from one
/// after `answered` ticks. Returns whether it still holds the lease.
fn holds_without_platform(answered: Option<u32>) -> bool {
    let mut world = site(&[]);
    for tick in 0..=12 {
        world.nodes[0].lease.record_silence(world.now);
        if answered == Some(tick) {
            world.nodes[0].lease.record_answer();
        }
        settle(&mut world, 0);
        world.apply(Event::Pass(1));
    }
    let holds = world.nodes[0].lease.content().is_some();
    let released = world.records.last().is_some_and(|record| record.released);
    assert_eq!(holds, !released);
    if released {
        let until = world.now + world::PERIOD * 3 - TICK * 2;
        while world.now < until {
            settle(&mut world, 0);
            assert_eq!(world.token(0), None, "acquired again too early");
            world.apply(Event::Pass(1));
        }
        world.apply(Event::Pass(2));
        settle(&mut world, 0);
        assert!(world.nodes[0].lease.content().is_some(), "not acquired again");
    }
    holds
}

/// Guards against duties that rest because the link between the holder and the platform is cut.
#[test]
fn holder_without_platform_releases() {
    assert!(!holds_without_platform(None));
    assert!(holds_without_platform(Some(5)), "released although the platform answered");
}

/// Guards against two hosts on both sides of a network partition that take the lease from each
/// other, so that neither acts.
#[test]
fn partition_between_hosts() {
    let mut world = site(&[Event::Doubt(0), Event::Doubt(1)]);
    let token = world.token(0);
    for _ in 0..24 {
        settle(&mut world, 0);
        settle(&mut world, 1);
        assert_eq!(world.token(0), token);
        world.apply(Event::Pass(1));
    }
}

/// Guards against an outage of the store that costs the holder its lease although nobody else took
/// it.
#[test]
fn holder_resumes_after_outage() {
    let mut world = site(&[]);
    let token = world.token(0);
    for _ in 0..8 {
        world.apply(Event::Lose(0));
        world.apply(Event::Pass(1));
    }
    assert_eq!(world.token(0), None);
    world.apply(Event::Pass(1));
    settle(&mut world, 0);
    assert_eq!(world.token(0), token);
}

/// Guards against a single garbled answer of the store that takes the lease, and the state of the
/// duties with it, from a holder that renews.
#[test]
fn garbled_read() {
    let mut world = site(&[]);
    let facts = world.facts(1);
    let garbled = |world: &world::World| {
        let end = world.records.len() as u64;
        lease::Reading { end, offset: Some(end - 1), seen: lease::Seen::Unreadable }
    };
    let (now, reading) = (world.now, garbled(&world));
    world.nodes[1].lease.record_read(now, now, reading.clone());
    let action = world.nodes[1].lease.next(now, &facts);
    assert!(!matches!(action, lease::Action::Append(_)), "acquires after one read: {action:?}");
    // The record stays unreadable, so nobody renews it.
    let now = now + world::PERIOD / 2;
    world.nodes[1].lease.record_read(now, now, reading);
    let action = world.nodes[1].lease.next(now, &facts);
    assert!(matches!(action, lease::Action::Append(_)), "does not acquire: {action:?}");
}

/// Guards against an answer of the store that leaves out the record, because it is malformed, and is
/// taken for a store without one: the holder would lose the lease to a host that acts at once.
#[test]
fn record_left_out() {
    let mut world = site(&[]);
    let facts = world.facts(1);
    let end = world.records.len() as u64;
    let reading = lease::Reading { end, offset: None, seen: lease::Seen::Missing };
    let now = world.now;
    world.nodes[1].lease.record_read(now, now, reading.clone());
    let action = world.nodes[1].lease.next(now, &facts);
    assert!(!matches!(action, lease::Action::Append(_)), "acquires after one read: {action:?}");
    let now = now + world::PERIOD / 2;
    world.nodes[1].lease.record_read(now, now, reading);
    let action = world.nodes[1].lease.next(now, &facts);
    assert!(matches!(action, lease::Action::Append(_)), "does not acquire: {action:?}");
    world.nodes[1].lease.record_append(now, lease::Written::Done(end + 1));
    assert_eq!(world.nodes[1].lease.token(now), None, "acts at once");
}

/// Time after a release at which a host at this position acquires the lease.
fn acquires_after(position: usize) -> Option<time::Duration> {
    let mut world = site(&[Event::Leave(0), Event::Run(0)]);
    let start = world.now;
    let facts = lease::Facts { position: Some(position), ..world.facts(1) };
    for _ in 0..12 {
        let now: id::Time = world.now;
        match world.nodes[1].lease.next(now, &facts) {
            lease::Action::Append(_) => return Some(now - start),
            lease::Action::Read => {
                let end = world.records.len() as u64;
                let seen = lease::Seen::Record(world.records[world.records.len() - 1].clone());
                let reading = lease::Reading { end, offset: Some(end - 1), seen };
                world.nodes[1].lease.record_read(now, now, reading);
            }
            lease::Action::Wait(_) => world.now += TICK,
        }
    }
    None
}

/// Guards against duties that rest while both standbys are cut off from the platform, and against
/// reads by all hosts.
#[test]
fn order_of_acquisition() {
    assert!(acquires_after(1).is_some_and(|it| it <= TICK));
    assert!(acquires_after(5).is_some_and(|it| it >= world::PERIOD / 2));
    assert_eq!(acquires_after(6), None);
}
