//! The entry point of all traffic decisions of one host.
//!
//! State is split over locks: requests and attempts are sharded by id, endpoints and waiting calls
//! by service. No thread holds two of these locks at once, except that `rebuilding`, which
//! serializes rebuilds of all services, is taken before any other.

use std::collections;
use std::sync;
use std::sync::atomic;

use crate::id;
use crate::message;
use crate::plan;
use crate::policy::Moves as _;
use crate::rollout;
use crate::suspect;
use crate::traffic;
use crate::traffic::attempt;
use crate::traffic::digest;
use crate::traffic::members;
use crate::traffic::pool;
use crate::traffic::request;
use crate::traffic::schedule;

/// Pools by service.
type Pools = collections::BTreeMap<id::ServiceId, sync::Arc<parking_lot::Mutex<pool::Pool>>>;

/// Makes the traffic decisions of one host. All methods may be called from several threads at once.
pub struct Traffic {
    pub(crate) options: traffic::Options,
    pub(crate) plan: parking_lot::RwLock<Option<sync::Arc<plan::Plan>>>,
    pub(crate) members: parking_lot::Mutex<members::Members>,
    pub(crate) requests: request::Requests,
    pub(crate) attempts: attempt::Attempts,
    pub(crate) pools: parking_lot::RwLock<Pools>,
    pub(crate) moves: parking_lot::Mutex<rollout::Rollout>,
    pub(crate) suspects: parking_lot::Mutex<suspect::Suspects>,
    pub(crate) latched_leaving: parking_lot::Mutex<collections::BTreeSet<id::EndpointId>>,
    pub(crate) digest: parking_lot::Mutex<digest::State>,
    pub(crate) rebuilding: parking_lot::Mutex<()>,
    pub(crate) leaving: atomic::AtomicBool,
    loan_tickets: atomic::AtomicU64,
}

impl Traffic {
    /// Creates the state of a host without a configuration or a host list.
    pub fn new(options: traffic::Options) -> Traffic {
        Traffic {
            plan: Default::default(),
            members: members::Members::new(options.host.clone(), options.lag).into(),
            requests: request::Requests::new(),
            attempts: attempt::Attempts::new(),
            pools: Default::default(),
            moves: Default::default(),
            suspects: Default::default(),
            latched_leaving: Default::default(),
            digest: Default::default(),
            rebuilding: Default::default(),
            leaving: atomic::AtomicBool::new(false),
            // Loan tickets must differ between starts of the same host.
            loan_tickets: atomic::AtomicU64::new(options.incarnation << 32),
            options,
        }
    }

