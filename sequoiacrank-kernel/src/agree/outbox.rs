//! Appends that are repeated until they are read back or given up.
//!
//! An append with an unclear result is repeated under the same sequence number. Applying an entry a
//! second time has no effect, so a copy that reaches the log later does no harm.

use std::collections;
use std::time;

use super::{AppendResult, Command, context};
use crate::id;
use crate::log;

/// Delay before the first repeat.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(200);
/// Longest delay between repeats; bounds the rate of appends in an outage of the log.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// Time after which the result of an append without an answer counts as unclear.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time after which an append that the log confirmed but that was not read back is repeated.
const READ_BACK_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// An append that has not been read back yet.
pub(super) struct Pending {
    /// Entries of the record.
    pub entries: Vec<log::Entry>,
    unclear: bool,
    state: State,
    backoff: time::Duration,
}

enum State {
    Waiting { until: id::Time },
    Sent { ticket: id::Ticket, at: id::Time },
    Acknowledged { at: id::Time },
}

/// Pending appends of this host to one stream.
pub(super) struct Outbox {
    stream: log::Stream,
    appends: collections::BTreeMap<u64, Pending>,
}

impl Outbox {
    /// Starts without pending appends.
    pub fn new(stream: log::Stream) -> Outbox {
        Outbox { stream, appends: collections::BTreeMap::new() }
    }

    /// Pending appends with their sequence numbers.
    pub fn appends(&self) -> impl Iterator<Item = (u64, &Pending)> {
        self.appends.iter().map(|(sequence, append)| (*sequence, append))
    }

    /// Sends an append and returns its sequence number, which no other append of this incarnation
    /// has.
    pub fn push(&mut self, entries: Vec<log::Entry>, cx: &mut context::Context<'_>) -> u64 {
        let sequence = cx.next_ticket();
        let state = State::Waiting { until: cx.now };
        let append = Pending { entries, unclear: false, state, backoff: MIN_BACKOFF };
        self.appends.insert(sequence, append);
        self.poll(cx);
        sequence
    }

    /// Sends appends and repeats that are due.
    pub fn poll(&mut self, cx: &mut context::Context<'_>) {
        let now = cx.now;
        for (sequence, append) in &mut self.appends {
            match append.state {
                State::Sent { at, .. } if now >= at + ANSWER_TIMEOUT => append.retry(now, true),
                State::Acknowledged { at } if now >= at + READ_BACK_TIMEOUT => {
                    append.retry(now, true)
                }
                _ => {}
            }
            let due = matches!(append.state, State::Waiting { until } if now >= until);
            if due {
                let ticket = cx.next_ticket();
                append.state = State::Sent { ticket, at: now };
                cx.push(Command::Append {
                    ticket,
                    stream: self.stream,
                    writer: log::Writer {
                        host: cx.options.host.clone(),
                        incarnation: cx.options.incarnation,
                        sequence: *sequence,
                    },
                    entries: append.entries.clone(),
                });
            }
        }
    }

    /// Handles the log's answer to an append. Returns true if the append is one of these and took
    /// effect.
    pub fn append_answered(
        &mut self,
        now: id::Time,
        ticket: id::Ticket,
        result: AppendResult,
    ) -> bool {
        let has_ticket =
            |a: &&mut Pending| matches!(a.state, State::Sent { ticket: t, .. } if t == ticket);
        match (self.appends.values_mut().find(has_ticket), result) {
            (None, _) => false,
            (Some(append), AppendResult::Yes) => {
                append.unclear = true;
                append.state = State::Acknowledged { at: now };
                true
            }
            (Some(append), result) => {
                append.retry(now, result == AppendResult::Unclear);
                false
            }
        }
    }

    /// Removes and returns the append that wrote `record`, if it is one of these.
    pub fn confirm(&mut self, record: &log::Record, cx: &context::Context<'_>) -> Option<Pending> {
        let writer = &record.writer;
        match writer.host == cx.options.host && writer.incarnation == cx.options.incarnation {
            true => self.appends.remove(&writer.sequence),
            false => None,
        }
    }

    /// Removes an append; if its result was unclear, it may still take effect.
    pub fn give_up(&mut self, sequence: u64) -> Option<Pending> {
        self.appends.remove(&sequence)
    }
}

impl Pending {
    /// Whether any attempt may have taken effect or may still do so.
    pub fn may_take_effect(&self) -> bool {
        self.unclear || !matches!(self.state, State::Waiting { .. })
    }

    fn retry(&mut self, now: id::Time, unclear: bool) {
        self.unclear |= unclear;
        self.state = State::Waiting { until: now + self.backoff };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
