//! The newest records of a topic of the platform's store, as one host knows them.
//!
//! Records arrive from the store or from another host, in any order and more than once. An older
//! record never replaces a newer one; [`order`] tells which is which, also when the store comes
//! back from a copy. What was known before that holds until it is written again or, for keys whose
//! values have no stamps, until the store has been back for some time.

pub mod order;

use std::collections;
use std::time;

use crate::edge::members;
use crate::id;

/// Time after which another host is asked if the first one did not answer. A large configuration
/// arrives within it over the slowest link of a host.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Time for which records that another host already has may still arrive from the store.
const STORE_GRACE: time::Duration = members::HEARTBEAT_INTERVAL;
/// Time between two requests for all records of another host because they differ.
const DIFFERENCE_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// The newest record of a key. A record without a value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<B> {
    /// Key of the record.
    pub key: String,
    /// Value, or `None` if the key was deleted.
    pub value: Option<B>,
    /// Place in the topic.
    pub position: order::Position,
    /// For a deleted key, values up to this stamp do not exist any more.
    pub last_stamp: Option<order::Stamp>,
}

/// What a list of records covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All that was written from some known position on.
    Since,
    /// All keys of the topic in the store.
    Topic,
    /// All that another host knows. If it is `settled`, keys that it does not know do not exist.
    Host {
        /// Whether the other host knows what a restored store has.
        settled: bool,
    },
}

#[derive(Clone, Debug)]
struct Entry<B> {
    rank: order::Rank,
    value: Option<B>,
    /// Digest of the key with its value; 0 if it was deleted.
    digest: u64,
}

/// Requests for records of other hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Requests {
    /// Time at which another host was asked for newer records that have not arrived yet.
    asked_at: Option<id::Time>,
    /// Time at which this host learned that there are newer records.
    behind_since: Option<id::Time>,
    /// First and last time at which another host had different records up to the same end.
    different: Option<(id::Time, id::Time)>,
    /// Time at which another host was last asked for all records because they differ.
    compared_at: Option<id::Time>,
}

/// What to request as other hosts have other records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// The records of the other host from this position on; from [`order::Position::START`] on, all
    /// of them.
    From(order::Position),
    /// All records of the other host, and all keys in the store.
    Compare,
}

/// The newest records of a topic.
#[derive(Clone, Debug)]
pub struct Records<B: 'static> {
    values: &'static dyn order::Values<B>,
    /// Time for which what was known before a restore holds against what the store has; `None` if
    /// stamps order all values.
    hold: Option<time::Duration>,
    newest: collections::BTreeMap<String, Entry<B>>,
    end: order::Position,
    /// Time as of which these were the newest records in the store.
    current_at: Option<id::Time>,
    /// End of the last read of all keys that showed which ones do not exist.
    complete: order::Position,
    /// Time from which on what a restored store has is not older than what is known. All keys are
    /// read again then.
    settles_at: Option<id::Time>,
    /// Digest of all keys with their values.
    digest: u64,
    requests: Requests,
}

