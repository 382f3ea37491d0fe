//! Counts requests by usage window, collects the counts of all hosts and reports them.

pub mod attempt;
mod windows;

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_config::edge;
use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::true_time;
use sequoiacrank_kernel::edge::duty::usage;
use sequoiacrank_kernel::edge::duty::usage::ledger;
use sequoiacrank_kernel::edge::duty::usage::meter;
use sequoiacrank_kernel::id;
use tokio::task;

use crate::clock;
use crate::duties;
use crate::duties::scaling;
use crate::host;
use crate::peer;
use crate::peer::wire;

/// Time between two reports while requests are counted.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two reports that only serve the true time.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of hosts, in the store order of members, of which one is the next holder.
const STANDBYS: usize = 2;
/// Interval of the copies for the next holder, in reports. The holder, whose counts no other host
/// has, sends one with each of them.
const COPY_INTERVAL: u64 = 2;

/// Requests counted by this host, and reports of all hosts.
#[derive(Default)]
pub struct Usage {
    /// `None` if usage is not reported.
    state: Option<State>,
}

struct State {
    schedule: usage::Schedule,
    meter: cell::RefCell<meter::Meter>,
    estimate: cell::RefCell<true_time::Estimate>,
    ledger: cell::RefCell<ledger::Ledger>,
    /// Attempts that were sent, in the order of their sends. Those that are decided are removed
    /// with the next report.
    sent: cell::RefCell<collections::VecDeque<rc::Weak<attempt::Attempt>>>,
    /// Token with which this host began to collect clocks, and with which it knew the true time.
    collects: cell::Cell<duty::Token>,
    holds: cell::Cell<duty::Token>,
}

impl Usage {
    /// The state at the start of a process.
    pub fn new(api: Option<&edge::PlatformApi>) -> Self {
        let api = api.filter(|api| api.has_duty(edge::USAGE_DUTY));
        let state = api.map(|api| {
            let schedule = usage::Schedule { window: api.window, late: api.late };
            State {
                schedule,
                meter: cell::RefCell::new(meter::Meter::new(schedule)),
                estimate: cell::RefCell::default(),
                ledger: cell::RefCell::new(ledger::Ledger::new(schedule)),
                sent: cell::RefCell::default(),
                collects: cell::Cell::new(0),
                holds: cell::Cell::new(0),
            }
        });
        Usage { state }
    }

    /// Whether requests are counted.
    pub fn is_counted(&self) -> bool {
        self.state.is_some()
    }

    /// Counts a request of a workspace that began to run at a steady time.
    fn count(&self, steady: id::Time, workspace: &str) {
        if let Some(state) = &self.state {
            state.meter.borrow_mut().count(steady, workspace);
        }
    }
}

impl State {
    /// Counts attempts that were sent long ago. Returns when the earliest one was sent of which it
    /// is unknown whether it runs.
    fn update_undecided(&self, now: id::Time) -> Option<id::Time> {
        let mut sent = self.sent.borrow_mut();
        sent.retain(|attempt| attempt.upgrade().is_some_and(|it| it.is_undecided(now)));
        let earliest = sent.iter().filter_map(|it| it.upgrade()?.undecided_since());
        earliest.min()
    }

    /// Counts of this process.
    fn report(&self) -> usage::Report {
        let reading = read_clocks();
        let undecided = self.update_undecided(reading.steady);
        self.meter.borrow().report(reading, undecided)
    }

    /// Drops what is too old.
    fn expire(&self, host: &host::Host) {
        let now = duties::steady_now();
        let dropped = self.meter.borrow_mut().expire(now);
        if dropped > 0 {
            host.metrics.usage_dropped.inc_by(dropped);
            log::warn!(target: "duties", dropped; "requests counted too late for their usage window");
        }
        let now = self.meter.borrow().true_time(now);
        if let Some(now) = now {
            let awaited = windows::awaited_hosts(host);
            self.ledger.borrow_mut().expire(now, &awaited);
        }
    }
}

/// Both clocks of this host.
fn read_clocks() -> true_time::Reading {
    true_time::Reading {
        steady: duties::steady_now(),
        unix: id::Time::from_millis(clock::unix_millis()),
    }
}

