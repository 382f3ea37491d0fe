//! Results of reads and appends.

use crate::edge::duty;
use crate::edge::duty::lease;
use crate::id;

impl lease::Lease {
    /// Begins an append at the end of the topic as last read or written.
    pub(super) fn append(
        &mut self,
        now: id::Time,
        mut record: duty::Record,
        purpose: lease::Purpose,
    ) -> lease::Action {
        let Some(view) = &self.view else { return lease::Action::Read };
        self.number += 1;
        record.number = self.number;
        let write = lease::Write { at: view.end, record };
        self.pending = Some(lease::Pending {
            write: write.clone(),
            started: now,
            resent: now,
            purpose,
            phase: lease::Phase::InFlight,
        });
        lease::Action::Append(write)
    }

    /// Sends an append again that has not been carried out, unless it is no longer wanted. If it
    /// is carried out late nevertheless, the next append fails and the record is read.
    pub(super) fn resend(&mut self, now: id::Time, facts: &lease::Facts) -> Option<lease::Write> {
        let releasing = self.held.as_ref().is_some_and(|held| held.releasing.is_some());
        let held = self.held.is_some();
        let wanted = |purpose: &lease::Purpose| match purpose {
            lease::Purpose::Acquire { .. } => facts.position.is_some() && now >= self.barred_until,
            lease::Purpose::Renew => held && !releasing && !facts.leaving,
            lease::Purpose::Release(_) => held,
        };
        let mut pending = self.pending.take().filter(|it| wanted(&it.purpose))?;
        pending.phase = lease::Phase::InFlight;
        pending.resent = now;
        let write = pending.write.clone();
        self.pending = Some(pending);
        Some(write)
    }

    /// Records the result of an append.
    pub fn record_append(&mut self, now: id::Time, written: lease::Written) {
        match (self.pending.take(), written) {
            (Some(pending), lease::Written::Done(end)) => {
                self.view = Some(lease::View {
                    end,
                    offset: Some(pending.write.at),
                    seen: lease::Seen::Record(pending.write.record.clone()),
                    since: now,
                });
                let started = pending.resent;
                self.land(now, pending, started);
            }
            (Some(pending), lease::Written::Conflict | lease::Written::Unknown) => {
                self.pending = Some(lease::Pending { phase: lease::Phase::Unknown, ..pending });
            }
            (None, _) => {}
        }
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self, now: id::Time) {
        self.retry_at = now + self.period / 6;
    }

    /// Records the result of a read that began at `started`.
    pub fn record_read(&mut self, started: id::Time, now: id::Time, reading: lease::Reading) {
        self.read_at = Some(started);
        // The record may have been written at any time during the read, which takes longer than
        // expected if the process was paused meanwhile.
        let read_since = started.max(now.saturating_sub(self.period / 3));
        let same = |view: &lease::View| view.offset == reading.offset && view.seen == reading.seen;
        let known = self.view.as_ref().filter(|view| same(view));
        let since = known.map_or(read_since, |view| view.since);
        let lease::Reading { end, offset, seen } = reading;
        self.view = Some(lease::View { end, offset, seen, since });
        self.resolve(now);
    }

    /// Applies the newest record to the append whose result is unknown, and to the lease.
    fn resolve(&mut self, now: id::Time) {
        let end = self.view.as_ref().map(|view| view.end);
        let newest = self.viewed().cloned();
        match self.pending.take() {
            Some(pending) if newest.as_ref().is_some_and(|it| is_same(it, &pending)) => {
                let started = pending.started;
                return self.land(now, pending, started);
            }
            Some(pending) if end == Some(pending.write.at) => {
                self.pending = Some(lease::Pending { phase: lease::Phase::Resend, ..pending });
            }
            _ => {}
        }
        let Some(held) = &mut self.held else { return };
        match newest {
            Some(record) if is_renewal(&record, &held.record) => {
                // An earlier write may have been carried out late. Its start is not known, so it
                // does not prolong the lease.
                held.record = record;
            }
            newest => {
                let loss = lease::Loss::Taken(newest.map(|record| record.host));
                self.lose(loss);
            }
        }
    }

    /// Applies an append that was carried out and that was sent at `started`.
    fn land(&mut self, now: id::Time, pending: lease::Pending, started: id::Time) {
        let record = pending.write.record;
        let token = record.token;
        match pending.purpose {
            lease::Purpose::Acquire { why, from, acts_at } => {
                let draft = record.content.clone();
                let written = started;
                self.silence = None;
                let releasing = None;
                self.held = Some(lease::Held { record, draft, written, acts_at, why, releasing });
                self.events.push(lease::Event::Taken { token, from, why });
            }
            lease::Purpose::Renew => {
                if let Some(held) = &mut self.held {
                    held.record = record;
                    held.written = started;
                    self.events.push(lease::Event::Renewed(token));
                }
            }
            lease::Purpose::Release(reason) => {
                if self.held.take().is_some() {
                    self.events.push(lease::Event::Released(token, reason));
                }
                if reason == lease::Reason::Unreachable {
                    self.barred_until = now + self.period * 3;
                }
            }
        }
    }
}

/// Whether `newest` is a record of the same lease that was not released.
fn is_renewal(newest: &duty::Record, last: &duty::Record) -> bool {
    newest.process == last.process && newest.token == last.token && !newest.released
}

/// Whether a record is that of a pending append.
fn is_same(record: &duty::Record, pending: &lease::Pending) -> bool {
    let sent = &pending.write.record;
    record.process == sent.process && record.number == sent.number
}
