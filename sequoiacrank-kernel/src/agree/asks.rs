//! Wishes for claims that wait on the host that should own their shard.

use std::collections;
use std::time;

use super::table;
use crate::code;
use crate::id;
use crate::log;
use crate::message;

/// How long a repeat waits for the end of the request that holds the key.
const HOLD: time::Duration = time::Duration::from_secs(2);
/// Time before its deadline at which a repeat gets its answer at the latest.
const HOLD_MARGIN: time::Duration = time::Duration::from_millis(300);

/// A key and a request with it.
pub(super) type Place = (id::Key, id::RequestId);

/// A wish.
pub(super) struct Ask {
    pub claim: message::Claim,
    /// When it first came.
    pub since: id::Time,
    /// Append that carries it.
    pub sequence: Option<u64>,
}

impl Ask {
    /// The answer, if the key's row allows one.
    pub fn verdict(&self, row: &table::Row, now: id::Time) -> Option<message::ClaimAnswer> {
        let same = row.fingerprint == self.claim.fingerprint;
        let hold = (self.since + HOLD).min(self.claim.deadline.saturating_sub(HOLD_MARGIN));
        match &row.state {
            table::State::Free => None,
            table::State::Held { request, .. } if *request == self.claim.request => {
                Some(message::ClaimAnswer::Granted)
            }
            table::State::Held { .. } if !same => {
                Some(refused(code::Code::KeyReused, code::Run::Unknown))
            }
            table::State::Held { .. } if now >= hold => {
                Some(refused(code::Code::KeyPending, code::Run::Unknown))
            }
            table::State::Held { .. } => None,
            table::State::Ended { end: log::End::Unknown, .. } if !same => {
                Some(refused(code::Code::KeyReused, code::Run::Unknown))
            }
            table::State::Ended { .. } if !same => {
                Some(refused(code::Code::KeyReused, code::Run::Yes))
            }
            table::State::Ended { end, .. } => Some(message::ClaimAnswer::Known(end.clone())),
        }
    }

    /// What the log is to say.
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

/// Wishes by key, so that those for the same key stand together.
#[derive(Default)]
pub(super) struct Asks {
    map: collections::BTreeMap<Place, Ask>,
}

impl Asks {
    /// Adds a wish; false if it waits already.
    pub fn add(&mut self, claim: message::Claim, now: id::Time) -> bool {
        let place = (claim.key, claim.request);
        if self.map.contains_key(&place) {
            return false;
        }
        self.map.insert(place, Ask { claim, since: now, sequence: None });
        true
    }

    /// A wish.
    pub fn get(&self, place: &Place) -> Option<&Ask> {
        self.map.get(place)
    }

    /// A wish, to be changed.
    pub fn get_mut(&mut self, place: &Place) -> Option<&mut Ask> {
        self.map.get_mut(place)
    }

    /// Takes a wish out.
    pub fn remove(&mut self, place: &Place) -> Option<Ask> {
        self.map.remove(place)
    }

    /// Takes all out.
    pub fn drain(&mut self) -> impl Iterator<Item = (Place, Ask)> + use<> {
        std::mem::take(&mut self.map).into_iter()
    }

    /// Keys and requests of all wishes.
    pub fn places(&self) -> Vec<Place> {
        self.map.keys().copied().collect()
    }

    /// Whether the append with this number carries a wish that still waits.
    pub fn carried_by(&self, sequence: u64) -> bool {
        self.map.values().any(|ask| ask.sequence == Some(sequence))
    }

    /// The append with this number carries none of them any more.
    pub fn unbatch(&mut self, sequence: u64) {
        let carried = self.map.values_mut().filter(|ask| ask.sequence == Some(sequence));
        carried.for_each(|ask| ask.sequence = None);
    }

    /// Whether no other request with the same key came before or is on its way into the log.
    pub fn is_first(&self, place: &Place) -> bool {
        let others = self.rivals(place.0).filter(|(other, _)| *other != place);
        let since = self.map.get(place).map(|ask| ask.since);
        others.into_iter().all(|(other, ask)| {
            ask.sequence.is_none() && (Some(ask.since), other.1) > (since, place.1)
        })
    }

    fn rivals(&self, key: id::Key) -> impl Iterator<Item = (&Place, &Ask)> {
        let all = (key, id::RequestId::nil())..=(key, id::RequestId::max());
        self.map.range(all)
    }

    /// Wishes that may be appended: one for each free key, the one that came first.
    pub fn due<F>(&self, now: id::Time, free: F) -> impl Iterator<Item = Place>
    where
        F: Fn(&id::Key) -> bool,
    {
        let due = move |place: &Place| free(&place.0) && self.is_first(place);
        let waiting = self.map.iter().filter(move |(_, ask)| now < ask.claim.deadline);
        waiting.map(|(place, _)| *place).filter(due)
    }
}

/// A refusal.
pub(super) fn refused(code: code::Code, run: code::Run) -> message::ClaimAnswer {
    message::ClaimAnswer::Refused { code, run }
}
