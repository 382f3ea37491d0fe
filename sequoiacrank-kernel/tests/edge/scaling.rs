//! Numbers of endpoints under replayed loads.
//!
//! An endpoint is planned for 3 calls, and two of the three zones have to carry the load, so a zone
//! needs a sixth of the load.

mod world;

use std::collections;
use std::time;

use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::duty::scaling;
use sequoiacrank_kernel::edge::duty::scaling::dispatch;
use sequoiacrank_kernel::edge::duty::scaling::reports;

/// Asserts that the load of each second from `from` on could be carried without one zone.
fn assert_safe(world: &world::World, from: u64) {
    for (second, it) in world.history.iter().enumerate().skip(from as usize) {
        assert!(it.safe_load() >= it.load, "second {second}: {it:?}");
        assert_eq!(it.refused, 0, "second {second}: {it:?}");
    }
}

/// Asserts that no order and no call lies outside the bounds.
fn assert_bounded(world: &world::World) {
    let bounds = world.bounds.min..=world.bounds.max;
    for it in &world.history {
        assert!(it.orders.iter().all(|order| bounds.contains(&order.count)), "{it:?}");
        assert!(it.calls.iter().all(|(_, count)| bounds.contains(count)), "{it:?}");
    }
}

/// Guards against a number that follows each wave of the load: endpoints that a trough removes are
/// missing at the next crest.
#[test]
fn wave() {
    let mut world = world::World::new(20, 4, 60);
    world.run(300, |second| {
        let phase = second as f64 / 20.0 * std::f64::consts::TAU;
        (120.0 + 60.0 * phase.sin()) as u32
    });
    // The first crest comes in the 5th second, and the endpoints for it 8 s later.
    assert_safe(&world, 15);
    assert_bounded(&world);
    assert!(world.count().0 <= 24, "{:?}", world.count());
    assert_eq!(world.ordered(), [30, 30, 30]);
}

/// Guards against steps that grow too late or too little: twice the load that all slots carry.
#[test]
fn step() {
    let mut world = world::World::new(10, 4, 200);
    world.run(100, |second| if second < 40 { 60 } else { 300 });
    // One second until the orders, and 8 s until the endpoints serve.
    assert_safe(&world, 40 + 10);
    assert_bounded(&world);
    assert_eq!(world.ordered(), [50, 50, 50]);
    assert_eq!(world.count(), (3, 3));
}

/// Guards against endpoints that stay after a burst and cost money: the number is down to the need
/// 90 s after its end (30 s of demand window, 10 s of stabilization, and 21 steps of 2 s).
#[test]
fn burst_ends() {
    let mut world = world::World::new(10, 4, 200);
    world.run(60, |second| if second < 30 { 60 } else { 300 });
    assert_eq!(world.ordered(), [50, 50, 50]);
    world.run(39, |_| 30);
    assert_eq!(world.ordered(), [50, 50, 50], "reduced within the window");
    world.run(51, |_| 30);
    assert_eq!(world.ordered(), [5, 5, 5]);
    assert_safe(&world, 40);
    let reduced = world.history.iter().flat_map(|it| &it.orders);
    let mut reduced = reduced.filter(|order| order.count < order.before);
    assert!(reduced.all(|it| it.before - it.count <= (it.before / 8).max(1)));
}

/// Guards against a need that is computed for the zones that are left: a lost zone would double the
/// orders for the others, although they were ordered to carry its load.
#[test]
fn zone_lost() {
    let mut world = world::World::new(25, 4, 200);
    world.run(60, |_| 150);
    world.zones.get_mut("b").expect("no zone").lost = true;
    world.run(60, |_| 150);
    assert!(world.history.iter().all(|it| it.refused == 0));
    let left = |it: &world::Second| (it.ready[0] + it.ready[2]) * world::SLOTS / 2;
    assert!(world.history.iter().all(|it| left(it) >= it.load));
    world.zones.get_mut("b").expect("no zone").lost = false;
    world.run(60, |_| 150);
    assert_eq!(world.count(), (0, 0));
}

