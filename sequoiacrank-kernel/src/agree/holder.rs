//! Claims of this host's requests, and their outcomes until the owner of the shard has logged them.
//!
//! A request that stopped waiting never uses a grant that arrives later. It reports
//! [`log::End::NotRun`] instead, which frees the key.

use std::collections;
use std::time;

use super::{Command, context, peers, table, waiters};
use crate::code;
use crate::id;
use crate::log;
use crate::message;

/// Delay before the first repeat of a message to an owner.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(200);
/// Longest delay between repeats.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Delay before a claim is sent again after the receiver answered that it is not the owner.
const NOT_OWNER_DELAY: time::Duration = time::Duration::from_millis(100);
/// How often requests with expired keys are removed.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(10);

struct Pending {
    claim: message::Claim,
    next_send: id::Time,
    backoff: time::Duration,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Status {
    /// Answered without a grant; a grant that arrives later must not be used.
    NotGranted,
    /// Granted and running.
    Granted,
    /// Granted and ended.
    Ended,
}

struct Answered {
    status: Status,
    expires: id::Time,
}

struct Outcome {
    key: id::Key,
    end: log::End,
    next_send: id::Time,
    backoff: time::Duration,
}

/// Requests of this host that wait for a claim or had one.
#[derive(Default)]
pub(super) struct Holder {
    pending: collections::BTreeMap<id::RequestId, Pending>,
    answered: collections::BTreeMap<id::RequestId, Answered>,
    outcomes: collections::BTreeMap<id::RequestId, Outcome>,
    next_prune: id::Time,
}

impl Holder {
    /// Whether any claim is waiting, any granted request is running or any outcome is not yet
    /// logged.
    pub fn is_busy(&self) -> bool {
        !self.is_idle() || !self.outcomes.is_empty()
    }

    /// Whether no claim is waiting and no granted request is running.
    pub fn is_idle(&self) -> bool {
        let running = self.answered.values().any(|answered| answered.status == Status::Granted);
        !running && self.pending.is_empty()
    }

    /// Asks for the claim of a request's key.
    pub fn claim(&mut self, claim: message::Claim, cx: &mut context::Context<'_>) {
        let request = claim.request;
        if self.pending.contains_key(&request) || self.answered.contains_key(&request) {
            return;
        }
        let refusal = table::key_refusal(&claim.key, cx.now, cx.options.window);
        let (next_send, backoff) = (cx.now, MIN_BACKOFF);
        let key = claim.key;
        self.pending.insert(request, Pending { claim, next_send, backoff });
        match refusal {
            Some((code, run)) => {
                self.answer_request(key, request, message::ClaimAnswer::Refused { code, run }, cx)
            }
            None => self.poll(cx),
        }
    }

    /// Answers a waiting request; does nothing if it is answered already.
    fn answer_request(
        &mut self,
        key: id::Key,
        request: id::RequestId,
        answer: message::ClaimAnswer,
        cx: &mut context::Context<'_>,
    ) {
        if self.pending.remove(&request).is_none() {
            return;
        }
        let status = match answer {
            message::ClaimAnswer::Granted => Status::Granted,
            _ => Status::NotGranted,
        };
        let expires = cx.now + cx.options.window + 2 * table::MAX_CLOCK_SKEW;
        self.answered.insert(request, Answered { status, expires });
        cx.push(Command::Claimed { key, request, answer });
    }

    /// Handles the answer of a shard's owner.
    pub fn handle_answer(
        &mut self,
        (key, request): waiters::ClaimId,
        answer: message::ClaimAnswer,
        cx: &mut context::Context<'_>,
    ) {
        let now = cx.now;
        match (self.pending.get_mut(&request), answer) {
            (Some(waiting), message::ClaimAnswer::Granted) if now >= waiting.claim.deadline => {
                self.give_up(request, cx)
            }
            (Some(waiting), message::ClaimAnswer::NotOwner) => {
                waiting.next_send = waiting.next_send.min(now + NOT_OWNER_DELAY);
            }
            // Ignored: the log may come back before the claim's deadline, and an owner can't tell.
            (Some(_), message::ClaimAnswer::Refused { code: code::Code::LogDown, .. }) => {}
            (Some(_), answer) => self.answer_request(key, request, answer, cx),
            (None, message::ClaimAnswer::Granted) => self.decline_grant(key, request, cx),
            (None, _) => {}
        }
    }

