//! The choice among endpoints that lose answers or crash.

use std::time;

use sequoiacrank_kernel::edge::fleet;

use crate::site;

const ENDPOINTS: usize = 6;

fn fleet() -> fleet::Fleet {
    let services = vec![site::Service {
        name: "engine",
        zones: [2, 2, 2],
        pieces: 1,
        piece: site::ms(1),
        memory: 1,
    }];
    let mut fleet = fleet::Fleet::default();
    for entry in site::entries(&site::World { services, ..site::World::default() }) {
        fleet.register(entry);
    }
    fleet
}

fn choose(fleet: &fleet::Fleet, now: time::Duration, session: u64) -> String {
    let want = fleet::Want { session: Some(session), ..fleet::Want::default() };
    fleet.choose(now, "engine", &want, 0).expect("an endpoint").id.clone()
}

/// All endpoints lose three answers in a hundred while they serve the others. Sessions that leave their
/// endpoint for it have their prompts read once more elsewhere, and again when they are back.
#[test]
fn sessions_stay_with_an_endpoint_that_loses_single_answers() {
    let mut fleet = fleet();
    let homes: Vec<_> = (0..60).map(|session| choose(&fleet, site::ms(0), session)).collect();
    assert!(
        (0..ENDPOINTS)
            .all(|n| homes.iter().any(|home| *home == format!("engine-{}-{}", n / 2, n % 2)))
    );
    let mut away = 0;
    let total = 6000;
    for number in 0..total {
        let now = site::ms(number * 10);
        let session = number % 60;
        let id = choose(&fleet, now, session);
        away += u64::from(id != homes[session as usize]);
        let call = fleet.begin(now, &id);
        let end = match number % 33 {
            0 => fleet::End::Broken,
            _ => {
                fleet.answered(now + site::ms(5), &id, call);
                fleet::End::Good
            }
        };
        fleet.end(now + site::ms(6), &id, call, end);
    }
    assert!(away * 100 < total, "{away} of {total}");
}

/// An endpoint that crashed breaks all its connections, and refuses the next one.
#[test]
fn an_endpoint_that_crashed_is_passed_over_after_one_more_call() {
    let mut fleet = fleet();
    let home = choose(&fleet, site::ms(0), 7);
    let calls: Vec<_> = (0..2).map(|_| fleet.begin(site::ms(10), &home)).collect();
    fleet.end(site::ms(100), &home, calls[0], fleet::End::Broken);
    assert_eq!(choose(&fleet, site::ms(101), 7), home);
    fleet.end(site::ms(102), &home, calls[1], fleet::End::Broken);
    assert_ne!(choose(&fleet, site::ms(103), 7), home);

    let mut alone = self::fleet();
    let call = alone.begin(site::ms(10), &home);
    alone.end(site::ms(100), &home, call, fleet::End::Broken);
    let call = alone.begin(site::ms(110), &home);
    alone.end(site::ms(111), &home, call, fleet::End::Lost);
    assert_ne!(choose(&alone, site::ms(112), 7), home);
}

/// One endpoint of six fails four of ten requests recovers.
#[test]
fn an_endpoint_that_recovered_gets_its_sessions_back() {
    let mut fleet = fleet();
    let session = 7;
    let home = choose(&fleet, site::ms(0), session);
    let mut failed = 0;
    for number in 0..3000 {
        let now = site::ms(number * 10);
        let id = choose(&fleet, now, session);
        let bad = id == home && number < 1000 && number % 5 < 2;
        let call = fleet.begin(now, &id);
        fleet.answered(now, &id, call);
        fleet.end(now, &id, call, if bad { fleet::End::Bad } else { fleet::End::Good });
        failed += u64::from(bad);
    }
    // One in a hundred at most meets it while it fails.
    assert!(failed <= 10, "{failed}");
    assert_eq!(choose(&fleet, site::ms(30_000), session), home);
}