/// Guards against a lost zone that shows as a lower need: the other zones keep their endpoints even
/// if the load falls meanwhile.
#[test]
fn zone_lost_under_falling_load() {
    let mut world = world::World::new(25, 4, 200);
    world.run(60, |_| 150);
    world.zones.get_mut("b").expect("no zone").lost = true;
    world.run(60, |_| 60);
    assert_eq!(world.count().0, 0);
    world.zones.get_mut("b").expect("no zone").lost = false;
    world.run(60, |_| 60);
    assert_eq!(world.ordered(), [10, 10, 10]);
}

/// Guards against orders for a zone that operators have taken out of service, against others that
/// lose endpoints meanwhile, and against a zone that comes back with too few.
#[test]
fn zone_evacuated_and_back() {
    let mut world = world::World::new(25, 4, 200);
    world.run(60, |_| 150);
    world.zones.get_mut("c").expect("no zone").out = true;
    world.run(60, |second| if second < 80 { 150 } else { 240 });
    for it in &world.history {
        assert!(it.orders.iter().all(|order| order.zone != "c"), "{it:?}");
        assert!(it.calls.iter().all(|(zone, _)| zone != "c"), "{it:?}");
        assert_eq!(it.refused, 0, "{it:?}");
    }
    assert_eq!(world.history.last().expect("no history").ready, [40, 40, 25]);
    world.zones.get_mut("c").expect("no zone").out = false;
    world.run(12, |_| 240);
    assert_eq!(world.ordered(), [40, 40, 40]);
    assert_safe(&world, 130);
    assert_eq!(world.count().0, 3);
}

/// Guards against reductions while a zone is out of service: its load shows elsewhere, and the others
/// have to be able to take over more.
#[test]
fn zone_evacuated_under_falling_load() {
    let mut world = world::World::new(25, 4, 200);
    world.run(60, |_| 150);
    world.zones.get_mut("c").expect("no zone").out = true;
    world.run(60, |_| 60);
    assert_eq!(world.count().0, 0);
    world.zones.get_mut("c").expect("no zone").out = false;
    world.run(60, |_| 60);
    assert_eq!(world.ordered(), [10, 10, 10]);
}

/// Guards against an increase with each second of refusals until endpoints that boot slowly serve:
/// with a quarter each second, the number would be at its maximum within 9 s.
#[test]
fn slow_boot() {
    let mut world = world::World::new(10, 4, 200);
    world.boot = 24;
    world.run(80, |second| if second < 20 { 60 } else { 300 });
    assert!(world.history[43].refused > 0);
    assert_safe(&world, 20 + 26);
    let most = world.history.iter().flat_map(|it| it.desired.iter().flatten()).max();
    // The need of 50, and a quarter more after each 10 s.
    assert_eq!(most, Some(&79));
    let orders = world.history.iter().flat_map(|it| &it.orders);
    let increases = orders.filter(|order| order.count > order.before).count();
    assert!(increases <= 9, "{increases}");
}

/// Guards against orders that are carried out after newer ones, or not at all: the last number has
/// to hold in the end, and the load is carried meanwhile.
#[test]
fn late_and_lost_orders() {
    for seed in 0..40 {
        let mut world = world::World::new(25, 4, 200);
        world.random = rand::SeedableRng::seed_from_u64(seed);
        let load = |second: u64| match second {
            0..60 => 150,
            60..90 => 270,
            90..220 => 90,
            _ => 180,
        };
        world.run_with(260, load, |_, random| world::World::random_fate(random));
        // An older and lower number is in force for 12 s at most, with a few retries and the boot
        // time behind them; the slots that are not planned for carry the load meanwhile.
        let refused: u32 = world.history.iter().map(|it| it.refused).sum();
        assert_eq!(refused, 0, "seed {seed}");
        assert_bounded(&world);
        world.run(40, |_| 180);
        assert_eq!(world.ordered(), [30, 30, 30], "seed {seed}");
        assert_safe(&world, 290);
        assert!(world.count().1 <= 220, "seed {seed}: {:?}", world.count());
    }
}