    /// Reports a request as not run if its grant arrived after it was answered.
    fn decline_grant(
        &mut self,
        key: id::Key,
        request: id::RequestId,
        cx: &mut context::Context<'_>,
    ) {
        if self.answered.get(&request).is_some_and(|answered| answered.status == Status::NotGranted)
        {
            self.report_outcome(key, request, log::End::NotRun, cx);
        }
    }

    /// Stops waiting for a claim. The answer can't say that no request with the key ran: an owner
    /// that can't read the log does not learn that another host has taken over the shard and
    /// granted the key.
    fn give_up(&mut self, request: id::RequestId, cx: &mut context::Context<'_>) {
        let Some(waiting) = self.pending.get(&request) else { return };
        let key = waiting.claim.key;
        let (code, run) = (code::Code::LogDown, code::Run::Unknown);
        self.answer_request(key, request, message::ClaimAnswer::Refused { code, run }, cx);
        send_outcome(key, request, log::End::NotRun, cx);
    }

    /// Records the end of a granted request and reports it to the owner.
    pub fn request_ended(
        &mut self,
        key: id::Key,
        request: id::RequestId,
        end: log::End,
        cx: &mut context::Context<'_>,
    ) {
        match self.answered.get_mut(&request) {
            Some(answered) if answered.status == Status::Granted => answered.status = Status::Ended,
            _ => return,
        }
        self.report_outcome(key, request, end, cx);
    }

    fn report_outcome(
        &mut self,
        key: id::Key,
        request: id::RequestId,
        end: log::End,
        cx: &mut context::Context<'_>,
    ) {
        let (next_send, backoff) = (cx.now, MIN_BACKOFF);
        self.outcomes.entry(request).or_insert(Outcome { key, end, next_send, backoff });
        self.poll(cx);
    }

    /// The owner has logged the outcome of `request`.
    pub fn outcome_kept(&mut self, request: id::RequestId) {
        self.outcomes.remove(&request);
    }

    /// Sends messages that are due and gives up claims past their deadline.
    pub fn poll(&mut self, cx: &mut context::Context<'_>) {
        let now = cx.now;
        let overdue = self.pending.iter().filter(|(_, waiting)| now >= waiting.claim.deadline);
        for request in overdue.map(|(request, _)| *request).collect::<Vec<_>>() {
            self.give_up(request, cx);
        }
        for waiting in self.pending.values_mut().filter(|waiting| now >= waiting.next_send) {
            waiting.next_send = now + waiting.backoff;
            waiting.backoff = (waiting.backoff * 2).min(MAX_BACKOFF);
            if let Some(owner) = owner(&waiting.claim.key, cx) {
                cx.send_request(&owner, message::Message::Claim(waiting.claim.clone()));
            }
        }
        for (request, outcome) in self.outcomes.iter_mut().filter(|(_, o)| now >= o.next_send) {
            outcome.next_send = now + outcome.backoff;
            outcome.backoff = (outcome.backoff * 2).min(MAX_BACKOFF);
            send_outcome(outcome.key, *request, outcome.end.clone(), cx);
        }
    }

    /// Removes answered requests and outcomes whose keys have expired.
    pub fn prune(&mut self, now: id::Time, window: time::Duration) {
        if now < self.next_prune {
            return;
        }
        self.next_prune = now + PRUNE_INTERVAL;
        self.answered
            .retain(|_, answered| answered.status == Status::Granted || now < answered.expires);
        self.outcomes.retain(|_, outcome| !table::is_expired(&outcome.key, now, window));
    }
}

fn owner(key: &id::Key, cx: &context::Context<'_>) -> Option<id::HostId> {
    cx.peers.owner(peers::shard_of(key, cx.options.shards)).cloned()
}

fn send_outcome(
    key: id::Key,
    request: id::RequestId,
    end: log::End,
    cx: &mut context::Context<'_>,
) {
    if let Some(owner) = owner(&key, cx) {
        cx.send(&owner, message::Message::Outcome { key, request, end });
    }
}
