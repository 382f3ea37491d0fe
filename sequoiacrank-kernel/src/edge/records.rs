//! The newest records of a topic of the platform's store, as one host knows them.
//!
//! Records arrive from the store or from another host, in any order and more than once. An older
//! record never replaces a newer one.

use std::collections;
use std::time;

use crate::edge::members;
use crate::id;

/// Time after which another host is asked if the first one did not answer. A large configuration
/// arrives within it over the slowest link of a host.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Time for which records that another host already has may still arrive from the store.
const STORE_GRACE: time::Duration = members::HEARTBEAT_INTERVAL;

/// The newest record of a key. A record without a value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<B> {
    /// Key of the record.
    pub key: String,
    /// Value, or `None` if the key was deleted.
    pub value: Option<B>,
    /// Offset in the topic.
    pub offset: id::Offset,
}

/// The newest records of a topic.
#[derive(Clone, Debug)]
pub struct Records<B> {
    newest: collections::BTreeMap<String, (id::Offset, Option<B>)>,
    end: id::Offset,
    /// Time as of which these were the newest records in the store.
    current_at: Option<id::Time>,
    /// Time at which another host was asked for newer records that have not arrived yet.
    asked_at: Option<id::Time>,
    /// Time at which this host learned that there are newer records.
    behind_since: Option<id::Time>,
}

impl<B> Default for Records<B> {
    fn default() -> Self {
        Records {
            newest: collections::BTreeMap::new(),
            end: 0,
            current_at: None,
            asked_at: None,
            behind_since: None,
        }
    }
}

impl<B> Records<B>
where
    B: Clone + PartialEq,
{
    /// Merges records up to `end`, as of the time `at`. Returns the keys that changed.
    pub fn merge(&mut self, records: Vec<Record<B>>, end: id::Offset, at: id::Time) -> Vec<String> {
        let mut changed = Vec::new();
        for record in records {
            match self.newest.get(&record.key) {
                // Hosts of earlier versions mark a missing key as deleted at the offset of the next
                // record, which may be one of that key.
                Some((offset, None)) if *offset == record.offset && record.value.is_some() => {
                    changed.push(record.key.clone());
                    self.newest.insert(record.key, (record.offset, record.value));
                }
                Some((offset, _)) if *offset >= record.offset => {}
                Some((_, value)) if *value == record.value => {
                    self.newest.insert(record.key, (record.offset, record.value));
                }
                _ => {
                    changed.push(record.key.clone());
                    self.newest.insert(record.key, (record.offset, record.value));
                }
            }
        }
        self.advance(end, at);
        changed
    }

    /// Merges the complete set of records up to `end`. A key that is not among them was deleted, at
    /// the last offset before `end` at the latest.
    pub fn replace(
        &mut self,
        records: Vec<Record<B>>,
        end: id::Offset,
        at: id::Time,
    ) -> Vec<String> {
        let present: collections::BTreeSet<String> =
            records.iter().map(|record| record.key.clone()).collect();
        let mut changed = self.merge(records, end, at);
        for (key, (offset, value)) in &mut self.newest {
            if value.is_some() && *offset < end && !present.contains(key) {
                *value = None;
                *offset = end - 1;
                changed.push(key.clone());
            }
        }
        changed
    }

    fn advance(&mut self, end: id::Offset, at: id::Time) {
        if end >= self.end {
            self.end = end;
            self.current_at = Some(self.current_at.map_or(at, |current| current.max(at)));
            self.asked_at = None;
            self.behind_since = None;
        }
    }

    /// Records that these were the newest records at a time.
    pub fn confirm_current(&mut self, at: id::Time) {
        self.current_at = Some(self.current_at.map_or(at, |current| current.max(at)));
    }

    /// Whether to fetch missing records from a host that has the records up to `end`; returns the
    /// offset of the first one to fetch. All hosts learn of a new configuration within one
    /// heartbeat, and copies of a large one would fill their links. Reading from the store
    /// therefore has precedence, and one host is asked at a time.
    pub fn fetch_from(&mut self, now: id::Time, end: id::Offset) -> Option<id::Offset> {
        if end <= self.end {
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let waiting = self.asked_at.is_some_and(|at| now < at + ANSWER_TIMEOUT);
        if waiting || now < since + STORE_GRACE {
            return None;
        }
        self.asked_at = Some(now);
        Some(self.end)
    }

    /// Offset after the last known record.
    pub fn end(&self) -> id::Offset {
        self.end
    }

    /// Time as of which these are the newest records, if any were read.
    pub fn current_at(&self) -> Option<id::Time> {
        self.current_at
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&B> {
        self.newest.get(key).and_then(|(_, value)| value.as_ref())
    }

    /// The offset of the newest record of a key.
    pub fn offset(&self, key: &str) -> Option<id::Offset> {
        self.newest.get(key).map(|(offset, _)| *offset)
    }

    /// Keys with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &B)> {
        self.newest.iter().filter_map(|(key, (_, value))| Some((key, value.as_ref()?)))
    }

    /// Records from an offset on, deleted keys included.
    pub fn since(&self, from: id::Offset) -> Vec<Record<B>> {
        let newer = self.newest.iter().filter(|(_, (offset, _))| *offset >= from);
        newer
            .map(|(key, (offset, value))| Record {
                key: key.clone(),
                value: value.clone(),
                offset: *offset,
            })
            .collect()
    }
}