/// The message to the holder.
fn message(host: &host::Host) -> wire::duties::Usage {
    let report = host.duties.usage.state.as_ref().map(State::report);
    let report = report.unwrap_or_else(|| usage::Report {
        reading: read_clocks(),
        until: None,
        windows: collections::BTreeMap::new(),
    });
    wire::duties::Usage { demand: scaling::demand(host), ..wire::duties::Usage::from(report) }
}

/// Sends reports to the holder, and reports windows to the platform while this host is the holder.
pub async fn follow(host: rc::Rc<host::Host>) {
    if host.duties.usage.is_counted() {
        task::spawn_local(windows::follow(host.clone()));
    }
    for number in 0_u64.. {
        let message = message(&host);
        let is_open = host.duties.usage.state.as_ref().is_some_and(|state| {
            state.expire(&host);
            state.meter.borrow().has_open()
        });
        let interval = match is_open || !message.demand.is_empty() {
            true => REPORT_INTERVAL,
            false => IDLE_INTERVAL,
        };
        // The holder merges its own counts whenever it looks for complete windows.
        let holder = host.peers.members().duty_holder().map(|(holder, _)| holder);
        let is_own = holder == Some(host.settings.peer);
        let is_copied = is_open && (is_own || number % COPY_INTERVAL == 0);
        let standbys = if is_copied { standbys(&host, holder) } else { Vec::new() };
        for receiver in holder.into_iter().filter(|_| !is_own).chain(standbys) {
            host.peers.send(&host, receiver, wire::Body::Usage(message.clone()));
        }
        tokio::time::sleep(interval).await;
    }
}

/// The other hosts that may hold the duties next. They get copies of reports, as a holder that is
/// killed takes the counts along that it collected.
fn standbys(host: &host::Host, holder: Option<net::SocketAddr>) -> Vec<net::SocketAddr> {
    let mut hosts = host.peers.members().first_hosts(STANDBYS);
    hosts.retain(|&it| Some(it) != holder);
    hosts
}

/// Sends the last counts of a process that ends to the holder, and to the hosts that may hold the
/// duties next.
pub fn send_final(host: &host::Host) {
    if !host.duties.usage.is_counted() {
        return;
    }
    let message = message(host);
    let holder = host.peers.members().duty_holder().map(|(holder, _)| holder);
    let other = holder.filter(|it| *it != host.settings.peer);
    let receivers: Vec<_> = other.into_iter().chain(standbys(host, holder)).collect();
    let windows = message.windows.len();
    log::info!(target: "duties", windows, receivers = receivers.len(); "last usage report sent");
    for receiver in receivers {
        host.peers.send(host, receiver, wire::Body::Usage(message.clone()));
    }
}

/// Handles the report of another host. Hosts that do not hold the duties keep the counts, but only
/// the holder answers.
pub fn receive(host: &rc::Rc<host::Host>, from: peer::Sender, report: &wire::duties::Usage) {
    let Some(state) = &host.duties.usage.state else { return };
    let steady = duties::steady_now();
    let report = usage::Report::from(report);
    state.estimate.borrow_mut().record(steady, from.address, from.process, report.reading);
    state.ledger.borrow_mut().merge(from.address, from.process, &report);
    let token = host.duties.token();
    if token == 0 || state.holds.get() != token {
        return;
    }
    let own = state.meter.borrow().offset();
    let offset = own.and_then(|own| state.estimate.borrow().offset_of(from.address, own));
    let Some(offset) = offset else { return };
    let steady = host::millis(report.reading.steady);
    let closed = windows::last_final(host);
    let timing = wire::duties::Timing { steady, offset, closed };
    host.peers.send(host, from.address, wire::Body::Timing(timing));
}

/// Handles the answer of the holder to a report.
pub fn receive_timing(
    host: &rc::Rc<host::Host>,
    from: peer::Sender,
    timing: &wire::duties::Timing,
) {
    let Some(state) = &host.duties.usage.state else { return };
    let mut meter = state.meter.borrow_mut();
    if let Some(closed) = timing.closed {
        meter.close(closed);
    }
    let sent = id::Time::from_millis(timing.steady);
    // A host that holds the duties itself uses its own estimate.
    if host.duties.token() == 0 && true_time::is_prompt(sent, duties::steady_now()) {
        if meter.offset().is_none() {
            let holder = from.to_string();
            log::info!(target: "duties", holder = holder.as_str(), offset = timing.offset; "true time known");
        }
        meter.set_offset(timing.offset);
    }
}
