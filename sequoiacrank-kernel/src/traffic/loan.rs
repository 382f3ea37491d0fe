//! Loans of idle slots between hosts.
//!
//! The lender stops using a slot before it answers a request and uses it again only after the term
//! plus a margin. The borrower may start calls only within a short window after its request, and
//! they must end within the term. A lost message therefore leaves slots unused, but never lets two
//! hosts use the same slot.

use std::collections;
use std::time;

use crate::id;

/// How long after the request calls may start on a loan.
pub(crate) const START_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Time that the lender adds to the term before it uses a slot again.
pub(crate) const TERM_MARGIN: time::Duration = time::Duration::from_millis(500);
/// How long the borrower waits for an answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// A loan on the lender's side. It is kept with a `count` of 0 after its return, so that a late
/// copy of the request or of the return changes nothing.
struct LentLoan {
    to: id::HostId,
    ticket: id::Ticket,
    count: u32,
    until: id::Time,
}

/// Loans of this host's slots on one endpoint.
#[derive(Default)]
pub(crate) struct LentLoans {
    loans: Vec<LentLoan>,
}

impl LentLoans {
    /// Number of slots lent at `now`.
    pub(crate) fn total(&self, now: id::Time) -> u32 {
        self.loans.iter().filter(|loan| now < loan.until).map(|loan| loan.count).sum()
    }

    /// The count that was answered to an earlier copy of the same request.
    pub(crate) fn answered(&self, to: &str, ticket: id::Ticket) -> Option<u32> {
        self.loans.iter().find(|loan| loan.ticket == ticket && loan.to == to).map(|loan| loan.count)
    }

    /// Records a loan.
    pub(crate) fn lend(
        &mut self,
        now: id::Time,
        to: &str,
        ticket: id::Ticket,
        count: u32,
        term: time::Duration,
    ) {
        self.loans.retain(|loan| now < loan.until);
        let until = now + term + TERM_MARGIN;
        self.loans.push(LentLoan { to: to.into(), ticket, count, until });
    }

    /// Records the return of a loan.
    pub(crate) fn returned(&mut self, from: &str, ticket: id::Ticket) {
        if let Some(loan) = self.loans.iter_mut().find(|l| l.ticket == ticket && l.to == from) {
            loan.count = 0;
        }
    }
}

/// A loan on the borrower's side.
pub(crate) struct HeldLoan {
    /// Endpoint.
    pub(crate) endpoint: id::EndpointId,
    /// Lender.
    pub(crate) lender: id::HostId,
    /// Number of slots.
    pub(crate) count: u32,
    /// Number of calls in flight on them.
    pub(crate) in_flight: u32,
    /// Generation of the endpoint that the loan is for.
    pub(crate) generation: u64,
    /// Calls must start before this time.
    pub(crate) start_before: id::Time,
    /// Calls must have ended by this time.
    pub(crate) until: id::Time,
}

/// A loan request without an answer.
struct RequestedLoan {
    endpoint: id::EndpointId,
    lender: id::HostId,
    sent: id::Time,
}

/// Lender, endpoint and ticket of a loan to return.
pub(crate) type ReturnedLoan = (id::HostId, id::EndpointId, id::Ticket);

/// Loans that this host requested or holds for one service.
#[derive(Default)]
pub(crate) struct Borrowed {
    requested: collections::BTreeMap<id::Ticket, RequestedLoan>,
    held: collections::BTreeMap<id::Ticket, HeldLoan>,
}

impl Borrowed {
    /// Number of requests that may still be answered; drops the others.
    pub(crate) fn pending(&mut self, now: id::Time) -> usize {
        self.requested.retain(|_, request| now < request.sent + ANSWER_TIMEOUT);
        self.requested.len()
    }

    /// Records a loan request.
    pub(crate) fn request(
        &mut self,
        now: id::Time,
        endpoint: &str,
        lender: &str,
        ticket: id::Ticket,
    ) {
        let request = RequestedLoan { endpoint: endpoint.into(), lender: lender.into(), sent: now };
        self.requested.insert(ticket, request);
    }

    /// Records an answer; returns false if it was not expected or came too late.
    pub(crate) fn accept(
        &mut self,
        now: id::Time,
        ticket: id::Ticket,
        count: u32,
        term: time::Duration,
        generation: u64,
    ) -> bool {
        let Some(request) = self.requested.remove(&ticket) else {
            return self.held.contains_key(&ticket);
        };
        if now >= request.sent + ANSWER_TIMEOUT {
            return false;
        }
        if count > 0 {
            let (start_before, until) =
                (request.sent + START_WINDOW.min(term), request.sent + term);
            let RequestedLoan { endpoint, lender, .. } = request;
            let held =
                HeldLoan { endpoint, lender, count, in_flight: 0, generation, start_before, until };
            self.held.insert(ticket, held);
        }
        true
    }

    /// Loans that a call which ends by `deadline` may use now.
    pub(crate) fn usable(
        &self,
        now: id::Time,
        deadline: id::Time,
    ) -> impl Iterator<Item = (id::Ticket, &HeldLoan)> {
        let fits = move |held: &HeldLoan| {
            held.in_flight < held.count && now < held.start_before && deadline <= held.until
        };
        self.held.iter().filter(move |(_, held)| fits(held)).map(|(ticket, held)| (*ticket, held))
    }

    /// Records the start of a call on a loan.
    pub(crate) fn start(&mut self, ticket: id::Ticket) {
        if let Some(held) = self.held.get_mut(&ticket) {
            held.in_flight += 1;
        }
    }

    /// Records the end of a call on a loan.
    pub(crate) fn end(&mut self, ticket: id::Ticket) {
        if let Some(held) = self.held.get_mut(&ticket) {
            held.in_flight = held.in_flight.saturating_sub(1);
        }
    }

    /// Number of calls in flight on borrowed slots of an endpoint.
    pub(crate) fn in_flight(&self, endpoint: &str) -> u32 {
        self.held.values().filter(|held| held.endpoint == endpoint).map(|held| held.in_flight).sum()
    }

    /// Stops new calls on loans of generations before `generation`, because the endpoint is cold
    /// again.
    pub(crate) fn invalidate(&mut self, endpoint: &str, generation: u64) {
        for held in self.held.values_mut() {
            if held.endpoint == endpoint && held.generation < generation {
                held.start_before = id::Time::ZERO;
            }
        }
    }

    /// Removes and returns the loans without calls on which no call may start any more, or all
    /// loans without calls if `all` is set.
    pub(crate) fn take_unused(&mut self, now: id::Time, all: bool) -> Vec<ReturnedLoan> {
        let is_unused = |held: &HeldLoan| held.in_flight == 0 && (all || now >= held.start_before);
        let unused = self
            .held
            .iter()
            .filter(|(_, held)| is_unused(held))
            .map(|(ticket, held)| (held.lender.clone(), held.endpoint.clone(), *ticket))
            .collect();
        self.held.retain(|_, held| !is_unused(held));
        unused
    }

    /// Whether a loan request for the endpoint is unanswered.
    pub(crate) fn is_requested(&self, endpoint: &str) -> bool {
        self.requested.values().any(|request| request.endpoint == endpoint)
    }

    /// The host that the request `ticket` was sent to.
    pub(crate) fn lender(&self, ticket: id::Ticket) -> Option<&str> {
        self.requested.get(&ticket).map(|request| request.lender.as_str())
    }
}