impl<B> Records<B>
where
    B: Clone + PartialEq,
{
    /// Creates an empty set of records of which `values` tells what they say of themselves.
    /// `hold` is the time for which values without a stamp hold against those of a restored store.
    pub fn new(values: &'static dyn order::Values<B>, hold: Option<time::Duration>) -> Self {
        Records {
            values,
            hold,
            newest: collections::BTreeMap::new(),
            end: order::Position::START,
            current_at: None,
            complete: order::Position::START,
            settles_at: None,
            digest: 0,
            requests: Requests::default(),
        }
    }

    /// Applies records up to `end`, as of the time `at`. Returns the keys that changed.
    pub fn apply(
        &mut self,
        now: id::Time,
        mut records: Vec<Record<B>>,
        end: order::Position,
        at: id::Time,
        scope: Scope,
    ) -> Vec<String> {
        let is_new = end.era > self.end.era;
        if is_new {
            self.begin_era(now);
        }
        let is_certain = self.settles_at.is_none_or(|at| now >= at);
        if scope == Scope::Topic && !is_certain {
            for record in &mut records {
                record.position.era = order::UNCERTAIN;
            }
        }
        let present: collections::BTreeSet<String> =
            records.iter().map(|record| record.key.clone()).collect();
        let mut changed = self.merge(records);
        let is_complete = match scope {
            Scope::Since => false,
            // In a known era, hosts that lack keys may have missed their records.
            Scope::Host { settled } => settled && is_new,
            Scope::Topic => is_certain && end.era >= self.end.era,
        };
        if is_complete {
            changed.extend(self.delete_missing(&present, end));
        }
        if is_complete && scope == Scope::Topic {
            self.complete = self.complete.max(end);
            self.settles_at = None;
        }
        self.advance(end, at);
        changed
    }

    /// Begins to hold what is known against what the restored store has. A host that knows nothing
    /// yet can't tell when the store was restored.
    fn begin_era(&mut self, now: id::Time) {
        self.settles_at = self.hold.map(|hold| now + hold);
    }

    fn merge(&mut self, records: Vec<Record<B>>) -> Vec<String> {
        let mut changed = Vec::new();
        for Record { key, value, position, last_stamp } in records {
            let stamp = match &value {
                Some(value) => self.values.stamp(&key, value),
                None => last_stamp,
            };
            let rank = order::Rank { position, stamp, deletes: value.is_none() };
            let known = self.newest.get(&key);
            let deleted = known.and_then(|known| known.rank.deleted_at(position.era));
            let stamp = if rank.deletes { rank.stamp.max(deleted) } else { rank.stamp };
            match known {
                Some(known) if !rank.is_newer(&known.rank) => continue,
                Some(known) if known.value == value => {}
                // The key was deleted: a later read of all keys did not have it.
                None if !rank.deletes && position < self.complete => continue,
                _ => changed.push(key.clone()),
            }
            self.insert(key, order::Rank { stamp, ..rank }, value);
        }
        changed
    }

    /// Sets the record of a key.
    fn insert(&mut self, key: String, rank: order::Rank, value: Option<B>) {
        let digest = value.as_ref().map_or(0, |value| {
            xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), self.values.digest(&key, value))
        });
        let known = self.newest.get(&key);
        self.digest ^= digest ^ known.map_or(0, |known| known.digest);
        self.newest.insert(key, Entry { rank, value, digest });
    }

    /// Deletes the keys that are missing in a complete list up to `end`, in which they were deleted
    /// at the last offset at the latest. Returns them.
    fn delete_missing(
        &mut self,
        present: &collections::BTreeSet<String>,
        end: order::Position,
    ) -> Vec<String> {
        let is_missing = |(key, known): &(&String, &Entry<B>)| {
            known.value.is_some() && known.rank.position < end && !present.contains(*key)
        };
        let missing: Vec<String> =
            self.newest.iter().filter(is_missing).map(|(key, _)| key.clone()).collect();
        let position = order::Position::new(end.era, end.offset.saturating_sub(1));
        for key in &missing {
            let stamp = self.newest.get(key).and_then(|known| known.rank.deleted_at(end.era));
            let rank = order::Rank { position, stamp, deletes: true };
            self.insert(key.clone(), rank, None);
        }
        missing
    }

    fn advance(&mut self, end: order::Position, at: id::Time) {
        if end >= self.end {
            self.end = end;
            self.confirm_current(at);
            self.requests.asked_at = None;
            self.requests.behind_since = None;
        }
    }

    /// Records that these were the newest records at a time.
    pub fn confirm_current(&mut self, at: id::Time) {
        self.current_at = Some(self.current_at.map_or(at, |current| current.max(at)));
    }

    /// What to request from a host that has the records up to `end` with this digest. All hosts
    /// learn of a new configuration within one heartbeat, and copies of a large one would fill
    /// their links. Reading from the store therefore has precedence, and one host is asked at a
    /// time.
    pub fn request(
        &mut self,
        now: id::Time,
        end: order::Position,
        digest: Option<u64>,
    ) -> Option<Request> {
        if end <= self.end {
            let differs = end == self.end && digest.is_some_and(|it| it != self.digest);
            return (differs && self.should_compare(now)).then_some(Request::Compare);
        }
        let since = *self.requests.behind_since.get_or_insert(now);
        let waiting = self.requests.asked_at.is_some_and(|at| now < at + ANSWER_TIMEOUT);
        if waiting || now < since + STORE_GRACE {
            return None;
        }
        self.requests.asked_at = Some(now);
        let is_same = end.era == self.end.era;
        Some(Request::From(if is_same { self.end } else { order::Position::START }))
    }

    /// Whether to compare records with a host that has others up to the same end. Changes that are
    /// being told make them differ for a moment.
    fn should_compare(&mut self, now: id::Time) -> bool {
        let requests = &mut self.requests;
        let known = requests.different.filter(|&(_, last)| now < last + 3 * STORE_GRACE);
        let since = known.map_or(now, |(since, _)| since);
        requests.different = Some((since, now));
        let is_due = requests.compared_at.is_none_or(|at| now >= at + DIFFERENCE_INTERVAL);
        if !is_due || now < since + STORE_GRACE {
            return false;
        }
        requests.different = None;
        requests.compared_at = Some(now);
        true
    }

    /// Position after the last known record.
    pub fn end(&self) -> order::Position {
        self.end
    }

    /// Digest of all keys with their values, the same on hosts that know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether keys that are not known do not exist in the store either.
    pub fn is_settled(&self) -> bool {
        self.settles_at.is_none() && self.complete.era == self.end.era
    }

    /// Time at which to read all keys of a restored store again, if there is one.
    pub fn settles_at(&self) -> Option<id::Time> {
        self.settles_at
    }

    /// Time as of which these are the newest records, if any were read.
    pub fn current_at(&self) -> Option<id::Time> {
        self.current_at
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&B> {
        self.newest.get(key).and_then(|entry| entry.value.as_ref())
    }

    /// The position of the newest record of a key.
    pub fn position(&self, key: &str) -> Option<order::Position> {
        self.newest.get(key).map(|entry| entry.rank.position)
    }

    /// Keys with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &B)> {
        self.newest.iter().filter_map(|(key, entry)| Some((key, entry.value.as_ref()?)))
    }

    /// Records from a position on, deleted keys included, and those whose position is not certain.
    pub fn since(&self, from: order::Position) -> Vec<Record<B>> {
        let is_newer = |it: order::Position| it >= from || it.era == order::UNCERTAIN;
        let newer = self.newest.iter().filter(|(_, entry)| is_newer(entry.rank.position));
        newer
            .map(|(key, entry)| Record {
                key: key.clone(),
                value: entry.value.clone(),
                position: entry.rank.position,
                last_stamp: entry.rank.stamp.filter(|_| entry.rank.deletes),
            })
            .collect()
    }
}
