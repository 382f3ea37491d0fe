//! Usage windows: counts of hosts, their sums, and when they are final and reported.

use std::collections;
use std::net;
use std::time;

use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::true_time;
use sequoiacrank_kernel::edge::duty::usage;
use sequoiacrank_kernel::edge::duty::usage::ledger;
use sequoiacrank_kernel::edge::duty::usage::meter;

use crate::mesh;
use crate::site;

pub const SCHEDULE: usage::Schedule =
    usage::Schedule { window: time::Duration::from_secs(5), late: time::Duration::from_secs(10) };

pub fn counts(list: &[(&str, u64)]) -> duty::Counts {
    list.iter().map(|&(name, count)| (name.to_owned(), count)).collect()
}

/// A report at a true time at which the steady clock shows the same.
fn report(until: u64, windows: &[(duty::WindowId, &[(&str, u64)])]) -> usage::Report {
    let reading = true_time::Reading { steady: site::ms(until), unix: site::ms(until) };
    let windows = windows.iter().map(|&(window, list)| (window, counts(list))).collect();
    usage::Report { reading, until: Some(site::ms(until)), windows }
}

fn addresses(count: usize) -> Vec<net::SocketAddr> {
    (0..count).map(mesh::address).collect()
}

/// A content of the record with one final window.
fn content(window: duty::WindowId, reported: bool) -> duty::Content {
    let usage =
        collections::BTreeMap::from([(window, duty::Window { reported, ..Default::default() })]);
    duty::Content { usage, ..duty::Content::default() }
}

fn windows(commits: &[ledger::Commit]) -> Vec<duty::WindowId> {
    commits.iter().map(|it| it.window).collect()
}

/// Guards against a request that counts twice because it was sent twice, or although all endpoints
/// refused it, and against a window that a request without an answer holds up for long.
#[test]
fn attempt_counts_once() {
    let mut refused = meter::Attempt::default();
    refused.sent(site::ms(10));
    assert_eq!(refused.undecided_since(), Some(site::ms(10)));
    refused.not_run();
    assert_eq!((refused.undecided_since(), refused.ran()), (None, None));
    refused.sent(site::ms(30));
    assert_eq!(refused.ran(), Some(site::ms(30)));
    refused.sent(site::ms(40));
    assert_eq!((refused.undecided_since(), refused.ran()), (None, None));

    let mut silent = meter::Attempt::default();
    silent.sent(site::ms(10));
    silent.sent(site::ms(500));
    silent.not_run();
    assert_eq!(silent.assume_ran(site::ms(2009)), None);
    assert_eq!(silent.assume_ran(site::ms(2010)), Some(site::ms(10)));
    assert_eq!(silent.ran(), None);

    let mut stream = meter::Attempt::default();
    assert_eq!(stream.ran(), None);
    assert_eq!(stream.streams(site::ms(70)), Some(site::ms(70)));
    assert_eq!(stream.streams(site::ms(80)), None);
}

/// Guards against requests that are lost or in a wrong window because they came before the host
/// knew the true time, and against counts that stay for ever if no holder answers.
#[test]
fn requests_before_true_time() {
    let mut meter = meter::Meter::new(SCHEDULE);
    meter.count(site::ms(100), "a");
    meter.count(site::ms(3100), "a");
    meter.count(site::ms(3200), "b");
    let reading = true_time::Reading { steady: site::ms(3300), unix: site::ms(999_000) };
    let early = meter.report(reading, None);
    assert_eq!((early.until, early.windows.len(), meter.has_open()), (None, 0, true));
    meter.set_offset(12_000);
    let report = meter.report(reading, Some(site::ms(3250)));
    assert_eq!(report.until, Some(site::ms(15_250)));
    let expected = [(2, counts(&[("a", 1)])), (3, counts(&[("a", 1), ("b", 1)]))];
    assert_eq!(report.windows.into_iter().collect::<Vec<_>>(), expected);

    let mut alone = meter::Meter::new(SCHEDULE);
    alone.count(site::ms(100), "a");
    alone.count(site::ms(20_100), "a");
    assert_eq!(alone.expire(site::ms(30_300)), 1);
    assert_eq!(alone.expire(site::ms(60_000)), 1);
    assert!(!alone.has_open());
}

/// Guards against requests that are lost without a log line, because their window was final before
/// the host knew the true time.
#[test]
fn true_time_comes_too_late() {
    let mut meter = meter::Meter::new(SCHEDULE);
    meter.count(site::ms(100), "a");
    meter.count(site::ms(5100), "a");
    meter.close(0);
    meter.set_offset(0);
    assert_eq!(meter.expire(site::ms(6000)), 1);
    assert!(meter.has_open());
}

