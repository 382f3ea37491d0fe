//! Stage work under the loads that bind most: bursts, lost and slow endpoints.

use crate::site;

fn stage(
    service: &'static str,
    after: &[usize],
    bytes: u64,
    pieces: (u32, u32),
    share: f64,
    work: f64,
) -> site::Stage {
    site::Stage { service, after: after.to_vec(), bytes, pieces, share, work }
}

fn service(
    name: &'static str,
    zones: [usize; 3],
    pieces: usize,
    item: u64,
    memory: u64,
) -> site::Service {
    let piece = std::time::Duration::from_micros(item);
    site::Service { name, zones, pieces, piece, memory }
}

/// Long targets and heavy chains of stages: 7 hosts before 15 stage endpoints.
fn releases() -> site::World {
    let records = |bytes, pieces, share, work| stage("records", &[], bytes, pieces, share, work);
    site::World {
        services: vec![
            service("records", [2, 2, 1], 10, 13_000, 45_000_000),
            service("sheets", [2, 2, 1], 34, 3_800, 6_000_000),
            service("orders", [2, 2, 1], 92, 1_400, 1_600_000),
        ],
        kinds: vec![
            site::Kind {
                name: "review",
                rate: 24.0,
                aim: site::ms(1600),
                deadline: site::ms(8000),
                rank: 0,
                worth: (4.3, 0.64),
                stages: vec![
                    records(3_000_000, (1, 2), 0.4, 1.0),
                    records(8_000, (1, 1), 1.0, 0.3),
                    stage("sheets", &[1], 60_000, (6, 6), 1.0, 1.0),
                    stage("orders", &[2], 6_000, (6, 28), 1.0, 1.0),
                ],
            },
            site::Kind {
                name: "check",
                rate: 28.0,
                aim: site::ms(1900),
                deadline: site::ms(5000),
                rank: 1,
                worth: (1.1, 0.17),
                stages: vec![
                    records(8_000, (1, 1), 1.0, 0.3),
                    stage("sheets", &[0], 60_000, (6, 6), 1.0, 1.0),
                    stage("orders", &[1], 6_000, (6, 28), 1.0, 1.0),
                ],
            },
            site::Kind {
                name: "chat",
                rate: 16.0,
                aim: site::ms(1500),
                deadline: site::ms(15_000),
                rank: 2,
                worth: (0.61, 0.091),
                stages: vec![records(3_000_000, (1, 4), 0.7, 1.0)],
            },
        ],
        seconds: 30,
        ..site::World::default()
    }
}

/// Short targets of the most urgent kind.
fn auctions() -> site::World {
    let mut world = releases();
    world.services = vec![
        service("records", [2, 1, 1], 8, 16_000, 46_000_000),
        service("sheets", [2, 2, 1], 28, 4_600, 5_100_000),
        service("orders", [2, 2, 1], 58, 2_200, 1_000_000),
    ];
    let rates = [18.0, 21.2, 11.9];
    let aims = [920, 1900, 2200];
    let chain = world.kinds[0].stages.clone();
    world.kinds[0].stages = world.kinds[2].stages.clone();
    world.kinds[2].stages = chain;
    for ((kind, rate), aim) in world.kinds.iter_mut().zip(rates).zip(aims) {
        kind.rate = rate;
        kind.aim = site::ms(aim);
        for stage in kind.stages.iter_mut().filter(|stage| stage.service == "sheets") {
            stage.pieces = (8, 8);
        }
    }
    world
}

fn bursts() -> Vec<site::Burst> {
    vec![
        site::Burst { kind: Some("review"), from: 3_000, to: 9_000, times: 2.5 },
        site::Burst { kind: Some("check"), from: 13_000, to: 19_000, times: 2.3 },
        site::Burst { kind: None, from: 24_000, to: 28_000, times: 1.8 },
    ]
}

