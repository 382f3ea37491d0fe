//! Attempts per request while all calls of a stage fail, and requests that crash endpoints.

use std::time;

use sequoiacrank_kernel::policy;
use sequoiacrank_kernel::suspect;
use sequoiacrank_kernel::traffic;

use crate::decisions;
use crate::figure;

/// Number of requests to the failing stage.
const REQUESTS: u32 = 10_000;
/// Target for the number of attempts per request.
const MAX_AMPLIFICATION: f64 = 1.1;
/// Number of hosts to which a crashing request is sent in turn.
const HOSTS: usize = 7;
/// Number of times that the caller sends it.
const SENDS: usize = 100;
/// Time between two sends. Hosts exchange digests in between.
const SEND_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Measures all figures of this module.
pub fn run(_options: &decisions::Options) -> Vec<figure::Figure> {
    let faults = [
        ("all calls refused", traffic::Fault::Refused),
        ("all calls reset", traffic::Fault::Reset),
        ("all calls answered 500", traffic::Fault::Status(500)),
        ("all calls overloaded", traffic::Fault::Overloaded),
    ];
    let mut figures: Vec<_> = faults
        .into_iter()
        .map(|(name, fault)| {
            figure::figure(
                &format!("retries: {name}"),
                "attempts/request",
                figure::Target::Most(MAX_AMPLIFICATION),
                ("budget", amplification("budget", fault)),
                Some(("fixed", amplification("fixed", fault))),
            )
        })
        .collect();
    figures.push(figure::figure(
        "retries: 1 in 100 calls reset",
        "share retried",
        figure::Target::More,
        ("budget", retried_share("budget")),
        Some(("fixed", retried_share("fixed"))),
    ));
    figures.push(figure::figure(
        "crashing request sent 100 times to 7 hosts",
        "endpoints crashed",
        figure::Target::Less,
        ("suspects", crashed_endpoints(true)),
        Some(("none", crashed_endpoints(false))),
    ));
    figures
}

fn make_policy(name: &str) -> Option<Box<dyn policy::Retry>> {
    policy::retry(name).map(|plugin| (plugin.make)())
}

/// Attempts per request when every attempt ends with `fault`.
fn amplification(name: &str, fault: traffic::Fault) -> f64 {
    let Some(mut retry) = make_policy(name) else { return f64::NAN };
    let mut total = 0;
    for request in 0..REQUESTS {
        let now = time::Duration::from_millis(request.into());
        retry.record_first(now);
        let mut attempts = 1;
        while retry.allow_retry(now, fault, attempts) {
            attempts += 1;
        }
        total += attempts;
    }
    f64::from(total) / f64::from(REQUESTS)
}

/// Share of failed calls that are retried when 1 in 100 calls fails.
fn retried_share(name: &str) -> f64 {
    let Some(mut retry) = make_policy(name) else { return f64::NAN };
    let mut granted = 0;
    for request in 0..REQUESTS {
        let now = time::Duration::from_millis(request.into());
        retry.record_first(now);
        let failed = request % 100 == 0;
        granted += u32::from(failed && retry.allow_retry(now, traffic::Fault::Reset, 1));
    }
    f64::from(granted) / f64::from(REQUESTS / 100)
}

/// Number of endpoints crashed by one request that is sent repeatedly to hosts in turn.
fn crashed_endpoints(refuse: bool) -> f64 {
    let mut hosts: Vec<_> = (0..HOSTS).map(|_| suspect::Suspects::default()).collect();
    let mut now = time::Duration::from_secs(1);
    let mut crashed = 0;
    for sent in 0..SENDS {
        now += SEND_INTERVAL;
        let host = sent % HOSTS;
        if refuse && hosts[host].is_refused(now, 1) {
            continue;
        }
        crashed += 1;
        hosts[host].record_crash(now, 1, &format!("endpoint {crashed}"));
        let digest = hosts[host].digest();
        for (_, peer) in hosts.iter_mut().enumerate().filter(|(peer, _)| *peer != host) {
            peer.learn(now, &format!("host {host}"), &digest);
        }
    }
    f64::from(crashed)
}
