//! Notices of endpoints, and the limiter that enforces an endpoint's limit over all hosts.

use std::time;

use sequoiacrank_kernel::edge::fleet;
use sequoiacrank_kernel::edge::limiter;
use sequoiacrank_kernel::edge::notice;

use crate::site;

const INSTANCE: notice::Instance<'_> = ("engine-0-0", 0);

fn named(rate: f64) -> notice::Notice {
    notice::Notice { limit: notice::Limit::Named(rate), ..notice::Notice::default() }
}

fn accepted(sent: u64) -> notice::Answer {
    notice::Answer { sent: site::ms(sent), accepted: true }
}

/// Largest number of `times` within any four seconds, as the platform counts them.
fn peak(times: &[time::Duration]) -> usize {
    let within =
        |&at: &time::Duration| times.iter().filter(move |&&it| it >= at && it < at + limiter::SPAN);
    times.iter().map(|at| within(at).count()).max().unwrap_or_default()
}

/// Most arrivals within four seconds under a limit of `rate` requests per second.
fn max_arrivals(rate: f64) -> f64 {
    1.5 * rate * limiter::SPAN.as_secs_f64() + 5.0
}

/// 300 hosts each send the endpoint a request per minute, which is five per second. Its limiter is
/// replaced again and again, as when hosts restart one after the other, and a new limiter does not
/// know the earlier grants.
#[test]
fn successive_limiters_keep_limit() {
    for (rate, lifetime, min_use) in [(1.0, 60, 0.8), (1.8, 3, 0.4), (0.3, 5, 0.4), (20.0, 7, 0.1)]
    {
        let mut times = Vec::new();
        let mut limiter = limiter::Limiter::default();
        let mut seed = 1u64;
        for tick in 0..60_000u64 {
            if tick % (lifetime * 1000) == 0 {
                limiter = limiter::Limiter::default();
            }
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let wanted = (seed >> 33) % 1000 < 5;
            let now = site::ms(tick);
            if wanted && limiter.grant(now, INSTANCE, rate, 0).is_ok() {
                times.push(now);
            }
        }
        let peak = peak(&times);
        assert!(peak as f64 <= max_arrivals(rate), "{peak} in four seconds, limit {rate}");
        let expected = rate * 60.0;
        assert!(
            times.len() as f64 >= min_use * expected,
            "{} of {expected}, limit {rate}",
            times.len()
        );
    }
}

/// An endpoint with a limit that was idle must not get the requests of several seconds in one
/// burst.
#[test]
fn unused_limit_no_burst() {
    let mut limiter = limiter::Limiter::default();
    assert_eq!(limiter.grant(site::ms(0), INSTANCE, 4.0, 0), Ok(()));
    let now = site::ms(20_000);
    let burst = (0..20).filter(|_| limiter.grant(now, INSTANCE, 4.0, 0).is_ok()).count();
    assert!(burst <= 5, "{burst} at once, limit 4 a second");
    let wait = limiter.grant(now, INSTANCE, 4.0, 0).expect_err("limit is used up");
    assert!(!wait.is_zero() && wait <= time::Duration::from_secs(2), "{wait:?}");
}

/// An endpoint with a limit of zero still gets an occasional request, as only an answer can report
/// a new limit.
#[test]
fn zero_limit_probed() {
    let mut notices = notice::Notices::default();
    notices.apply(site::ms(0), INSTANCE, &named(0.0), accepted(0));
    let rate = notices.limit(INSTANCE).expect("limit is known");
    let mut limiter = limiter::Limiter::default();
    let probes = (0..60u64)
        .filter(|&second| limiter.grant(site::ms(second * 1000), INSTANCE, rate, 0).is_ok());
    assert!((3..=8).contains(&probes.count()));
}

/// Answers overtake each other: one that was sent before the endpoint had a limit may arrive after
/// the first that gives the limit, and must not lift it.
#[test]
fn late_answer_keeps_limit() {
    let mut notices = notice::Notices::default();
    let first = notices.apply(site::ms(100), INSTANCE, &named(2.0), accepted(50));
    assert_eq!(first, [notice::Change::Limited { before: None, rate: 2.0 }]);
    let none = notice::Notice::default();
    assert_eq!(notices.apply(site::ms(110), INSTANCE, &none, accepted(40)), []);
    // A missing limit in a rejection means nothing.
    let refused = notice::Answer { accepted: false, ..accepted(200) };
    assert_eq!(notices.apply(site::ms(210), INSTANCE, &none, refused), []);
    assert!(notices.limit(INSTANCE).is_some());
    // A limit that can't be parsed does not lift it either.
    let unreadable =
        notice::Notice { limit: notice::Limit::Unreadable, ..notice::Notice::default() };
    assert_eq!(notices.apply(site::ms(220), INSTANCE, &unreadable, accepted(215)), []);
    assert!(notices.limit(INSTANCE).is_some());
    let lifted = notices.apply(site::ms(300), INSTANCE, &none, accepted(250));
    assert_eq!(lifted, [notice::Change::Lifted { before: 2.0 }]);
    assert!(notices.limit(INSTANCE).is_none());
    // An earlier report from another host does not restore it.
    let old = notice::KnownLimit { rate: Some(2.0), at: site::ms(200) };
    assert_eq!(notices.merge(site::ms(310), INSTANCE, old), None);
}