fn measure(name: &str, world: &site::World) -> site::Report {
    let mut whole = site::Report::default();
    for seed in 1..=SEEDS {
        let report = site::Site::run(world, seed);
        whole.worth += report.worth / SEEDS as f64;
        whole.net += report.net / SEEDS as f64;
        whole.crossed += report.crossed / SEEDS;
        whole.read += report.read / SEEDS;
        whole.room += report.room;
        for (kind, tally) in report.kinds {
            let sum = whole.kinds.entry(kind).or_default();
            sum.asked += tally.asked;
            sum.timely += tally.timely;
            sum.late += tally.late;
            sum.refused += tally.refused;
            sum.failed += tally.failed;
        }
        for (kind, times) in report.times {
            whole.times.entry(kind).or_default().extend(times);
        }
    }
    print!(
        "{name:24} worth {:.3} net {:.3} crossed {:.2} GB room {:4}",
        whole.worth,
        whole.net,
        whole.crossed as f64 / 1e9,
        whole.room
    );
    for (kind, tally) in &whole.kinds {
        let share = |count: u32| 100 * count / tally.asked.max(1);
        let (timely, late) = (share(tally.timely), share(tally.late));
        print!(" | {kind} {timely}+{late}-{}-{}", share(tally.refused), share(tally.failed));
    }
    println!();
    whole
}

/// Days that are averaged in each figure.
const SEEDS: u64 = 4;

fn worlds() -> Vec<(String, site::World)> {
    let mut worlds = Vec::new();
    for (name, calm) in [("releases", releases()), ("auctions", auctions())] {
        let mut bursts = calm.clone();
        bursts.bursts = self::bursts();
        let trouble =
            |slow| site::Trouble { service: "sheets", endpoints: 2, from: 9_000, to: 15_500, slow };
        let (mut slow, mut lost) = (bursts.clone(), bursts.clone());
        slow.troubles = vec![trouble(Some(4.0))];
        lost.troubles = vec![trouble(None)];
        let mut over = bursts.clone();
        over.kinds.iter_mut().for_each(|kind| kind.rate *= 1.4);
        worlds.push((format!("{name} calm"), calm));
        worlds.push((format!("{name} bursts"), bursts));
        worlds.push((format!("{name} bursts, slow"), slow));
        worlds.push((format!("{name} bursts, lost"), lost));
        worlds.push((format!("{name} overload"), over));
    }
    worlds
}

/// Without bursts all requests are in time: the stage endpoints bear twice that load.
#[test]
fn calm_days_are_in_time() {
    for (name, world) in worlds().into_iter().filter(|(name, _)| name.ends_with("calm")) {
        for (kind, tally) in measure(&name, &world).kinds {
            assert!(tally.in_time() > 0.97, "{name}: {kind} {tally:?}");
        }
    }
}

/// Under bursts, lost and slow endpoints no kind is served less often than a less urgent one that does the
/// same work by more than five in a hundred, and none starves.
#[test]
fn urgent_work_is_served_before_other_work() {
    for (name, world) in worlds() {
        let kinds = measure(&name, &world).kinds;
        let (review, check, chat) = (&kinds["review"], &kinds["check"], &kinds["chat"]);
        let same = if name.starts_with("releases") { (review, check) } else { (check, chat) };
        assert!(same.0.served() > same.1.served() - 0.05, "{name}: {kinds:?}");
        for tally in kinds.values() {
            assert!(tally.served() > 0.25, "{name}: {kinds:?}");
            assert!(f64::from(tally.failed) < 0.02 * f64::from(tally.asked), "{name}: {kinds:?}");
        }
    }
}

/// Stages whose results are large together are done in one zone. Spread at random over three zones, two
/// thirds of what is read would cross; what engines read from zones of their own choice still does.
#[test]
fn calm_days_keep_results_in_their_zone() {
    for (name, world) in worlds().into_iter().filter(|(name, _)| name.ends_with("calm")) {
        let report = measure(&name, &world);
        let spread = report.read * 2 / 3;
        assert!(report.crossed < spread / 2, "{name}: {} of {spread}", report.crossed);
    }
}

/// Prints all loads; `cargo test -p sequoiacrank-kernel --test edge loads -- --nocapture`.
#[test]
fn loads() {
    let worlds = worlds();
    let count = worlds.len() as f64;
    let net: f64 = worlds.iter().map(|(name, world)| measure(name, world).net).sum();
    println!("mean net {:.4}", net / count);
}