/// Guards against a reduction that is carried out late, after an increase: the platform removes
/// endpoints that are needed, and only a repeated order brings them back.
#[test]
fn late_reduction() {
    let mut dispatch = dispatch::Dispatch::default();
    let subject = (world::SERVICE.to_owned(), "a".to_owned());
    let second = time::Duration::from_secs;
    let mut send = |now: u64, count: u32, done: bool| {
        let recorded = collections::BTreeMap::from([(subject.clone(), count)]);
        let due = dispatch.take_due(second(now), &recorded, |_| true);
        for (subject, count) in &due {
            dispatch.answered(second(now), subject, *count, done);
        }
        due.len()
    };
    assert_eq!(send(0, 20, false), 1);
    assert_eq!(send(1, 40, true), 1);
    assert_eq!((2..12).map(|now| send(now, 40, true)).sum::<usize>(), 0);
    assert_eq!(send(12, 40, true), 1, "the old order may have been carried out by now");
    assert_eq!((13..60).map(|now| send(now, 40, true)).sum::<usize>(), 0);
}

/// Guards against orders that are given up while the API is down, and against a flood of calls at
/// it: the endpoints come at most 4 s (one retry) after it is up again.
#[test]
fn api_down() {
    let mut world = world::World::new(20, 4, 200);
    let load = |second| if second < 40 { 120 } else { 200 };
    let down = |second, _: &mut _| match second {
        40..44 => world::Fate::Lost,
        _ => world::Fate::Done,
    };
    world.run_with(100, load, down);
    assert_safe(&world, 44 + 4 + 9);
    assert_eq!(world.history.iter().map(|it| it.refused).sum::<u32>(), 0);
    assert_eq!(world.count().0, 3);
    assert!(world.count().1 <= 3 * 5, "{:?}", world.count());
}

/// Guards against a new holder that starts from what it has seen itself: it would remove endpoints
/// that an earlier peak of the load has shown to be needed, or order by the first reports alone.
#[test]
fn holder_changes() {
    let mut world = world::World::new(10, 4, 200);
    world.run(50, |second| if second < 20 { 60 } else { 240 });
    assert_eq!(world.ordered(), [40, 40, 40]);
    let (orders, calls) = world.count();
    world.change_holder();
    world.reporting = 1;
    world.run(3, |_| 120);
    assert_eq!(world.count(), (orders, calls), "orders before all hosts have reported");
    world.reporting = world::HOSTS;
    world.run(9, |_| 120);
    // What is recorded is sent once, as the earlier holder may have ended before it could.
    assert_eq!(world.count(), (orders, calls + 3));
    assert_eq!(world.ordered(), [40, 40, 40]);
    world.run(20, |_| 300);
    assert_eq!(world.ordered(), [50, 50, 50]);
}

/// Guards against a holder that removes endpoints for a lull that it has hardly seen: a new one, and
/// one that could not decide for a while, know nothing of the last crest of the load.
#[test]
fn lull_at_a_change_of_the_holder() {
    for gap in [0, 60] {
        let mut world = world::World::new(40, 4, 200);
        world.run(60, |_| 240);
        world.run(5, |_| 60);
        match gap {
            0 => world.change_holder(),
            _ => world.second += gap,
        }
        world.run(25, |_| 60);
        assert_eq!(world.count().0, 0, "a gap of {gap} s");
        world.run(8, |_| 240);
        assert_safe(&world, 60);
        world.run(100, |_| 60);
        assert_eq!(world.ordered(), [10, 10, 10], "a gap of {gap} s");
    }
}

/// Guards against a service that stays without endpoints: with a smallest number of zero, a new
/// holder finds none from which it could learn their slots.
#[test]
fn no_endpoints_at_a_change_of_the_holder() {
    let mut world = world::World::new(4, 0, 60);
    world.run(5, |_| 12);
    world.run(80, |_| 0);
    assert_eq!(world.ordered(), [0, 0, 0]);
    world.change_holder();
    world.run(5, |_| 0);
    assert_eq!(world.ordered(), [0, 0, 0]);
    world.run(40, |_| 30);
    assert_safe(&world, 85 + 5 + 30);
}

