//! The configuration in force: which records of the stream are accepted, their renewal, and
//! exchange with peers.
//!
//! A host appends a configuration only when its base is in force on that host. A record with base
//! `b` therefore always comes after the one that was accepted as `b`, and the first valid record
//! with base `b` is revision `b + 1`. This needs no full history, which the log may no longer hold.

use std::collections;

use super::{Command, context, outbox};
use crate::code;
use crate::id;
use crate::log;
use crate::message;

/// Number of peers to which a new revision is announced at once; the others learn of it from the
/// log or by gossip.
const PUSH_PEERS: usize = 3;

/// A record that may become the revision after its base.
struct Candidate {
    offset: id::Offset,
    at: id::Time,
    document: String,
    valid: Option<bool>,
}

/// An accepted revision.
struct Accepted {
    revision: id::Revision,
    offset: id::Offset,
    /// Time of the latest record of the log that contains it; none if it came from a peer only.
    logged: Option<id::Time>,
    document: String,
}

/// A configuration that an operator submitted and that is not answered yet.
struct Apply {
    ticket: id::Ticket,
    base: id::Revision,
    document: String,
    deadline: id::Time,
    /// Sequence number of its append, once it was sent.
    sequence: Option<u64>,
    /// Offset of its record, once it was read back.
    read_back: Option<id::Offset>,
}

/// The configuration as this host knows it.
pub(super) struct Revisions {
    current: Accepted,
    renewal: Option<Accepted>,
    candidates: collections::BTreeMap<id::Revision, Vec<Candidate>>,
    applies: Vec<Apply>,
    renewal_append: Option<u64>,
}

impl Revisions {
    /// Starts with no configuration in force.
    pub fn new() -> Revisions {
        let current = Accepted { revision: 0, offset: 0, logged: None, document: String::new() };
        Revisions {
            current,
            renewal: None,
            candidates: collections::BTreeMap::new(),
            applies: Vec::new(),
            renewal_append: None,
        }
    }

