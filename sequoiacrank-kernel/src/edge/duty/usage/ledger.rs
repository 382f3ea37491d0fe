//! Adds up the counts of all hosts, and decides which windows are final and when to report them.
//!
//! All times are true times since the Unix epoch.

use std::collections;
use std::net;
use std::time;

use crate::edge::duty;
use crate::edge::duty::usage;
use crate::id;
use crate::map;

/// Time by which the reports of all hosts have to go beyond the end of a window. It covers the
/// differences between the clocks of hosts.
const MARGIN: time::Duration = time::Duration::from_millis(300);
/// Fraction of the time to the due date of a report after which hosts that have not reported are
/// not waited for. The rest is for the write to the store and the call.
const WAIT_RATIO: f64 = 0.6;
/// Time after its start that a holder waits for reports even if they are overdue. Hosts send
/// several within it.
const GATHER_TIME: time::Duration = time::Duration::from_millis(1500);
/// Time after the due date of a report for which it is still sent.
const GIVE_UP_TIME: time::Duration = time::Duration::from_secs(20);
/// Number of windows that the record keeps.
const KEPT_WINDOWS: usize = 6;
/// Shortest and longest pause between two calls for one window.
const BACKOFF: (time::Duration, time::Duration) =
    (time::Duration::from_millis(500), time::Duration::from_secs(4));

/// A window that this holder makes final.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The window.
    pub window: duty::WindowId,
    /// Its counts over all hosts.
    pub counts: duty::Counts,
    /// Number of live hosts that reported all of the window.
    pub reported: usize,
    /// Live hosts that did not.
    pub missing: Vec<net::SocketAddr>,
    /// Number of windows before it that get no report, as they are too old.
    pub skipped: u64,
}

impl Commit {
    /// Requests of all workspaces.
    pub fn sum(&self) -> u64 {
        self.counts.values().sum()
    }
}

/// Calls that report one window.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    attempts: u32,
    in_flight: bool,
    next: id::Time,
}

/// How a call that reported a window ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform has accepted the report.
    Accepted,
    /// The platform may not have the report.
    Unknown,
    /// No call was made.
    NotCalled,
}

/// Counts that hosts reported, and the state of the windows that this host makes final while it
/// holds the duties. Hosts that do not hold them also collect what they are sent: a host that stops
/// sends its counts to the next holder too.
#[derive(Clone, Debug)]
pub struct Ledger {
    schedule: usage::Schedule,
    /// Last report of each host: process, steady time of the host, and `until`.
    hosts: map::FastMap<net::SocketAddr, (id::Incarnation, id::Time, Option<id::Time>)>,
    counts: collections::BTreeMap<duty::WindowId, map::FastMap<id::Incarnation, duty::Counts>>,
    /// Since when this host holds the duties.
    since: id::Time,
    /// Windows of which the commit is not acknowledged.
    pending: collections::BTreeMap<duty::WindowId, Commit>,
    calls: collections::BTreeMap<duty::WindowId, Calls>,
    /// Last window that an unknown holder may have made final.
    unknown: Option<duty::WindowId>,
    /// Last window whose report was given up.
    given_up: Option<duty::WindowId>,
}

impl Ledger {
    /// Creates a ledger without counts.
    pub fn new(schedule: usage::Schedule) -> Self {
        Ledger {
            schedule,
            hosts: map::FastMap::default(),
            counts: collections::BTreeMap::new(),
            since: id::Time::ZERO,
            pending: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            unknown: None,
            given_up: None,
        }
    }

    /// Begins the work of the holder, as this host has acquired the lease.
    pub fn start(&mut self, now: id::Time) {
        self.since = now;
        self.unknown = None;
        self.pending.clear();
        self.calls.clear();
    }

    /// Like [`Self::start`], without the record of the earlier holder. Windows that have ended may
    /// have been reported with counts that are unknown, so they get no report. Returns the last one.
    pub fn start_without_record(&mut self, now: id::Time) -> Option<duty::WindowId> {
        self.start(now);
        self.unknown = self.schedule.window_at(now).checked_sub(1);
        self.unknown
    }

