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

fn show(name: &str, world: &site::World) -> site::Report {
    let report = site::Site::run(world, 7);
    println!(
        "{name}: worth {:.3}, net {:.3}, {:.2} GB crossed, {} calls of {:.1} pieces, {} without memory",
        report.worth,
        report.net,
        report.crossed as f64 / 1e9,
        report.calls,
        f64::from(report.pieces) / f64::from(report.calls.max(1)),
        report.room
    );
    for (kind, tally) in &report.kinds {
        let mut times = report.times[kind].clone();
        times.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (p50, p95) = (times[times.len() / 2], times[times.len() * 95 / 100]);
        println!("  {kind}: {tally:?}, stages {p50:?} {p95:?}");
    }
    report
}

#[test]
fn burst_of_the_most_urgent_kind() {
    for (name, mut world) in [("releases", releases()), ("auctions", auctions())] {
        show(&format!("{name} calm"), &world);
        world.bursts = bursts();
        show(&format!("{name} bursts"), &world);
        world.troubles = vec![site::Trouble {
            service: "sheets",
            endpoints: 2,
            from: 11_000,
            to: 15_500,
            slow: Some(4.0),
        }];
        show(&format!("{name} bursts, slow"), &world);
        world.troubles[0].slow = None;
        show(&format!("{name} bursts, lost"), &world);
    }
}
