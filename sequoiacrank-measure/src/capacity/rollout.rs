//! Time and message size of the comparison of versions, by the number of routes.

use std::time;

use prost::Message as _;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::message;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::policy;
use sequoiacrank_kernel::policy::Moves as _;
use sequoiacrank_kernel::rollout;
use sequoiacrank_peer::wire;

use crate::capacity;
use crate::capacity::probe;

/// Start of the move.
pub const START: id::Time = time::Duration::from_secs(1_000);
const ROUTES: [usize; 4] = [3, 10, 40, 160];
/// Calls of each version on each route before a timing.
const CALLS_PER_ROUTE: usize = 200;

/// Measures all series of this module.
pub fn run(options: &capacity::Options) -> Vec<capacity::Series> {
    vec![
        probe::series(
            "ended call of a version in a move",
            "us/call",
            "routes",
            &ROUTES,
            |routes| {
                let mut host = host(routes);
                probe::min_time(options.repeats, routes * 100, || {
                    record_calls(&mut host, routes, 50)
                })
            },
        ),
        probe::series("evidence in a digest", "bytes", "routes", &ROUTES, |routes| {
            let evidence = host(routes).evidence();
            let digest = message::Digest { evidence, ..message::Digest::default() };
            wire::Message::from(message::Message::Digest(digest)).encoded_len() as f64
        }),
        probe::series("evidence of one peer learned", "us", "routes", &ROUTES, |routes| {
            let mut evidence = host(routes).evidence();
            let mut host = host(routes);
            probe::min_time(options.repeats, 1, || {
                evidence.iter_mut().for_each(|one| one.good += 1);
                host.learn(START, "peer", &evidence);
            })
        }),
        probe::series("tick after news on all routes", "us", "routes", &ROUTES, |routes| {
            let mut host = host(routes);
            let (mut min_time, mut now) = (f64::INFINITY, START);
            for _ in 0..options.repeats {
                record_calls(&mut host, routes, 1);
                now += time::Duration::from_secs(1);
                min_time = min_time.min(probe::min_time(1, 1, || drop(host.tick(now))));
            }
            min_time
        }),
    ]
}

/// Creates a host with a move in progress and calls of both versions on `routes` routes.
pub fn host(routes: usize) -> rollout::Rollout {
    let mut plan = plan::Plan::default();
    let service = plan::Service {
        kind: plan::Kind::Plain,
        version: "old".into(),
        cold: 1,
        full: 8,
        fenced: false,
    };
    plan.services.insert("service".into(), service);
    let spec = plan::Move {
        service: "service".into(),
        from: "old".into(),
        to: "new".into(),
        start: START,
        finish: START + time::Duration::from_secs(3_600),
        early: 50,
    };
    plan.moves.insert("move".into(), spec);
    let mut host = rollout::Rollout::default();
    host.apply_plan(START, &plan);
    record_calls(&mut host, routes, CALLS_PER_ROUTE);
    host
}

/// Records `count` calls of each version on each route.
fn record_calls(host: &mut rollout::Rollout, routes: usize, count: usize) {
    for call in 0..count * routes {
        let route = format!("route-{}", call % routes);
        for version in ["old", "new"] {
            let taken = time::Duration::from_millis(80 + (call * 37 % 40) as u64);
            let call =
                policy::Call { service: "service", version, route: &route, good: true, taken };
            host.record_end(START, &call);
        }
    }
}