/// Guards against orders that replace endpoints which come back by themselves, and against crashes
/// that keep the number up for good.
#[test]
fn crashes() {
    let mut world = world::World::new(25, 4, 200);
    world.run(5, |_| 150);
    for round in 0..20 {
        world.crash(["a", "b", "c"][round % 3], 4, 5);
        world.run(7, |_| 150);
    }
    assert_eq!(world.count().0, 0);
    for round in 0..20 {
        world.crash(["a", "b", "c"][round % 3], 1, 5);
        world.run(9, |_| 60);
    }
    assert!(world.ordered().iter().all(|&it| it <= 12), "{:?}", world.ordered());
}

/// Guards against missing reports that count as missing load: the number stays, and rises with what
/// the other hosts report.
#[test]
fn few_reports() {
    let mut world = world::World::new(25, 4, 200);
    world.run(40, |_| 150);
    world.reporting = 1;
    world.run(100, |_| 150);
    assert_eq!(world.count().0, 0);
    world.run(30, |_| 600);
    // A third of the 600 calls is reported.
    assert!(world.ordered().iter().all(|&it| it >= 34), "{:?}", world.ordered());
}

/// Guards against orders before traffic has begun: the smallest number would meet the first load.
#[test]
fn no_order_before_traffic() {
    let mut world = world::World::new(25, 4, 200);
    world.run(120, |_| 0);
    assert_eq!(world.count(), (0, 0));
    world.run(200, |second| if second < 150 { 120 } else { 0 });
    assert_eq!(world.ordered(), [4, 4, 4], "a pause of the traffic after it has begun");
}

/// Guards against numbers outside the configured bounds, also after these have changed. With equal
/// bounds operators hold a number.
#[test]
fn bounds() {
    let mut world = world::World::new(10, 8, 20);
    world.run(40, |second| second as u32 * 20);
    assert_eq!(world.ordered(), [20, 20, 20]);
    world.bounds = catalog::Scaling { min: 12, max: 12, ..world.bounds };
    world.run(1, |_| 800);
    assert_eq!(world.ordered(), [12, 12, 12]);
    world.run(100, |_| 10);
    assert_eq!(world.ordered(), [12, 12, 12]);
    world.bounds = catalog::Scaling { min: 30, max: 40, ..world.bounds };
    world.run(1, |_| 10);
    assert_eq!(world.ordered(), [30, 30, 30]);
}

/// Guards against refusals that count twice, or that happened long before they are reported.
#[test]
fn refusals_count_once() {
    let mut reports = reports::Reports::default();
    let second = time::Duration::from_secs;
    let mut report = |now: u64, refused: u64| {
        let load = reports::Load { running: 5, refused };
        reports.receive(second(now), 1, [(world::SERVICE.to_owned(), load)]);
        reports.take(second(now), world::SERVICE).refused
    };
    assert_eq!(report(0, 100), 0);
    assert_eq!(report(1, 103), 3);
    assert_eq!(report(2, 103), 0);
    assert_eq!(report(6, 900), 0);
    assert_eq!(report(7, 901), 1);
    let demand = reports.take(second(11), world::SERVICE);
    assert_eq!(demand, reports::Demand::default());
}

/// Guards against an order that stays without effect: it is repeated, but not with each second.
#[test]
fn order_without_effect_is_repeated() {
    let mut dispatch = dispatch::Dispatch::default();
    let subject = (world::SERVICE.to_owned(), "a".to_owned());
    let recorded = collections::BTreeMap::from([(subject.clone(), 20)]);
    let boot = time::Duration::from_secs(8);
    let mut calls = Vec::new();
    for second in 0..65 {
        let now = time::Duration::from_secs(second);
        let zone = scaling::Zone { ready: 19, ..scaling::Zone::default() };
        dispatch.observe(now, &subject, &zone, boot);
        for (subject, count) in dispatch.take_due(now, &recorded, |_| true) {
            dispatch.answered(now, &subject, count, true);
            calls.push(second);
        }
    }
    assert_eq!(calls, [0, 22, 43, 64]);
}