/// Guards against counts of windows that are final, or too old, in reports.
#[test]
fn closed_windows() {
    let mut meter = meter::Meter::new(SCHEDULE);
    meter.set_offset(0);
    (0..4).for_each(|window| meter.count(site::ms(window * 5000), "a"));
    meter.close(1);
    meter.close(0);
    meter.count(site::ms(9999), "a");
    let reading = true_time::Reading { steady: site::ms(16_000), unix: site::ms(0) };
    let open: Vec<_> = meter.report(reading, None).windows.into_keys().collect();
    assert_eq!(open, [2, 3]);
    assert_eq!(meter.expire(site::ms(16_000)), 1);
    // Window 2 ended 30 s before.
    assert_eq!(meter.expire(site::ms(45_000)), 1);
    assert_eq!(meter.report(reading, None).windows.len(), 1);
}

/// Guards against sums that lose or repeat counts when reports are lost, repeated and reordered, or
/// a host restarts at its address.
#[test]
fn reports_in_any_order() {
    let live = addresses(2);
    let mut ledger = ledger::Ledger::new(SCHEDULE);
    ledger.start(site::ms(0));
    let newer = report(5300, &[(0, &[("a", 7), ("b", 1)]), (1, &[("a", 2)])]);
    let older = report(4800, &[(0, &[("a", 5)])]);
    for report in [&newer, &older, &newer] {
        ledger.merge(live[0], 1, report);
    }
    // A process that was killed, and the one after it.
    ledger.merge(live[1], 2, &report(3000, &[(0, &[("b", 10)])]));
    ledger.merge(live[1], 3, &report(5200, &[(0, &[("b", 4)])]));
    assert_eq!(ledger.commits(site::ms(5400), &live, &duty::Content::default()), []);
    ledger.merge(live[1], 3, &report(5300, &[(0, &[("b", 5)])]));
    let commits = ledger.commits(site::ms(5400), &live, &duty::Content::default());
    assert_eq!(windows(&commits), [0]);
    assert_eq!(commits[0].counts, counts(&[("a", 7), ("b", 16)]));
    assert_eq!((commits[0].reported, commits[0].missing.len(), commits[0].sum()), (2, 0, 23));
    // The commit waits for the store; nothing is committed twice meanwhile.
    assert_eq!(ledger.commits(site::ms(5500), &live, &duty::Content::default()), []);
}

/// Guards against a window that waits for ever for a host that is cut off, and against a new holder
/// that makes an overdue window final before hosts have reported to it.
#[test]
fn hosts_that_do_not_report() {
    let live = addresses(2);
    let mut ledger = ledger::Ledger::new(SCHEDULE);
    ledger.start(site::ms(0));
    ledger.merge(live[0], 1, &report(5400, &[(0, &[("a", 1)])]));
    assert_eq!(ledger.commits(site::ms(10_999), &live, &duty::Content::default()), []);
    let commits = ledger.commits(site::ms(11_000), &live, &duty::Content::default());
    assert_eq!(commits[0].missing, [live[1]]);

    let mut next = ledger::Ledger::new(SCHEDULE);
    next.start(site::ms(12_000));
    next.merge(live[0], 1, &report(12_000, &[(0, &[("a", 1)])]));
    assert_eq!(next.commits(site::ms(13_499), &live, &duty::Content::default()), []);
    next.merge(live[1], 2, &report(13_400, &[(0, &[("a", 3)])]));
    let commits = next.commits(site::ms(13_499), &live, &duty::Content::default());
    assert_eq!(windows(&commits), [0, 1]);
    assert_eq!(commits[0].counts, counts(&[("a", 4)]));
}

/// Guards against missing reports of windows without requests, and against reports before the first
/// request of the deployment.
#[test]
fn windows_without_requests() {
    let live = addresses(1);
    let none = duty::Content::default();
    let mut ledger = ledger::Ledger::new(SCHEDULE);
    ledger.start(site::ms(0));
    ledger.merge(live[0], 1, &report(21_000, &[(2, &[])]));
    assert_eq!(ledger.commits(site::ms(21_000), &live, &none), []);
    ledger.merge(live[0], 1, &report(26_000, &[(4, &[("a", 1)])]));
    assert_eq!(windows(&ledger.commits(site::ms(26_000), &live, &none)), [4]);
    ledger.merge(live[0], 1, &report(36_000, &[]));
    let commits = ledger.commits(site::ms(36_000), &live, &none);
    assert_eq!(windows(&commits), [5, 6]);
    assert!(commits.iter().all(|it| it.counts.is_empty()));

    // The record of an earlier holder continues, but not with windows that are too old.
    let mut next = ledger::Ledger::new(SCHEDULE);
    next.start(site::ms(96_000));
    next.merge(live[0], 2, &report(98_000, &[]));
    let commits = next.commits(site::ms(98_000), &live, &content(6, true));
    assert_eq!(windows(&commits), (13..=18).collect::<Vec<_>>());
    assert_eq!((commits[0].skipped, commits[1].skipped), (6, 0));
}