    /// Handles one event at `now` and returns the commands to execute, in order.
    pub fn handle(&self, now: id::Time, event: traffic::Event) -> Vec<traffic::Command> {
        let mut out = Vec::new();
        match event {
            traffic::Event::Plan(plan) => self.apply_plan(now, plan, &mut out),
            traffic::Event::Latched(latch) => self.apply_latch(now, &latch, &mut out),
            traffic::Event::Hosts(list) => self.apply_hosts(now, list, &mut out),
            traffic::Event::Arrive(arrival) => self.handle_arrival(now, arrival, &mut out),
            traffic::Event::Claimed { request, answer } => {
                self.handle_claim(now, request, answer, &mut out);
            }
            traffic::Event::FirstByte(_) => {}
            traffic::Event::Ended { attempt, ending } => {
                self.attempt_ended(now, attempt, ending, &mut out);
            }
            traffic::Event::CallerGone(request) => self.caller_gone(request, &mut out),
            traffic::Event::Report { endpoint, report } => {
                self.apply_report(now, &endpoint, report, &mut out);
            }
            traffic::Event::Cached { endpoint, prefixes } => {
                self.add_prefixes(&endpoint, &prefixes)
            }
            traffic::Event::Peer { from, message } => {
                self.handle_message(now, &from, message, &mut out)
            }
            traffic::Event::Leave => self.leaving.store(true, atomic::Ordering::Release),
            traffic::Event::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// The current configuration.
    pub(crate) fn plan(&self) -> Option<sync::Arc<plan::Plan>> {
        self.plan.read().clone()
    }

    /// The pool of a service.
    pub(crate) fn pool(&self, service: &str) -> Option<sync::Arc<parking_lot::Mutex<pool::Pool>>> {
        self.pools.read().get(service).cloned()
    }

    /// The pools of all services.
    pub(crate) fn all_pools(&self) -> Vec<sync::Arc<parking_lot::Mutex<pool::Pool>>> {
        self.pools.read().values().cloned().collect()
    }

    /// Whether this host's view of the host list is valid, so that it may use its own slots.
    pub(crate) fn view_valid(&self, now: id::Time) -> bool {
        match self.plan() {
            Some(plan) => self.members.lock().view_valid(now, &plan),
            None => false,
        }
    }

    fn tick(&self, now: id::Time, out: &mut Vec<traffic::Command>) {
        for request in self.requests.overdue(now) {
            self.overdue(request, out);
        }
        let latches = self.moves.lock().tick(now);
        let changed = self.members.lock().update_view(now);
        if changed || !latches.is_empty() {
            self.refresh(now, out);
        }
        for (latch, why) in latches {
            out.push(traffic::Command::Explain(digest::move_decision(&latch, why)));
            out.push(traffic::Command::Latch(latch));
        }
        for pool in self.all_pools() {
            pool.lock().settle(now);
            self.schedule(now, &pool, out);
        }
        self.send_digests(now, out);
    }

    /// Assigns the free slots of a service to its waiting calls.
    pub(crate) fn schedule(
        &self,
        now: id::Time,
        pool: &parking_lot::Mutex<pool::Pool>,
        out: &mut Vec<traffic::Command>,
    ) {
        let view_valid = self.view_valid(now);
        let ticket = || self.loan_tickets.fetch_add(1, atomic::Ordering::Relaxed);
        loop {
            let context = schedule::Context { now, view_valid, ticket: &ticket };
            let outcome = pool.lock().schedule(&context);
            for request in outcome.expired {
                self.expired(request, out);
            }
            out.extend(outcome.loan_requests.into_iter().map(request_loan));
            out.extend(outcome.returns.into_iter().map(return_loan));
            let mut freed = false;
            for placed in outcome.placed {
                freed |= !self.dispatch(now, pool, placed, out);
            }
            if !freed {
                return;
            }
        }
    }

    /// Dispatches a placed call. Frees its slot and returns false if its request has ended
    /// meanwhile.
    fn dispatch(
        &self,
        now: id::Time,
        pool: &parking_lot::Mutex<pool::Pool>,
        placed: schedule::Placed,
        out: &mut Vec<traffic::Command>,
    ) -> bool {
        let schedule::Placed { attempt, deadline, call, decision } = placed;
        self.attempts.insert(attempt, call.clone());
        let started = self.requests.update(call.request, |progress| {
            let due = progress.state == request::State::Waiting && progress.stage == call.stage;
            if due {
                progress.state = request::State::InFlight(attempt);
                progress.dispatched = true;
                progress.must_finish |= !progress.stage().idempotent;
                progress.tried.push(call.endpoint.clone());
            }
            due.then_some(progress.tried.len())
        });
        let Some(tried) = started.flatten() else {
            self.attempts.remove(attempt);
            pool.lock().release(&call);
            return false;
        };
        if tried == 1 {
            pool.lock().record_first(now);
        }
        out.push(traffic::Command::Explain(decision));
        out.push(traffic::Command::Dispatch(traffic::Dispatch {
            request: call.request,
            attempt,
            stage: call.stage,
            endpoint: call.endpoint,
            deadline,
        }));
        true
    }
}

fn request_loan(request: schedule::LoanRequest) -> traffic::Command {
    let schedule::LoanRequest { lender, endpoint, ticket, count } = request;
    let message = message::Message::AskLoan { endpoint, count, ticket };
    traffic::Command::Send { to: lender, message }
}

fn return_loan(
    (lender, endpoint, ticket): (id::HostId, id::EndpointId, id::Ticket),
) -> traffic::Command {
    let message = message::Message::Return { endpoint, ticket };
    traffic::Command::Send { to: lender, message }
}
