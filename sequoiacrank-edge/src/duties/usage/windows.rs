//! Makes usage windows final and reports them, while this host holds the duties.

use std::cell;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_adapter::duty as adapter;
use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::true_time;
use sequoiacrank_kernel::edge::duty::usage::ledger;
use sequoiacrank_kernel::id;
use tokio::task;

use crate::duties;
use crate::duties::api;
use crate::duties::usage;
use crate::host;

/// Time between two checks for windows that are complete or have to be reported.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time between two checks whether this host holds the duties.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Maximum number of hosts in one log line.
const MAX_LOGGED: usize = 4;

/// Reports windows for as long as the host runs.
pub async fn follow(host: rc::Rc<host::Host>) {
    loop {
        let token = host.duties.token();
        match host.duties.usage.state.as_ref().filter(|_| token > 0) {
            Some(state) => {
                check(&host, state, token);
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            None => tokio::time::sleep(IDLE_INTERVAL).await,
        }
    }
}

/// Hosts whose counts a window waits for: this one, those that are alive, and those that are out of
/// reach but may come back.
pub(super) fn awaited_hosts(host: &host::Host) -> Vec<net::SocketAddr> {
    let (members, now) = (host.peers.members(), host.clock.now());
    let mut hosts = members.alive();
    hosts.push(host.settings.peer);
    let Some(state) = &host.duties.usage.state else { return hosts };
    let known = state.ledger.borrow().hosts();
    let is_absent = |it: net::SocketAddr| it != host.settings.peer && !members.is_alive(it);
    hosts.extend(known.into_iter().filter(|&it| is_absent(it) && !members.has_ended(now, it)));
    hosts
}

/// The last window whose counts are final; `None` if there is none or this host does not hold the
/// duties.
pub(super) fn last_final(host: &host::Host) -> Option<duty::WindowId> {
    let lease = host.duties.lease.as_ref().map(cell::RefCell::borrow)?;
    lease.content()?.usage.keys().next_back().copied()
}

/// The true time; `None` if too few hosts have sent their clocks.
fn update_time(
    host: &host::Host,
    state: &usage::State,
    token: duty::Token,
    awaited: &[net::SocketAddr],
) -> Option<id::Time> {
    let reading = usage::read_clocks();
    let mut estimate = state.estimate.borrow_mut();
    if state.collects.replace(token) != token {
        estimate.start(reading.steady, state.meter.borrow().offset());
    }
    estimate.record(reading.steady, host.settings.peer, host.process, reading);
    let offset = estimate.offset(reading.steady, awaited)?;
    state.meter.borrow_mut().set_offset(offset);
    let now = true_time::apply(offset, reading.steady);
    if state.holds.replace(token) != token {
        log::info!(target: "duties", token, offset, hosts = awaited.len(); "collecting usage");
        start(host, state, now);
    }
    Some(now)
}

/// Begins to make windows final at the true time `now`.
fn start(host: &host::Host, state: &usage::State, now: id::Time) {
    let Some(lease) = &host.duties.lease else { return };
    let mut lease = lease.borrow_mut();
    if !lease.lacks_state() {
        state.ledger.borrow_mut().start(now);
        return;
    }
    if let Some(last) = state.ledger.borrow_mut().start_without_record(now) {
        log::error!(target: "duties", window = last; "usage windows of an unreadable record get no report");
        lease.update(|content| ledger::skip(content, last));
    }
}

/// Commits windows that are complete and starts the calls that are due.
fn check(host: &rc::Rc<host::Host>, state: &usage::State, token: duty::Token) {
    let awaited = awaited_hosts(host);
    let Some(now) = update_time(host, state, token, &awaited) else { return };
    let report = state.report();
    let mut ledger = state.ledger.borrow_mut();
    ledger.merge(host.settings.peer, host.process, &report);
    let Some(lease) = &host.duties.lease else { return };
    let (acknowledged, commits, due, given_up) = {
        let lease = lease.borrow();
        let Some(content) = lease.content() else { return };
        (
            ledger.acknowledged(content),
            ledger.commits(now, &awaited, content),
            ledger.due(now, content),
            ledger.take_given_up(now, content),
        )
    };
    drop(ledger);
    if let Some(last) = last_final(host) {
        state.meter.borrow_mut().close(last);
    }
    for commit in acknowledged {
        log_committed(host, state, now, &commit);
    }
    for commit in commits {
        log_skipped(host, &commit);
        lease.borrow_mut().update(|content| ledger::apply(content, &state.schedule, commit));
    }
    for window in given_up {
        host.metrics.usage_windows.with_label_values(&["given_up"]).inc();
        log::error!(target: "duties", window; "usage window not reported in time");
    }
    for (window, counts) in due {
        task::spawn_local(send(host.clone(), window, counts));
    }
}

fn log_committed(host: &host::Host, state: &usage::State, now: id::Time, commit: &ledger::Commit) {
    let missing = commit.missing.iter().take(MAX_LOGGED).map(net::SocketAddr::to_string);
    let missing: Vec<_> = missing.collect();
    let (missing, absent) = (missing.join(","), commit.missing.len());
    let (window, sum, hosts) = (commit.window, commit.sum(), commit.reported);
    let age = host::millis(now.saturating_sub(state.schedule.end(window)));
    host.metrics.usage_windows.with_label_values(&["committed"]).inc();
    log::info!(target: "duties", window, sum, hosts, absent, missing = missing.as_str(), age; "window committed");
}

fn log_skipped(host: &host::Host, commit: &ledger::Commit) {
    if commit.skipped > 0 {
        let (window, skipped) = (commit.window, commit.skipped);
        host.metrics.usage_windows.with_label_values(&["skipped"]).inc_by(skipped);
        log::error!(target: "duties", window, skipped; "earlier usage windows too old to be reported");
    }
}

/// Reports a window to the platform and records the result.
async fn send(host: rc::Rc<host::Host>, window: duty::WindowId, counts: duty::Counts) {
    let build = |holder: adapter::Holder<'_>| adapter::usage(holder, window, &counts);
    let result = api::call(&host, "usage", build).await;
    let (Some(state), Some(lease)) = (&host.duties.usage.state, &host.duties.lease) else { return };
    let outcome = match &result {
        Ok(()) => ledger::Outcome::Accepted,
        Err(api::Error::NotHeld) => ledger::Outcome::NotCalled,
        Err(_) => ledger::Outcome::Unknown,
    };
    let now = state.meter.borrow().true_time(duties::steady_now()).unwrap_or_default();
    let (attempts, pause) = state.ledger.borrow_mut().record(now, window, outcome);
    match result {
        Ok(()) => {
            lease.borrow_mut().update(|content| ledger::mark_reported(content, window));
            host.metrics.usage_windows.with_label_values(&["reported"]).inc();
            let age = host::millis(now.saturating_sub(state.schedule.end(window)));
            log::info!(target: "duties", window, status = 200, attempts, age; "window reported");
        }
        Err(err) => {
            let (err, next) = (err.to_string(), pause.map(host::millis));
            log::warn!(target: "duties", window, attempts, err = err.as_str(), next; "window not reported");
        }
    }
}
