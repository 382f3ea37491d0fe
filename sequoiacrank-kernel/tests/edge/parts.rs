//! Tests of the refusal of parts of prompts that crash endpoints.

use sequoiacrank_kernel::edge::crash;
use sequoiacrank_kernel::id;

use crate::site;

/// First part of all prompts, and the part that crashes endpoints.
const FIRST: u64 = 1;
const BAD: u64 = 2;

/// A request whose prompt has these parts and one of its own.
fn request(number: u64, parts: &[u64]) -> crash::Request {
    let mut prompt = parts.to_vec();
    prompt.push(1_000_000 + number);
    crash::Request::new(number, &prompt)
}

/// An endpoint crashes while it runs these requests for a host.
fn crash(host: &mut crash::Crashes, now: id::Time, endpoint: u64, requests: &[crash::Request]) {
    let endpoint = format!("engine-{endpoint}");
    for request in requests {
        host.record_broken(now, &endpoint, 1, request.clone());
    }
    host.record_down(now + site::ms(5), &endpoint);
}

/// Each host merges the reports of all others.
fn exchange(hosts: &mut [crash::Crashes], now: id::Time) {
    let reports: Vec<_> = hosts.iter().map(|host| host.parts.report(now)).collect();
    for (to, host) in hosts.iter_mut().enumerate() {
        for (_, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            host.parts.merge(now, report);
        }
    }
}

fn is_refused(host: &crash::Crashes, now: id::Time, parts: &[u64]) -> bool {
    host.refusal(now, request(999, parts)).is_some()
}

/// No two requests are alike and each comes at another host. The part that they share is refused
/// by all hosts behind the third crash; requests that share the other parts are served.
#[test]
fn part_of_different_requests_is_refused() {
    let mut hosts = vec![crash::Crashes::default(); 4];
    let mut runs = 0;
    for number in 0..40u64 {
        let now = site::ms(500 * number);
        let host = &mut hosts[number as usize % 4];
        host.record_served(now, request(100 + number, &[FIRST, 10 + number % 5]));
        let parts = [FIRST, BAD, 10 + number % 7];
        if !is_refused(host, now, &parts) {
            runs += 1;
            let beside = request(200 + number, &[FIRST, 30 + number % 9]);
            crash(host, now, number, &[request(number, &parts), beside]);
        }
        exchange(&mut hosts, now + site::ms(300));
    }
    assert_eq!(runs, 3);
    let now = site::ms(21_000);
    for host in &hosts {
        assert!(is_refused(host, now, &[FIRST, BAD, 99]));
        assert!(!is_refused(host, now, &[FIRST, 99]));
        assert!((10..40).all(|part| !is_refused(host, now, &[FIRST, part])));
    }
}

/// A part that comes last belongs to one request and is never refused.
#[test]
fn last_part_is_not_refused() {
    let mut host = crash::Crashes::default();
    for number in 0..5 {
        let request = crash::Request::new(number, &[BAD]);
        crash(&mut host, site::ms(1000 * number), number, &[request]);
    }
    let now = site::ms(6000);
    assert!(host.refusal(now, crash::Request::new(99, &[BAD])).is_none());
}

/// Nobody has been served yet, so that the first part is in as many crashes as the bad one. The
/// part that comes later in the prompt is refused, and the first one is not.
#[test]
fn first_part_is_not_refused_for_a_later_one() {
    let mut host = crash::Crashes::default();
    for number in 0..4 {
        let bad = request(number, &[FIRST, BAD]);
        crash(&mut host, site::ms(1000 * number), number, &[bad]);
    }
    let now = site::ms(6000);
    assert!(is_refused(&host, now, &[FIRST, BAD]));
    assert!(!is_refused(&host, now, &[FIRST, 7]));
}

/// A request that is served by any host clears its parts on all hosts.
#[test]
fn part_served_elsewhere_is_cleared() {
    let mut hosts = vec![crash::Crashes::default(); 3];
    for number in 0..4 {
        crash(&mut hosts[0], site::ms(1000 * number), number, &[request(number, &[FIRST, BAD])]);
    }
    let now = site::ms(5000);
    exchange(&mut hosts, now);
    assert!(hosts.iter().all(|host| is_refused(host, now, &[FIRST, BAD])));
    hosts[2].record_served(now, request(50, &[FIRST, BAD]));
    exchange(&mut hosts, now + site::ms(300));
    assert!(hosts.iter().all(|host| !is_refused(host, now, &[FIRST, BAD])));
}

/// The hosts that observed the crashes are gone; one that starts later learns of the part from the
/// others, and keeps no crash longer than they do.
#[test]
fn later_host_learns_from_others() {
    let mut hosts = vec![crash::Crashes::default(); 4];
    for number in 0..3 {
        let now = site::ms(1000 * number);
        let host = &mut hosts[number as usize];
        crash(host, now, number, &[request(number, &[FIRST, BAD])]);
        exchange(&mut hosts, now + site::ms(300));
    }
    let mut late = vec![hosts.remove(3), crash::Crashes::default()];
    exchange(&mut late, site::ms(480_000));
    assert!(is_refused(&late[1], site::ms(480_001), &[FIRST, BAD]));
    // The crashes are forgotten ten minutes after they happened.
    late[1].record_served(site::ms(700_000), request(1, &[FIRST]));
    crash(&mut late[1], site::ms(700_001), 9, &[request(8, &[7])]);
    assert!(!is_refused(&late[1], site::ms(700_002), &[FIRST, BAD]));
}

/// Crashes for other reasons, with many parts beside each other, refuse nothing and stay within
/// bounds.
#[test]
fn many_parts_are_bounded() {
    let mut host = crash::Crashes::default();
    for number in 0..500u64 {
        let now = site::ms(10 * number);
        let request = |it| request(it, &[FIRST, 10 + it]);
        let broken: Vec<_> = (20 * number..20 * number + 20).map(request).collect();
        crash(&mut host, now, number, &broken);
        host.record_served(now + site::ms(6), request(0));
    }
    let now = site::ms(6000);
    assert!(host.parts.report(now).len() <= 64);
    assert!(!is_refused(&host, now, &[FIRST, 400]));
}
