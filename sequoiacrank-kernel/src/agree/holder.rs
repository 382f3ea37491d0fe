//! Claims that requests of this host wait for, and the ends that the shards' owners must log.
//!
//! A request that stopped waiting never uses a grant that comes later: it answers it with
//! [`log::End::NotRun`], which frees the key.

use std::collections;
use std::time;

use super::{Command, asks, peers, table, turn};
use crate::code;
use crate::id;
use crate::log;
use crate::message;

/// Wait before the first repeat of a message to an owner.
const BACKOFF_FIRST: time::Duration = time::Duration::from_millis(200);
/// Longest wait between repeats.
const BACKOFF_LAST: time::Duration = time::Duration::from_secs(2);
/// Wait before an owner is asked again after a host said that it is not the owner.
const NOT_OWNER_WAIT: time::Duration = time::Duration::from_millis(100);
/// How often requests whose keys have expired are forgotten.
const PRUNE_EVERY: time::Duration = time::Duration::from_secs(10);

struct Pending {
    claim: message::Claim,
    next: id::Time,
    backoff: time::Duration,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// Answered without a grant; a grant must not be used any more.
    Closed,
    /// Granted and running.
    Granted,
    /// Granted and ended.
    Ended,
}

struct Done {
    fate: Fate,
    until: id::Time,
}

struct Outcome {
    key: id::Key,
    end: log::End,
    next: id::Time,
    backoff: time::Duration,
}

/// Requests of this host that need or had a claim.
#[derive(Default)]
pub(super) struct Holder {
    pending: collections::BTreeMap<id::RequestId, Pending>,
    done: collections::BTreeMap<id::RequestId, Done>,
    outcomes: collections::BTreeMap<id::RequestId, Outcome>,
    prune_next: id::Time,
}

impl Holder {
    /// Whether claims are waited for, granted requests run, or ends are not logged.
    pub fn is_busy(&self) -> bool {
        !self.is_quiet() || !self.outcomes.is_empty()
    }

    /// Whether no claim is waited for and no granted request runs.
    pub fn is_quiet(&self) -> bool {
        let running = self.done.values().any(|done| done.fate == Fate::Granted);
        !running && self.pending.is_empty()
    }

    /// Takes a request's wish.
    pub fn claim(&mut self, claim: message::Claim, turn: &mut turn::Turn<'_>) {
        let request = claim.request;
        if self.pending.contains_key(&request) || self.done.contains_key(&request) {
            return;
        }
        let unusable = table::unusable(&claim.key, turn.now, turn.options.window);
        let (next, backoff) = (turn.now, BACKOFF_FIRST);
        let key = claim.key;
        self.pending.insert(request, Pending { claim, next, backoff });
        match unusable {
            Some((code, run)) => {
                self.close(key, request, message::ClaimAnswer::Refused { code, run }, turn)
            }
            None => self.poll(turn),
        }
    }

    /// Answers a waiting request, exactly once.
    fn close(
        &mut self,
        key: id::Key,
        request: id::RequestId,
        answer: message::ClaimAnswer,
        turn: &mut turn::Turn<'_>,
    ) {
        if self.pending.remove(&request).is_none() {
            return;
        }
        let fate = match answer {
            message::ClaimAnswer::Granted => Fate::Granted,
            _ => Fate::Closed,
        };
        let until = turn.now + turn.options.window + 2 * table::SKEW;
        self.done.insert(request, Done { fate, until });
        turn.push(Command::Claimed { key, request, answer });
    }

    /// Takes an owner's answer.
    pub fn answer(
        &mut self,
        (key, request): asks::Place,
        answer: message::ClaimAnswer,
        turn: &mut turn::Turn<'_>,
    ) {
        let now = turn.now;
        match (self.pending.get_mut(&request), answer) {
            (Some(waiting), message::ClaimAnswer::Granted) if now >= waiting.claim.deadline => {
                self.give_up(request, turn)
            }
            (Some(waiting), message::ClaimAnswer::NotOwner) => {
                waiting.next = waiting.next.min(now + NOT_OWNER_WAIT);
            }
            // No owner knows that the log stays away until the deadline.
            (Some(_), message::ClaimAnswer::Refused { code: code::Code::LogDown, .. }) => {}
            (Some(_), answer) => self.close(key, request, answer, turn),
            (None, message::ClaimAnswer::Granted) => self.return_grant(key, request, turn),
            (None, _) => {}
        }
    }

