//! Claims that wait for an answer on the host that should own their shard.

use std::collections;
use std::time;

use super::table;
use crate::code;
use crate::id;
use crate::log;
use crate::message;

/// How long a repeated request waits for the request that holds its key to end.
const REPEAT_WAIT: time::Duration = time::Duration::from_secs(2);
/// A repeated request is answered at the latest this long before its deadline.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Identifies a claim by its key and request.
pub(super) type ClaimId = (id::Key, id::RequestId);

/// A claim that waits for an answer.
pub(super) struct Waiter {
    pub claim: message::Claim,
    /// When it first arrived.
    pub arrived: id::Time,
    /// Sequence number of the append that carries it, if any.
    pub sequence: Option<u64>,
}

impl Waiter {
    /// Returns the answer if the state of the key determines one.
    pub fn answer(&self, row: &table::Row, now: id::Time) -> Option<message::ClaimAnswer> {
        let same_fingerprint = row.fingerprint == self.claim.fingerprint;
        let wait_until =
            (self.arrived + REPEAT_WAIT).min(self.claim.deadline.saturating_sub(ANSWER_MARGIN));
        match &row.state {
            table::State::Free => None,
            table::State::Held { request, .. } if *request == self.claim.request => {
                Some(message::ClaimAnswer::Granted)
            }
            table::State::Held { .. } if !same_fingerprint => {
                Some(refusal(code::Code::KeyReused, code::Run::Unknown))
            }
            table::State::Held { .. } if now >= wait_until => {
                Some(refusal(code::Code::KeyPending, code::Run::Unknown))
            }
            table::State::Held { .. } => None,
            table::State::Ended { end: log::End::Unknown, .. } if !same_fingerprint => {
                Some(refusal(code::Code::KeyReused, code::Run::Unknown))
            }
            table::State::Ended { .. } if !same_fingerprint => {
                Some(refusal(code::Code::KeyReused, code::Run::Yes))
            }
            table::State::Ended { end, .. } => Some(message::ClaimAnswer::Known(end.clone())),
        }
    }

    /// The log entry that records the claim.
    pub fn entry(&self, epoch: id::Epoch) -> log::Entry {
        let claim = &self.claim;
        log::Entry::Claim {
            epoch,
            key: claim.key,
            fingerprint: claim.fingerprint,
            request: claim.request,
            holder: claim.holder.clone(),
            incarnation: claim.incarnation,
        }
    }
}

/// Waiting claims, ordered by key so that claims of the same key are adjacent.
#[derive(Default)]
pub(super) struct Waiters {
    map: collections::BTreeMap<ClaimId, Waiter>,
}

impl Waiters {
    /// Adds a claim; returns false if it is waiting already.
    pub fn add(&mut self, claim: message::Claim, now: id::Time) -> bool {
        let claim_id = (claim.key, claim.request);
        if self.map.contains_key(&claim_id) {
            return false;
        }
        self.map.insert(claim_id, Waiter { claim, arrived: now, sequence: None });
        true
    }

    pub fn get(&self, claim_id: &ClaimId) -> Option<&Waiter> {
        self.map.get(claim_id)
    }

    pub fn get_mut(&mut self, claim_id: &ClaimId) -> Option<&mut Waiter> {
        self.map.get_mut(claim_id)
    }

    pub fn remove(&mut self, claim_id: &ClaimId) -> Option<Waiter> {
        self.map.remove(claim_id)
    }

    /// Removes and returns all claims.
    pub fn drain(&mut self) -> impl Iterator<Item = (ClaimId, Waiter)> + use<> {
        std::mem::take(&mut self.map).into_iter()
    }

    /// Ids of all waiting claims.
    pub fn ids(&self) -> Vec<ClaimId> {
        self.map.keys().copied().collect()
    }

    /// Whether a waiting claim is carried by the append with this sequence number.
    pub fn in_append(&self, sequence: u64) -> bool {
        self.map.values().any(|waiter| waiter.sequence == Some(sequence))
    }

    /// Marks the claims of this append as not carried by any.
    pub fn clear_append(&mut self, sequence: u64) {
        let carried = self.map.values_mut().filter(|waiter| waiter.sequence == Some(sequence));
        carried.for_each(|waiter| waiter.sequence = None);
    }

    /// Whether no other waiting claim of the same key arrived earlier or is carried by an append.
    pub fn is_first(&self, claim_id: &ClaimId) -> bool {
        let others = self.with_key(claim_id.0).filter(|(other, _)| *other != claim_id);
        let arrived = self.map.get(claim_id).map(|waiter| waiter.arrived);
        others.into_iter().all(|(other, waiter)| {
            waiter.sequence.is_none() && (Some(waiter.arrived), other.1) > (arrived, claim_id.1)
        })
    }

    fn with_key(&self, key: id::Key) -> impl Iterator<Item = (&ClaimId, &Waiter)> {
        let all = (key, id::RequestId::nil())..=(key, id::RequestId::max());
        self.map.range(all)
    }

    /// Claims that may be appended: for each free key the one that arrived first.
    pub fn due<F>(&self, now: id::Time, free: F) -> impl Iterator<Item = ClaimId>
    where
        F: Fn(&id::Key) -> bool,
    {
        let due = move |claim_id: &ClaimId| free(&claim_id.0) && self.is_first(claim_id);
        let waiting = self.map.iter().filter(move |(_, waiter)| now < waiter.claim.deadline);
        waiting.map(|(claim_id, _)| *claim_id).filter(due)
    }
}

pub(super) fn refusal(code: code::Code, run: code::Run) -> message::ClaimAnswer {
    message::ClaimAnswer::Refused { code, run }
}