/// Guards against a second report with other counts for windows that an earlier holder may have
/// reported, after its record became unreadable.
#[test]
fn record_is_lost() {
    let live = addresses(1);
    let mut ledger = ledger::Ledger::new(SCHEDULE);
    let list: &[(_, &[(&str, u64)])] = &[(0, &[("a", 3)]), (1, &[("a", 2)]), (2, &[("a", 1)])];
    ledger.merge(live[0], 1, &report(16_000, list));
    let last = ledger.start_without_record(site::ms(12_000)).expect("no window has ended");
    assert_eq!(last, 1);
    let mut content = duty::Content::default();
    assert_eq!(windows(&ledger.commits(site::ms(16_000), &live, &content)), [2]);

    // The same holds for the next holder, which has the record of this one.
    ledger::skip(&mut content, last);
    let mut next = ledger::Ledger::new(SCHEDULE);
    next.merge(live[0], 1, &report(16_000, list));
    next.start(site::ms(13_000));
    assert_eq!(next.due(site::ms(13_000), &content), []);
    assert_eq!(windows(&next.commits(site::ms(16_000), &live, &content)), [2]);
}

/// Guards against calls without pause while the platform does not answer, and against two calls for
/// a window at once.
#[test]
fn retries() {
    let mut ledger = ledger::Ledger::new(SCHEDULE);
    ledger.start(site::ms(0));
    let open = content(0, false);
    let mut calls = Vec::new();
    for now in (6000..40_000).step_by(100) {
        let due = ledger.due(site::ms(now), &open);
        assert_eq!(ledger.due(site::ms(now), &open), []);
        for (window, _) in due {
            calls.push(now);
            ledger.record(site::ms(now), window, ledger::Outcome::Unknown);
        }
    }
    let expected = [6000, 6500, 7500, 9500, 13_500, 17_500, 21_500, 25_500, 29_500, 33_500];
    assert_eq!(calls, expected);
    assert_eq!(ledger.take_given_up(site::ms(34_999), &open), []);
    assert_eq!(ledger.take_given_up(site::ms(35_000), &open), [0]);
    assert_eq!(ledger.take_given_up(site::ms(36_000), &open), []);

    let (attempts, pause) = ledger.record(site::ms(40_000), 1, ledger::Outcome::NotCalled);
    assert_eq!((attempts, pause), (0, Some(site::ms(500))));
    let (attempts, pause) = ledger.record(site::ms(41_000), 1, ledger::Outcome::Accepted);
    assert_eq!((attempts, pause), (1, None));
    assert_eq!(ledger.due(site::ms(42_000), &content(1, false)), []);
}

/// Guards against a record that grows without bound, and against one that drops windows that may
/// still be reported.
#[test]
fn windows_in_record() {
    let mut content = duty::Content::default();
    let commit = |window| ledger::Commit {
        window,
        counts: counts(&[("a", window)]),
        reported: 1,
        missing: Vec::new(),
        skipped: 0,
    };
    let kept = |content: &duty::Content| content.usage.keys().copied().collect::<Vec<_>>();
    (0..6).for_each(|window| ledger::apply(&mut content, &SCHEDULE, commit(window)));
    ledger::apply(&mut content, &SCHEDULE, commit(6));
    // Window 0 is too old by now, the others are not.
    assert_eq!(kept(&content), [1, 2, 3, 4, 5, 6]);
    ledger::mark_reported(&mut content, 3);
    let changed = ledger::Commit { counts: counts(&[("a", 99)]), ..commit(5) };
    ledger::apply(&mut content, &SCHEDULE, changed);
    assert_eq!(content.usage[&5].counts, counts(&[("a", 5)]));
    let short = usage::Schedule { window: site::ms(1000), late: site::ms(10_000) };
    (7..12).for_each(|window| ledger::apply(&mut content, &short, commit(window)));
    assert_eq!(kept(&content), [1, 2, 4, 5, 6, 7, 8, 9, 10, 11]);
}