    /// Revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> id::Revision {
        self.current.revision
    }

    /// Whether an apply is still unanswered.
    pub fn has_unanswered(&self) -> bool {
        !self.applies.is_empty()
    }

    /// Applies a record. `own` is the sequence number of its append if this host has it pending.
    /// Call [`Revisions::put_in_force`] once all records of a read are applied.
    pub fn fold(&mut self, record: &log::Record, own: Option<u64>) {
        if let Some(apply) = self.applies.iter_mut().find(|a| own.is_some() && a.sequence == own) {
            apply.read_back = Some(record.offset);
        }
        if own.is_some() && self.renewal_append == own {
            self.renewal_append = None;
        }
        for entry in &record.entries {
            match entry {
                log::Entry::Config { document, renewed: Some(revision), .. } => {
                    self.fold_renewal(record, *revision, document)
                }
                log::Entry::Config { base, document, renewed: None } => {
                    self.fold_candidate(record, *base, document)
                }
                _ => {}
            }
        }
    }

    fn fold_renewal(&mut self, record: &log::Record, revision: id::Revision, document: &str) {
        if revision == self.current.revision {
            self.current.logged = self.current.logged.max(Some(record.at));
        }
        if self.renewal.as_ref().is_none_or(|renewal| renewal.revision < revision) {
            let (offset, logged) = (record.offset, Some(record.at));
            self.renewal = Some(Accepted { revision, offset, logged, document: document.into() });
        }
    }

    fn fold_candidate(&mut self, record: &log::Record, base: id::Revision, document: &str) {
        let (offset, at, document) = (record.offset, record.at, document.into());
        let candidate = Candidate { offset, at, document, valid: None };
        self.candidates.entry(base).or_default().push(candidate);
        self.prune();
    }

    /// Removes candidates that neither the revision in force nor an unanswered apply depends on.
    fn prune(&mut self) {
        let newest = self.candidates.last_key_value().map_or(0, |(base, _)| *base);
        let applied = self.applies.iter().map(|apply| apply.base).min().unwrap_or(u64::MAX);
        let keep = newest.saturating_sub(1).max(self.current.revision).min(applied);
        self.candidates.retain(|base, _| *base >= keep);
    }

    /// Puts the newest accepted revision in force and answers applies. Does nothing unless the
    /// stream was read to its end (`caught_up`).
    pub fn put_in_force(&mut self, caught_up: bool, cx: &mut context::Context<'_>) {
        if !caught_up {
            return;
        }
        let before = self.current.revision;
        if let Some(renewal) = self.renewal.take_if(|r| r.revision > before) {
            self.current = renewal;
        }
        self.renewal = None;
        self.accept_chain(cx);
        if self.current.revision > before {
            self.announce(cx);
        }
        self.answer_applies(cx);
        self.prune();
    }

    /// Accepts candidates one after another.
    ///
    /// The newest base among the candidates was itself accepted, so the chain can start there or
    /// one before it, whichever the log still holds.
    fn accept_chain(&mut self, cx: &context::Context<'_>) {
        let newest = self.candidates.last_key_value().map_or(0, |(base, _)| *base);
        let current = self.current.revision;
        let mut base = current.max(newest.saturating_sub(1));
        if self.first_valid(base, cx).is_none() {
            base = current.max(newest);
        }
        while let Some(accepted) = self.first_valid(base, cx) {
            self.current = Accepted {
                revision: base + 1,
                offset: accepted.offset,
                logged: Some(accepted.at),
                document: accepted.document.clone(),
            };
            base += 1;
        }
    }

    /// Returns the first valid record with this base.
    fn first_valid(&mut self, base: id::Revision, cx: &context::Context<'_>) -> Option<&Candidate> {
        let check = &cx.options.check;
        let candidates = self.candidates.get_mut(&base)?;
        let is_valid =
            |c: &mut Candidate| *c.valid.get_or_insert_with(|| check(&c.document).is_ok());
        let index = candidates.iter_mut().position(is_valid)?;
        candidates.get(index)
    }

    fn announce(&self, cx: &mut context::Context<'_>) {
        cx.push(Command::InForce {
            revision: self.current.revision,
            document: self.current.document.clone(),
        });
        for peer in cx.peers.sample(PUSH_PEERS) {
            cx.send(&peer, self.message(false));
        }
    }

    fn message(&self, with_document: bool) -> message::Message {
        message::Message::Revision {
            revision: self.current.revision,
            offset: self.current.offset,
            document: if with_document { self.current.document.clone() } else { String::new() },
        }
    }

    fn answer_applies(&mut self, cx: &mut context::Context<'_>) {
        let applies = std::mem::take(&mut self.applies);
        for apply in applies {
            match apply.read_back {
                None => self.applies.push(apply),
                Some(offset) => {
                    let accepted = self
                        .first_valid(apply.base, cx)
                        .is_some_and(|first| first.offset == offset);
                    let verdict = if accepted { Ok(apply.base + 1) } else { Err(conflict()) };
                    cx.push(Command::Applied { ticket: apply.ticket, verdict });
                }
            }
        }
    }

    /// Handles a new configuration of an operator.
    pub fn apply(
        &mut self,
        ticket: id::Ticket,
        base: id::Revision,
        document: String,
        deadline: id::Time,
        cx: &mut context::Context<'_>,
    ) {
        match (cx.options.check)(&document) {
            Err(detail) => {
                let verdict = Err((code::Code::BadDocument, detail));
                cx.push(Command::Applied { ticket, verdict });
            }
            Ok(()) => {
                let (sequence, read_back) = (None, None);
                self.applies.push(Apply { ticket, base, document, deadline, sequence, read_back });
            }
        }
    }

    /// Appends applies that are due and answers those whose deadline has passed.
    pub fn poll(
        &mut self,
        caught_up: bool,
        outbox: &mut outbox::Outbox,
        cx: &mut context::Context<'_>,
    ) {
        let current = self.current.revision;
        let mut unanswered = Vec::new();
        for mut apply in std::mem::take(&mut self.applies) {
            let verdict = match apply.sequence {
                None if apply.base < current => Some(conflict()),
                None if cx.now >= apply.deadline => Some(not_appended()),
                None if apply.base == current && caught_up => {
                    let document = apply.document.clone();
                    let (base, renewed) = (apply.base, None);
                    let entries = vec![log::Entry::Config { base, document, renewed }];
                    apply.sequence = Some(outbox.push(entries, cx));
                    None
                }
                Some(sequence) if cx.now >= apply.deadline => {
                    let unclear =
                        outbox.give_up(sequence).is_none_or(|append| append.may_take_effect());
                    Some(if unclear { unconfirmed() } else { not_appended() })
                }
                _ => None,
            };
            match verdict {
                Some(error) => {
                    cx.push(Command::Applied { ticket: apply.ticket, verdict: Err(error) })
                }
                None => unanswered.push(apply),
            }
        }
        self.applies = unanswered;
        self.renew(caught_up, outbox, cx);
    }

    /// Appends the revision in force again before it runs out of retention.
    fn renew(
        &mut self,
        caught_up: bool,
        outbox: &mut outbox::Outbox,
        cx: &mut context::Context<'_>,
    ) {
        let age = cx.peers.renewal_age(cx.options.retention);
        let recent = match self.current.logged {
            Some(at) => cx.now < at + age,
            None => !cx.peers.is_renewer(),
        };
        let nothing_due = self.current.revision == 0 || self.renewal_append.is_some();
        if recent || nothing_due || !caught_up {
            return;
        }
        let (revision, document) = (self.current.revision, self.current.document.clone());
        let renewed = Some(revision);
        let entries = vec![log::Entry::Config { base: revision, document, renewed }];
        self.renewal_append = Some(outbox.push(entries, cx));
    }

    /// Handles a peer's message about the revision in force there.
    pub fn handle_peer(
        &mut self,
        from: &str,
        revision: id::Revision,
        offset: id::Offset,
        document: String,
        cx: &mut context::Context<'_>,
    ) {
        match revision.cmp(&self.current.revision) {
            std::cmp::Ordering::Greater if document.is_empty() => {
                cx.send(from, message::Message::AskRevision)
            }
            std::cmp::Ordering::Greater => {
                self.current = Accepted { revision, offset, logged: None, document };
                self.announce(cx);
            }
            std::cmp::Ordering::Less => cx.send(from, self.message(false)),
            std::cmp::Ordering::Equal => {}
        }
    }

    /// Answers [`message::Message::AskRevision`].
    pub fn send_current(&self, from: &str, cx: &mut context::Context<'_>) {
        if self.current.revision > 0 {
            cx.send(from, self.message(true));
        }
    }

    /// Announces the revision in force to one peer, or asks it for one, so that revisions spread
    /// without the log.
    pub fn gossip(&self, cx: &mut context::Context<'_>) {
        for peer in cx.peers.sample(1) {
            match self.current.revision {
                0 => cx.send(&peer, message::Message::AskRevision),
                _ => cx.send(&peer, self.message(false)),
            }
        }
    }
}

fn conflict() -> (code::Code, String) {
    (code::Code::Conflict, "another configuration was accepted against this base".into())
}

fn unconfirmed() -> (code::Code, String) {
    (code::Code::ApplyUnknown, "the log did not confirm the append in time".into())
}

fn not_appended() -> (code::Code, String) {
    (code::Code::LogDown, "the configuration was not appended and will not be".into())
}
