//! Tests of small components: batchers of zones, paces, budgets, sessions.

use std::time;

use sequoiacrank_kernel::edge::budget;
use sequoiacrank_kernel::edge::exit;
use sequoiacrank_kernel::edge::members::shares;
use sequoiacrank_kernel::edge::pace;
use sequoiacrank_kernel::edge::session;
use sequoiacrank_kernel::edge::stage::shard;

use crate::site;

fn shards(zones: [usize; 3]) -> shard::Shards {
    let service = |name| site::Service {
        name,
        zones,
        max_pieces: 10,
        piece_time: site::ms(1),
        memory: 1_000_000,
    };
    let services = vec![service("records"), service("sheets")];
    let world = site::World { services, ..site::World::default() };
    shard::Shards::new(&site::catalog(&world), site::entries(&world).iter())
}

/// Zones with few endpoints share one batcher.
#[test]
fn few_endpoints_share_batcher() {
    let shards = shards([2, 2, 1]);
    assert_eq!(shards.choose(Some("a"), 0), "");
    assert_eq!(shards.choose(None, 1), "");
}

/// Zones with enough endpoints have a batcher each.
#[test]
fn enough_endpoints_batch_by_zone() {
    let shards = shards([3, 3, 2]);
    for zone in site::ZONES {
        assert_eq!(shards.choose(Some(zone), 7), zone);
    }
    assert!(site::ZONES.contains(&shards.choose(None, 5).as_str()));
}

/// Work from a zone without endpoints goes to the batcher of another zone.
#[test]
fn zone_without_endpoints_has_no_batcher() {
    let shards = shards([4, 4, 0]);
    for draw in 0..8 {
        assert!(["a", "b"].contains(&shards.choose(Some("c"), draw).as_str()));
    }
}

/// A process that is leaving takes only what ends before the process does.
#[test]
fn exit_bounds_deadlines() {
    let serving = exit::Exit::default();
    assert!(serving.allows(site::ms(1_000_000)) && !serving.is_due(site::ms(1_000_000)));
    let leaving = exit::Exit::plan(site::ms(1000), site::ms(8000));
    for (at, ends) in [(1000, true), (8000, true), (8520, true), (8521, false), (9000, false)] {
        assert_eq!(leaving.allows(site::ms(at)), ends, "{at}");
    }
    assert!(!leaving.is_due(site::ms(8500)) && leaving.is_due(site::ms(8520)));
}

/// The rate holds in each second, wherever it begins, and is mostly used.
#[test]
fn pace_bounds_any_second() {
    let mut pace = pace::Pace::default();
    let mut sent = Vec::new();
    for tick in 0..400 {
        let now = site::ms(tick * 10);
        if pace.allows(now, 5.0) {
            pace.record(now);
            sent.push(now);
        }
    }
    let second = time::Duration::from_secs(1);
    for (index, &from) in sent.iter().enumerate() {
        assert!(sent[index..].iter().take_while(|&&at| at < from + second).count() <= 5);
    }
    assert!(sent.len() >= 15, "{}", sent.len());
}

/// A rate so small that its interval is out of range must not overflow.
#[test]
fn pace_of_tiny_rates() {
    for rate in [f64::MIN_POSITIVE, 1e-300, 1e-19, 1e-10, 0.0, -1.0, f64::NAN] {
        assert!(pace::interval(rate) > time::Duration::from_secs(3600), "{rate}");
        let mut pace = pace::Pace::default();
        pace.record(site::ms(5));
        assert!(!pace.allows(site::ms(10_000), rate), "{rate}");
    }
}

/// Every request fails and is sent again if the budget allows it.
#[test]
fn repeats_stay_within_bound() {
    let bound = budget::Bound { ratio: 0.2, slack: 54.0, span: time::Duration::from_secs(10) };
    let hosts = 7;
    let mut budgets = vec![budget::Budget::default(); hosts];
    let mut repeats = 0;
    let mut requests = 0;
    for tick in 0..1000 {
        let now = site::ms(tick * 10);
        for budget in &mut budgets {
            budget.record_request(now, &bound);
            requests += 1;
            repeats += u32::from(
                budget.try_repeat(now, &bound, &shares::Share { hosts, earned: 1.0 }).granted,
            );
        }
    }
    let limit = bound.ratio * f64::from(requests) + bound.slack;
    assert!(f64::from(repeats) <= limit, "{repeats} of {limit}");
    assert!(repeats > 0);
}

/// The last part of a prompt that occurs in other requests as well identifies the session.
#[test]
fn session_is_last_repeated_part() {
    let mut sessions = session::Sessions::default();
    for number in 0..100 {
        // The last part is unique to the request.
        assert_eq!(sessions.key("own", &[1, 2, 1000 + number]), Some(2));
        sessions.key("shared", &[1, 2, 3 + number % 5]);
    }
    assert_eq!(sessions.key("shared", &[1, 2, 4]), Some(4));
    assert_eq!(sessions.key("other", &[9]), Some(9));
    assert_eq!(sessions.key("other", &[]), None);
}
