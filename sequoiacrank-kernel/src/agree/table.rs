//! State of the keys of one shard: which request holds each key, how it ended, and which owner's
//! claims are valid.
//!
//! The table depends only on the records applied so far, in the order of their offsets. The first
//! valid claim of a key holds it until that request itself ends as not run.

use std::collections;
use std::time;

use crate::code;
use crate::id;
use crate::log;

/// Largest tolerated difference between the clocks of two hosts.
pub(super) const MAX_CLOCK_SKEW: time::Duration = time::Duration::from_secs(30);

/// The current ownership period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ownership {
    pub epoch: id::Epoch,
    pub owner: id::HostId,
    pub incarnation: id::Incarnation,
    /// Time of the latest record that contains it, by the log's clock.
    pub at: id::Time,
}

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// No request holds the key.
    Free,
    /// The request holds the key; it may run or may have run.
    Held { request: id::RequestId, holder: id::HostId },
    /// The request that held the key ran, or may have run.
    Ended { request: id::RequestId, end: log::End },
}

/// A key with its history.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub fingerprint: id::Fingerprint,
    pub state: State,
    /// Requests that ended as not run and must not hold the key again.
    not_run: Vec<id::RequestId>,
}

/// Keys of one shard.
#[derive(Default)]
pub(super) struct Table {
    ownership: Option<Ownership>,
    max_epoch: id::Epoch,
    rows: collections::BTreeMap<id::Key, Row>,
}

impl Table {
    /// The current ownership period.
    pub fn ownership(&self) -> Option<&Ownership> {
        self.ownership.as_ref()
    }

    /// Returns an epoch above all earlier ones, including those that the log has dropped.
    ///
    /// An epoch is at most one above the offset of its record, so one above the `end` of the stream
    /// is above all.
    pub fn next_epoch(&self, end: id::Offset) -> id::Epoch {
        (end + 1).max(self.max_epoch + 1)
    }

    /// State of a key; none if no record names it.
    pub fn row(&self, key: &id::Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Whether `request` ended as not run.
    pub fn is_not_run(&self, key: &id::Key, request: &id::RequestId) -> bool {
        self.rows.get(key).is_some_and(|row| row.not_run.contains(request))
    }

    /// Applies a record. Records must come in the order of their offsets, each once.
    pub fn fold(&mut self, record: &log::Record) {
        for entry in &record.entries {
            match entry {
                log::Entry::Epoch { epoch, owner, incarnation } => {
                    self.fold_epoch(record.at, *epoch, owner, *incarnation)
                }
                log::Entry::Claim { epoch, key, fingerprint, request, holder, .. } => {
                    self.max_epoch = self.max_epoch.max(*epoch);
                    if self.is_valid_claim(*epoch, &record.writer) {
                        self.fold_claim(*key, *fingerprint, *request, holder);
                    }
                }
                log::Entry::Outcome { key, request, end } => self.fold_outcome(*key, *request, end),
                _ => {}
            }
        }
    }

    fn fold_epoch(
        &mut self,
        at: id::Time,
        epoch: id::Epoch,
        owner: &str,
        incarnation: id::Incarnation,
    ) {
        let is_renewal =
            |s: &Ownership| s.epoch == epoch && s.owner == owner && s.incarnation == incarnation;
        let newer = self.ownership.as_ref().is_none_or(|s| epoch > s.epoch || is_renewal(s));
        if newer && epoch >= self.max_epoch {
            self.ownership = Some(Ownership { epoch, owner: owner.into(), incarnation, at });
        }
        self.max_epoch = self.max_epoch.max(epoch);
    }

    fn is_valid_claim(&self, epoch: id::Epoch, writer: &log::Writer) -> bool {
        match &self.ownership {
            Some(s) => {
                let same = s.owner == writer.host && s.incarnation == writer.incarnation;
                s.epoch == epoch && same
            }
            // The epoch record has run out of retention. The claim counts as granted, since
            // ignoring it could let a second request run.
            None => true,
        }
    }

    fn row_mut(&mut self, key: id::Key, fingerprint: id::Fingerprint) -> &mut Row {
        let row = Row { fingerprint, state: State::Free, not_run: Vec::new() };
        self.rows.entry(key).or_insert(row)
    }

    fn fold_claim(
        &mut self,
        key: id::Key,
        fingerprint: id::Fingerprint,
        request: id::RequestId,
        holder: &str,
    ) {
        let row = self.row_mut(key, fingerprint);
        if row.state == State::Free && !row.not_run.contains(&request) {
            row.fingerprint = fingerprint;
            row.state = State::Held { request, holder: holder.into() };
        }
    }

    fn fold_outcome(&mut self, key: id::Key, request: id::RequestId, end: &log::End) {
        let row = self.row_mut(key, 0);
        let held = matches!(&row.state, State::Held { request: r, .. } if *r == request);
        match end {
            log::End::NotRun => {
                if held {
                    row.state = State::Free;
                }
                if !row.not_run.contains(&request) {
                    row.not_run.push(request);
                }
            }
            end if held => row.state = State::Ended { request, end: end.clone() },
            _ => {}
        }
    }

    /// Removes keys that no request can claim any more.
    pub fn prune(&mut self, now: id::Time, window: time::Duration) {
        self.rows.retain(|key, _| !is_expired(key, now, window));
    }
}

/// Time at which a key was issued; none if it is not a UUIDv7.
pub(super) fn issue_time(key: &id::Key) -> Option<id::Time> {
    let (seconds, nanos) = key.get_timestamp().filter(|_| key.get_version_num() == 7)?.to_unix();
    Some(time::Duration::new(seconds, nanos))
}

/// Whether the key is too old to be claimed on any host, even one whose clock is behind.
pub(super) fn is_expired(key: &id::Key, now: id::Time, window: time::Duration) -> bool {
    issue_time(key).is_none_or(|at| now > at + window + MAX_CLOCK_SKEW)
}

/// Returns why a key can't be claimed at `now` and whether a request with it ran; none if it can.
pub(super) fn key_refusal(
    key: &id::Key,
    now: id::Time,
    window: time::Duration,
) -> Option<(code::Code, code::Run)> {
    match issue_time(key) {
        None => Some((code::Code::BadRequest, code::Run::No)),
        Some(at) if now > at + window => Some((code::Code::KeyExpired, code::Run::Unknown)),
        // A host whose clock is ahead may have accepted this key already.
        Some(at) if at > now + 2 * MAX_CLOCK_SKEW => Some((code::Code::KeyFuture, code::Run::No)),
        Some(at) if at > now + MAX_CLOCK_SKEW => Some((code::Code::KeyFuture, code::Run::Unknown)),
        Some(_) => None,
    }
}