    /// Merges a report. Reports may be lost, repeated and out of order.
    pub fn merge(
        &mut self,
        host: net::SocketAddr,
        process: id::Incarnation,
        report: &usage::Report,
    ) {
        for (&window, counts) in &report.windows {
            let merged = self.counts.entry(window).or_default().entry(process).or_default();
            for (workspace, &count) in counts {
                match merged.get_mut(workspace) {
                    Some(largest) => *largest = count.max(*largest),
                    None => drop(merged.insert(workspace.clone(), count)),
                }
            }
        }
        let state = (process, report.reading.steady, report.until);
        let last = self.hosts.entry(host).or_insert(state);
        if last.0 != process || last.1 <= report.reading.steady {
            *last = state;
        }
    }

    /// Hosts that reported.
    pub fn hosts(&self) -> Vec<net::SocketAddr> {
        self.hosts.keys().copied().collect()
    }

    fn covers(&self, host: &net::SocketAddr, end: id::Time) -> bool {
        let until = self.hosts.get(host).and_then(|(_, _, until)| *until);
        until.is_some_and(|until| until >= end + MARGIN)
    }

    /// Time after which a report is not sent any more.
    fn expiry(&self, window: duty::WindowId) -> id::Time {
        self.schedule.end(window) + self.schedule.late + GIVE_UP_TIME
    }

    /// The window after the last one that is final, or the first one with requests, and how many
    /// before it are left out because they are too old to be reported.
    fn next_window(&self, now: id::Time, content: &duty::Content) -> Option<(duty::WindowId, u64)> {
        let last = content.usage.keys().chain(self.pending.keys()).chain(&self.unknown).max();
        let has_requests = |counts: &map::FastMap<_, duty::Counts>| {
            counts.values().flat_map(|it| it.values()).any(|&count| count > 0)
        };
        let next = match last {
            Some(last) => last.saturating_add(1),
            None => *self.counts.iter().find(|(_, counts)| has_requests(counts))?.0,
        };
        let oldest = now.saturating_sub(self.schedule.late + GIVE_UP_TIME);
        let window = next.max(self.schedule.window_at(oldest));
        Some((window, window - next))
    }

    /// Windows to make final now, by [`apply`]. `live` are the live hosts with this one, `content`
    /// is what the store has acknowledged.
    pub fn commits(
        &mut self,
        now: id::Time,
        live: &[net::SocketAddr],
        content: &duty::Content,
    ) -> Vec<Commit> {
        let mut commits = Vec::new();
        while let Some((window, skipped)) = self.next_window(now, content) {
            let end = self.schedule.end(window);
            if now < end {
                break;
            }
            let (reported, missing): (Vec<_>, Vec<_>) =
                live.iter().partition(|host| self.covers(host, end));
            let wait = self.schedule.late.mul_f64(WAIT_RATIO);
            let is_due = now >= end + wait && now >= self.since + GATHER_TIME;
            if !missing.is_empty() && !is_due {
                break;
            }
            let mut counts = duty::Counts::new();
            let processes = self.counts.get(&window).into_iter().flat_map(|it| it.values());
            for (workspace, count) in processes.flatten().filter(|(_, count)| **count > 0) {
                *counts.entry(workspace.clone()).or_default() += count;
            }
            let commit = Commit { window, counts, reported: reported.len(), missing, skipped };
            self.pending.insert(window, commit.clone());
            commits.push(commit);
        }
        commits
    }

    /// Commits that `content`, which the store has acknowledged, newly has. Drops the counts of
    /// windows that are final.
    pub fn acknowledged(&mut self, content: &duty::Content) -> Vec<Commit> {
        let Some(&last) = content.usage.keys().next_back() else { return Vec::new() };
        self.counts.retain(|&window, _| window > last);
        let waiting = self.pending.split_off(&last.saturating_add(1));
        std::mem::replace(&mut self.pending, waiting).into_values().collect()
    }