/// Notices belong to one start of an endpoint. A restart under the same id begins without them.
#[test]
fn notices_per_start() {
    let mut notices = notice::Notices::default();
    let leaving = notice::Notice { leaving: true, ..named(1.0) };
    notices.apply(site::ms(0), INSTANCE, &leaving, accepted(0));
    assert!(notices.is_leaving(INSTANCE));
    assert!(!notices.is_leaving((INSTANCE.0, 1)));
    assert!(notices.limit((INSTANCE.0, 1)).is_none());
}

/// A registration that lapses and reappears as an old copy lists a leaving endpoint as ready.
#[test]
fn leaving_survives_reregistration() {
    let mut fleet = fleet::Fleet::default();
    let entry = site::engines([1, 0, 0]).into_iter().next().expect("the site has an endpoint");
    fleet.register(site::ms(0), entry.clone());
    let leaving = notice::Notice { leaving: true, ..notice::Notice::default() };
    fleet.notices.apply(site::ms(10), entry.instance(), &leaving, accepted(0));
    assert_eq!(fleet.usable().count(), 0);
    fleet.remove(&entry.id);
    fleet.register(site::ms(20), entry.clone());
    let criteria = fleet::Criteria::default();
    assert!(fleet.choose(site::ms(30), "engine", &criteria, 0).is_none());
    let next =
        sequoiacrank_kernel::edge::endpoint::Endpoint { started_at: entry.started_at + 1, ..entry };
    fleet.register(site::ms(40), next);
    assert!(fleet.choose(site::ms(50), "engine", &criteria, 0).is_some());
}

/// A pause holds until its end, even if a shorter one follows.
#[test]
fn pause_until_end() {
    let mut notices = notice::Notices::default();
    let pause = |pause| notice::Notice { pause: Some(pause), ..notice::Notice::default() };
    notices.apply(site::ms(0), INSTANCE, &pause(site::ms(3000)), accepted(0));
    // A later, shorter pause does not end it.
    notices.apply(site::ms(100), INSTANCE, &pause(site::ms(500)), accepted(0));
    assert!(!notices.accepts(site::ms(2999), INSTANCE));
    assert!(notices.accepts(site::ms(3000), INSTANCE));
    // The longest possible pause does not overflow.
    notices.apply(site::ms(4000), INSTANCE, &pause(time::Duration::MAX), accepted(0));
    assert!(!notices.accepts(site::ms(5000), INSTANCE));
}

/// Requests of three ranks, each of which would use the whole limit alone. More urgent ranks get
/// more of it, but the limit is used and the others are not starved.
#[test]
fn limit_shared_by_rank() {
    let mut limiter = limiter::Limiter::default();
    let mut granted = [0; 3];
    for tick in 0..60_000u64 {
        // Four requests per second of each rank, in turn.
        if tick % 83 == 0 {
            let rank = (tick / 83) % 3;
            let got = limiter.grant(site::ms(tick), INSTANCE, 4.0, rank as u32).is_ok();
            granted[rank as usize] += usize::from(got);
        }
    }
    let all: usize = granted.iter().sum();
    assert!(all as f64 >= 0.8 * 240.0, "{granted:?}");
    assert!(granted[0] > 2 * granted[1] && granted[1] >= granted[2], "{granted:?}");
}

/// A request that waits for the limit holds back its own and less urgent ranks, but not more urgent
/// ones.
#[test]
fn hold_spares_urgent_ranks() {
    let mut notices = notice::Notices::default();
    notices.apply(site::ms(0), INSTANCE, &named(1.0), accepted(0));
    notices.hold(site::ms(0), INSTANCE, 1, site::ms(500));
    assert!(notices.wait(site::ms(100), INSTANCE, 0).is_zero());
    assert_eq!(notices.wait(site::ms(100), INSTANCE, 1), site::ms(400));
    assert_eq!(notices.wait(site::ms(100), INSTANCE, 9), site::ms(400));
}

/// A limit too large to compute with must not keep requests from the endpoint: it bounds nothing.
#[test]
fn huge_limit() {
    for rate in [1e9, 1e307, f64::MAX] {
        let mut notices = notice::Notices::default();
        notices.apply(site::ms(1), INSTANCE, &named(rate), accepted(0));
        let known = notices.limit(INSTANCE).expect("no limit is known");
        let mut limiter = limiter::Limiter::default();
        for number in 0..100 {
            let granted = limiter.grant(site::ms(10 + number), INSTANCE, known, 0);
            assert_eq!(granted, Ok(()), "{rate}");
        }
    }
}
