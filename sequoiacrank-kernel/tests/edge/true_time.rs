//! The true time, estimated from the clocks of hosts that may be wrong.

use std::net;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::edge::duty::true_time;
use sequoiacrank_kernel::id;

use crate::mesh;
use crate::site;

/// True time at the start of a test, in milliseconds since the Unix epoch.
const EPOCH: i64 = 1_767_226_000_000;

fn time(millis: i64) -> id::Time {
    id::Time::from_millis(u64::try_from(millis).expect("a negative time"))
}

/// A host with its clocks, as milliseconds that they are ahead of the steady clock of the holder
/// and of the true time.
#[derive(Clone, Copy)]
struct Host {
    address: net::SocketAddr,
    process: id::Incarnation,
    steady: i64,
    unix: i64,
}

impl Host {
    fn reading(&self, now: i64) -> true_time::Reading {
        true_time::Reading { steady: time(now + self.steady), unix: time(EPOCH + now + self.unix) }
    }
}

fn hosts(count: usize) -> Vec<Host> {
    let host = |number: usize| Host {
        address: mesh::address(number),
        process: number as u64 + 1,
        steady: 1000 * number as i64,
        unix: number as i64 % 5 - 2,
    };
    (0..count).map(host).collect()
}

fn addresses(hosts: &[Host]) -> Vec<net::SocketAddr> {
    hosts.iter().map(|it| it.address).collect()
}

/// Milliseconds by which an offset of a host is off.
fn fault(host: &Host, offset: true_time::Offset) -> i64 {
    (offset + host.steady - EPOCH).abs()
}

/// Guards against windows that follow clocks that jumped: 45% of the clocks are off by seconds to
/// either side, while hosts restart, go and come back, and reports are lost, delayed and reordered.
#[test]
fn jumps_of_many_clocks() {
    for seed in 0..20 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut all = hosts(20 + seed as usize);
        let count = all.len();
        let mut jumped: Vec<usize> = (0..count).collect();
        let mut estimate = true_time::Estimate::default();
        estimate.start(time(0), None);
        let mut due: Vec<(i64, Host, true_time::Reading)> = Vec::new();
        let mut known = 0;
        for now in (0..60_000).step_by(50) {
            if now % 10_000 == 5000 {
                // Other hosts each time; the others are set right.
                all.iter_mut().for_each(|it| it.unix = 0);
                jumped.sort_by_cached_key(|_| random.random::<u64>());
                let shift = random.random_range(1000..8000) * if random.random() { 1 } else { -1 };
                jumped[..count * 45 / 100].iter().for_each(|&it| all[it].unix = shift);
            }
            let absent = (now / 7000) as usize % count;
            for (number, host) in all.iter_mut().enumerate() {
                if now % 500 != (number as i64 * 50) % 500 || random.random_bool(0.1) {
                    continue;
                }
                if number == absent && now % 7000 < 3000 {
                    host.process += 100;
                    continue;
                }
                let delay = if random.random_bool(0.1) { 900 } else { random.random_range(1..30) };
                due.push((now + delay, *host, host.reading(now)));
            }
            for (_, host, reading) in due.extract_if(.., |it| it.0 <= now) {
                estimate.record(time(now), host.address, host.process, reading);
            }
            let Some(own) = estimate.offset(time(now), &addresses(&all)) else { continue };
            known += 1;
            assert!((own - EPOCH).abs() <= 100, "seed {seed}, {now} ms: {}", own - EPOCH);
            // Any one report of a new process may have been delayed.
            let offsets =
                all.iter().filter_map(|it| Some((it, estimate.offset_of(it.address, own)?)));
            let worst = offsets.map(|(host, offset)| fault(host, offset)).max();
            assert!(worst <= Some(1050), "seed {seed}, {now} ms: {worst:?}");
        }
        assert!(known > 1100, "seed {seed}: {known}");
    }
}