    /// Drops counts that are too old to be reported, and hosts that are not `live` and whose counts
    /// are dropped.
    pub fn expire(&mut self, now: id::Time, live: &[net::SocketAddr]) {
        let oldest = now.saturating_sub(self.schedule.late + GIVE_UP_TIME);
        let first = self.schedule.window_at(oldest);
        self.counts.retain(|&window, _| window >= first);
        self.hosts.retain(|host, _| live.contains(host));
    }

    /// Windows to report now, with their counts. Each of them counts as being called until
    /// [`Self::record`].
    pub fn due(
        &mut self,
        now: id::Time,
        content: &duty::Content,
    ) -> Vec<(duty::WindowId, duty::Counts)> {
        self.calls.retain(|window, it| it.in_flight || content.usage.contains_key(window));
        let open = content.usage.iter().filter(|(_, it)| !it.reported);
        let mut due = Vec::new();
        for (&window, state) in open {
            if now >= self.expiry(window) {
                continue;
            }
            let calls = self.calls.entry(window).or_default();
            if !calls.in_flight && now >= calls.next {
                calls.in_flight = true;
                due.push((window, state.counts.clone()));
            }
        }
        due
    }

    /// Records how a call for a window ended. Returns the number of calls so far, and the pause
    /// until the next one unless the report was accepted.
    pub fn record(
        &mut self,
        now: id::Time,
        window: duty::WindowId,
        outcome: Outcome,
    ) -> (u32, Option<time::Duration>) {
        let calls = self.calls.entry(window).or_default();
        calls.in_flight = false;
        let (shortest, longest) = BACKOFF;
        calls.attempts += u32::from(outcome != Outcome::NotCalled);
        let doublings = calls.attempts.saturating_sub(1).min(8);
        let pause = longest.min(shortest * (1 << doublings));
        calls.next = match outcome {
            // Until the record has it as reported, which the store may not acknowledge soon.
            Outcome::Accepted => id::Time::MAX,
            Outcome::Unknown | Outcome::NotCalled => now + pause,
        };
        (calls.attempts, (outcome != Outcome::Accepted).then_some(pause))
    }

    /// Windows that were not reported in time and will not be, since the last call.
    pub fn take_given_up(&mut self, now: id::Time, content: &duty::Content) -> Vec<duty::WindowId> {
        let is_over = |(window, it): &(&duty::WindowId, &duty::Window)| {
            !it.reported && now >= self.expiry(**window) && Some(**window) > self.given_up
        };
        let given_up: Vec<_> = content.usage.iter().filter(is_over).map(|it| *it.0).collect();
        self.given_up = self.given_up.max(given_up.last().copied());
        given_up
    }
}

/// Adds a window to the state of the duties. Counts that are already there stay as they are, since
/// they may have been reported.
pub fn apply(content: &mut duty::Content, schedule: &usage::Schedule, commit: Commit) {
    let Commit { window, counts, .. } = commit;
    content.usage.entry(window).or_insert(duty::Window { counts, reported: false });
    let newest = content.usage.keys().next_back().copied().unwrap_or_default();
    let expired = schedule.end(newest).saturating_sub(schedule.late + GIVE_UP_TIME);
    let mut surplus = content.usage.len().saturating_sub(KEPT_WINDOWS);
    content.usage.retain(|&window, it| {
        // Windows that may still be reported are kept.
        let drop = surplus > 0 && (it.reported || schedule.end(window) <= expired);
        surplus -= usize::from(drop);
        !drop
    });
}

/// Records that windows up to `last` get no report, so that the next holder makes none of them final.
pub fn skip(content: &mut duty::Content, last: duty::WindowId) {
    let window = duty::Window { reported: true, ..duty::Window::default() };
    content.usage.entry(last).or_insert(window);
}

/// Marks a window as reported in the state of the duties.
pub fn mark_reported(content: &mut duty::Content, window: duty::WindowId) {
    if let Some(it) = content.usage.get_mut(&window) {
        it.reported = true;
    }
}