    /// Answers a grant that came too late.
    fn return_grant(&mut self, key: id::Key, request: id::RequestId, turn: &mut turn::Turn<'_>) {
        if self.done.get(&request).is_some_and(|done| done.fate == Fate::Closed) {
            self.report(key, request, log::End::NotRun, turn);
        }
    }

    /// Stops waiting. An earlier request with the key may have run: an owner that can't read the log does not
    /// learn that another host has taken the shard over, so that none can say that it did not.
    fn give_up(&mut self, request: id::RequestId, turn: &mut turn::Turn<'_>) {
        let Some(waiting) = self.pending.get(&request) else { return };
        let key = waiting.claim.key;
        let (code, run) = (code::Code::LogDown, code::Run::Unknown);
        self.close(key, request, message::ClaimAnswer::Refused { code, run }, turn);
        send_outcome(key, request, log::End::NotRun, turn);
    }

    /// A granted request ended.
    pub fn ended(
        &mut self,
        key: id::Key,
        request: id::RequestId,
        end: log::End,
        turn: &mut turn::Turn<'_>,
    ) {
        match self.done.get_mut(&request) {
            Some(done) if done.fate == Fate::Granted => done.fate = Fate::Ended,
            _ => return,
        }
        self.report(key, request, end, turn);
    }

    fn report(
        &mut self,
        key: id::Key,
        request: id::RequestId,
        end: log::End,
        turn: &mut turn::Turn<'_>,
    ) {
        let (next, backoff) = (turn.now, BACKOFF_FIRST);
        self.outcomes.entry(request).or_insert(Outcome { key, end, next, backoff });
        self.poll(turn);
    }

    /// The owner has the end of `request` in the log.
    pub fn kept(&mut self, request: id::RequestId) {
        self.outcomes.remove(&request);
    }

    /// Repeats messages that are due, gives up claims that are late, forgets what has expired.
    pub fn poll(&mut self, turn: &mut turn::Turn<'_>) {
        let now = turn.now;
        let late = self.pending.iter().filter(|(_, waiting)| now >= waiting.claim.deadline);
        for request in late.map(|(request, _)| *request).collect::<Vec<_>>() {
            self.give_up(request, turn);
        }
        for waiting in self.pending.values_mut().filter(|waiting| now >= waiting.next) {
            waiting.next = now + waiting.backoff;
            waiting.backoff = (waiting.backoff * 2).min(BACKOFF_LAST);
            if let Some(owner) = owner(&waiting.claim.key, turn) {
                turn.ask(&owner, message::Message::Claim(waiting.claim.clone()));
            }
        }
        for (request, outcome) in self.outcomes.iter_mut().filter(|(_, o)| now >= o.next) {
            outcome.next = now + outcome.backoff;
            outcome.backoff = (outcome.backoff * 2).min(BACKOFF_LAST);
            send_outcome(outcome.key, *request, outcome.end.clone(), turn);
        }
    }

    /// Forgets what can't matter any more.
    pub fn prune(&mut self, now: id::Time, window: time::Duration) {
        if now < self.prune_next {
            return;
        }
        self.prune_next = now + PRUNE_EVERY;
        self.done.retain(|_, done| done.fate == Fate::Granted || now < done.until);
        self.outcomes.retain(|_, outcome| !table::is_forgotten(&outcome.key, now, window));
    }
}

fn owner(key: &id::Key, turn: &turn::Turn<'_>) -> Option<id::HostId> {
    turn.peers.owner(peers::shard(key, turn.options.shards)).cloned()
}

fn send_outcome(key: id::Key, request: id::RequestId, end: log::End, turn: &mut turn::Turn<'_>) {
    if let Some(owner) = owner(&key, turn) {
        turn.send(&owner, message::Message::Outcome { key, request, end });
    }
}
