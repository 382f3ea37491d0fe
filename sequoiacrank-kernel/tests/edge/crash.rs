//! Tests of the refusal of requests that crash endpoints and may arrive at any host.

use sequoiacrank_kernel::edge::crash;

use crate::site;

/// Fingerprint of the request that crashes endpoints.
const CRASHING: u64 = 7;
const OTHER: u64 = 8;

/// Sends the request to hosts in turn. Each endpoint that runs it goes down; if `served`, another
/// endpoint serves the request at the same time. Returns how often it was not refused.
fn count_runs(hosts: &mut [crash::Crashes], served: bool) -> u32 {
    let mut runs = 0;
    for number in 0..40u64 {
        let now = site::ms(1000 * number);
        let own = number as usize % hosts.len();
        if hosts[own].refusal(now, CRASHING).is_some() {
            continue;
        }
        runs += 1;
        let endpoint = format!("engine-{number}");
        hosts[own].record_broken(now, &endpoint, 1, CRASHING);
        hosts[own].record_down(now + site::ms(20), &endpoint);
        if served {
            hosts.iter_mut().for_each(|host| host.record_served(now, CRASHING));
        }
        let report = hosts[own].report(now);
        for (_, host) in hosts.iter_mut().enumerate().filter(|(to, _)| *to != own) {
            host.merge(now + site::ms(400), &report);
        }
    }
    runs
}

/// Hosts report crashes to each other, so that a request which crashes each endpoint runs three
/// times over all hosts. Other requests are not refused.
#[test]
fn crashing_request_runs_three_times() {
    let mut hosts = vec![crash::Crashes::default(); 4];
    assert_eq!(count_runs(&mut hosts, false), 3);
    assert!(hosts.iter().all(|host| host.refusal(site::ms(40_000), OTHER).is_none()));
}

/// A frequent request runs on most endpoints that crash for other reasons, and other endpoints
/// serve it, so it is not refused.
#[test]
fn served_request_is_not_refused() {
    let mut hosts = vec![crash::Crashes::default(); 4];
    assert_eq!(count_runs(&mut hosts, true), 40);
}

/// A broken connection counts as a crash only if the endpoint goes down soon afterwards.
#[test]
fn broken_connections_are_no_crashes() {
    let mut host = crash::Crashes::default();
    for number in 0..10 {
        host.record_broken(site::ms(number * 100), "engine-1", 1, CRASHING);
    }
    assert!(host.refusal(site::ms(1000), CRASHING).is_none());
    // The endpoint goes down long after the last broken connection.
    assert_eq!(host.record_down(site::ms(9000), "engine-1"), 0);
}

/// A frequent request runs for all hosts on one endpoint that crashes for another reason. The crash
/// counts once, not once per host.
#[test]
fn one_instance_counts_once() {
    let mut hosts = vec![crash::Crashes::default(); 5];
    let mut reports = Vec::new();
    for host in &mut hosts {
        host.record_broken(site::ms(0), "engine-1", 1, CRASHING);
        host.record_down(site::ms(20), "engine-1");
        reports.extend(host.report(site::ms(20)));
    }
    hosts.iter_mut().for_each(|host| host.merge(site::ms(400), &reports));
    assert!(hosts.iter().all(|host| host.refusal(site::ms(500), CRASHING).is_none()));
    // The endpoint restarts under the same name and crashes twice more.
    for started_at in [2, 3] {
        hosts[0].record_broken(site::ms(started_at * 1000), "engine-1", started_at, CRASHING);
        hosts[0].record_down(site::ms(started_at * 1000 + 20), "engine-1");
    }
    assert_eq!(
        hosts[0].refusal(site::ms(4000), CRASHING),
        Some((crash::Cause::Request(CRASHING), 3))
    );
}