/// Guards against a new holder that hands out the time of the first few clocks it hears: they may
/// all be wrong.
#[test]
fn first_clocks_are_wrong() {
    let mut all = hosts(9);
    all[..4].iter_mut().for_each(|it| it.unix = 5000);
    let live = addresses(&all);
    for previous in [None, Some(EPOCH)] {
        let mut estimate = true_time::Estimate::default();
        estimate.start(time(0), previous);
        for (number, host) in all.iter().enumerate() {
            let now = 50 * number as i64;
            assert_eq!(estimate.offset(time(now), &live), previous);
            estimate.record(time(now), host.address, host.process, host.reading(now));
        }
        let offset = estimate.offset(time(500), &live).expect("all hosts were heard");
        assert!((offset - EPOCH).abs() <= 2, "{}", offset - EPOCH);
    }
}

/// Guards against a holder that waits for hosts that do not report, and against one that follows a
/// minority after most hosts are cut off.
#[test]
fn hosts_that_do_not_report() {
    let all = hosts(9);
    let live = addresses(&all);
    let mut estimate = true_time::Estimate::default();
    estimate.start(time(0), None);
    for host in &all[..6] {
        estimate.record(time(0), host.address, host.process, host.reading(0));
    }
    assert_eq!(estimate.offset(time(1400), &live), None);
    let offset = estimate.offset(time(1500), &live).expect("most hosts were heard");
    assert!((offset - EPOCH).abs() <= 2);
    let wrong = Host { unix: 60_000, ..all[0] };
    estimate.record(time(7000), wrong.address, wrong.process, wrong.reading(7000));
    assert_eq!(estimate.offset(time(7000), &live), Some(offset));
}

/// Guards against a wrong time that is kept for ever, as when most clocks were wrong at the start.
#[test]
fn most_clocks_are_set_right() {
    let mut all = hosts(9);
    all[..5].iter_mut().for_each(|it| it.unix = 5000);
    let live = addresses(&all);
    let mut estimate = true_time::Estimate::default();
    estimate.start(time(0), None);
    let mut faults = Vec::new();
    for now in (0..20_000).step_by(500) {
        if now == 3000 {
            all.iter_mut().for_each(|it| it.unix = 0);
        }
        for host in &all {
            estimate.record(time(now), host.address, host.process, host.reading(now));
        }
        let offset = estimate.offset(time(now), &live).expect("all hosts were heard");
        faults.push(offset - EPOCH);
    }
    assert_eq!((faults[5], faults[15], faults[16]), (5000, 5000, 0), "{faults:?}");
}

/// Guards against an offset that contains the time for which a report was held back on its way.
#[test]
fn delayed_reports() {
    let host = hosts(2)[1];
    let mut estimate = true_time::Estimate::default();
    let mut record = |sent: i64, received: i64| {
        let reading = host.reading(sent);
        estimate.record(time(received), host.address, host.process, reading);
        fault(&host, estimate.offset_of(host.address, EPOCH).expect("the host has reported"))
    };
    assert_eq!(record(0, 3000), 3000);
    assert_eq!(record(500, 3001), 2501);
    assert_eq!(record(3000, 3002), 2);
    assert_eq!(record(3500, 6000), 2);
    assert!(!true_time::is_prompt(time(0), time(3001)));
    assert!(true_time::is_prompt(time(3000), time(3010)));
    // The steady clock of a machine that was started anew begins at zero.
    let fresh = Host { process: 77, steady: -7000, ..host };
    estimate.record(time(9000), fresh.address, fresh.process, fresh.reading(8999));
    let offset = estimate.offset_of(fresh.address, EPOCH).expect("the host has reported");
    assert_eq!(fault(&fresh, offset), 1);
}

/// Guards against a wrap at either end of the range.
#[test]
fn offsets_of_both_signs() {
    assert_eq!(true_time::apply(1500, site::ms(500)), site::ms(2000));
    assert_eq!(true_time::apply(-300, site::ms(500)), site::ms(200));
    assert_eq!(true_time::apply(-800, site::ms(500)), site::ms(0));
}
