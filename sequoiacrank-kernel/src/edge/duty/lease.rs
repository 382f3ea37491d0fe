//! The lease of the host that performs duties for all.
//!
//! The lease is one record of the store, which is only replaced by appends with a condition on the
//! end of the topic. [`Lease`] decides when to read and what to append; the caller carries this out
//! and reports the results. At most one read or append may be in progress at a time.

mod acquire;
mod held;
mod written;

use std::net;
use std::time;

use crate::edge::duty;
use crate::id;

/// Number of former holders in a record.
const MAX_RECENT: usize = 4;
/// Number of hosts, in the order in which they use the store, that acquire a free lease at once.
const STANDBYS: usize = 2;
/// Number of hosts in that order that read the record. The standbys may both be cut off from the
/// platform, such as in one availability zone; the others then acquire a lease that stays free.
const READERS: usize = 6;
/// Time for which a release waits for calls in flight.
const MAX_CALL_WAIT: time::Duration = time::Duration::from_secs(1);

/// The host and process that a lease belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Name of the host.
    pub host: String,
    /// Address at which it listens for other hosts.
    pub address: net::SocketAddr,
    /// Its process.
    pub process: id::Incarnation,
}

/// What a host knows at the time of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Position of this host in the order in which hosts use the store; `None` if it is leaving or
    /// does not know yet which others are alive.
    pub position: Option<usize>,
    /// Whether this host is leaving.
    pub leaving: bool,
    /// Whether the host in the record counts as ended. It may live: a network partition between two
    /// hosts looks the same.
    pub ended: bool,
    /// The process last heard at the address in the record.
    pub process: Option<id::Incarnation>,
    /// Whether no live host publishes a fencing token.
    pub vacant: bool,
    /// Whether another host is alive.
    pub others: bool,
    /// Number of this host's calls to the platform in flight.
    pub calls: usize,
}

/// The newest record of the lease as a read found it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Seen {
    /// There is none.
    Missing,
    /// It cannot be decoded.
    Unreadable,
    /// It was decoded.
    Record(duty::Record),
}

/// Result of a read of the topic. Offsets are ordinals of positions, which grow across restores of
/// the store, so that tokens do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reading {
    /// End of the topic.
    pub end: id::Offset,
    /// Offset of the newest record; `None` if there is none.
    pub offset: Option<id::Offset>,
    /// The newest record.
    pub seen: Seen,
}

/// An append with a condition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// End that the topic must have.
    pub at: id::Offset,
    /// The record.
    pub record: duty::Record,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Written {
    /// The record was appended; the topic ends at this offset.
    Done(id::Offset),
    /// The condition was not met. An earlier attempt may have been carried out.
    Conflict,
    /// There is no usable answer, so the append may have been, or may yet be, carried out.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Decide again at this time, or earlier if the facts change.
    Wait(id::Time),
    /// Read the topic and call [`Lease::record_read`].
    Read,
    /// Append a record and call [`Lease::record_append`].
    Append(Write),
}

/// Why a host acquires the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// There is no record.
    Vacant,
    /// The record cannot be decoded, or the store has left it out.
    Unreadable,
    /// The holder released the lease.
    Released,
    /// The record is of this host.
    Own,
    /// A later process than that of the record was heard at its address.
    Replaced,
    /// The holder has ended according to membership.
    Ended,
    /// The record was not renewed in time.
    Expired,
}

/// Why a holder releases the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The host is leaving.
    Stop,
    /// The platform's API has not answered this host for long.
    Unreachable,
}

/// Why a holder lost the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Loss {
    /// The newest record is not that of this lease. The name is that of the holder, if known.
    Taken(Option<String>),
    /// The platform has seen a higher token.
    Fenced,
    /// The store came back from a copy, which may lack the record.
    Restored,
}

/// A change of the lease on this host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This host acquired the lease.
    Taken {
        /// Its token.
        token: duty::Token,
        /// Name of the previous holder, if known.
        from: Option<String>,
        /// Why it was free.
        why: Why,
    },
    /// This host renewed the lease.
    Renewed(duty::Token),
    /// This host released the lease.
    Released(duty::Token, Reason),
    /// This host no longer holds the lease.
    Lost(duty::Token, Loss),
}

/// The topic as last read or written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct View {
    end: id::Offset,
    offset: Option<id::Offset>,
    seen: Seen,
    /// No write of this record was begun after this time plus a third of the period.
    since: id::Time,
}

/// What an append is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Purpose {
    Acquire { why: Why, from: Option<String>, acts_at: id::Time },
    Renew,
    Release(Reason),
}

/// Progress of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    InFlight,
    /// Whether it was carried out has to be read.
    Unknown,
    /// The topic has not changed, so the same append is sent again.
    Resend,
}

/// An append whose result is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    write: Write,
    /// When it was first sent.
    started: id::Time,
    /// When it was last sent.
    resent: id::Time,
    purpose: Purpose,
    phase: Phase,
}

/// The lease while this host holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    /// The record that the store acknowledged last.
    record: duty::Record,
    /// The state of the duties that the next write commits.
    draft: duty::Content,
    /// Start of the last acknowledged write.
    written: id::Time,
    /// Time from which this host may act.
    acts_at: id::Time,
    /// Why this host acquired the lease.
    why: Why,
    /// Why the lease is being released, and since when.
    releasing: Option<(Reason, id::Time)>,
}

/// What one host knows of the lease. All times are those of a steady clock that counts the time of
/// a suspension.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    own: Owner,
    period: time::Duration,
    /// Number of the last write.
    number: u64,
    view: Option<View>,
    /// Start of the last read that succeeded.
    read_at: Option<id::Time>,
    /// Time of the next attempt after a failed read.
    retry_at: id::Time,
    /// Process of the record in `view`, once it was heard at its address.
    heard: Option<id::Incarnation>,
    pending: Option<Pending>,
    held: Option<Held>,
    /// Time until which this host does not acquire the lease.
    barred_until: id::Time,
    /// Times of the first and the last call without an answer since the last answer.
    silence: Option<(id::Time, id::Time)>,
    events: Vec<Event>,
}

impl Lease {
    /// Creates the state of a host that has not read the record; `period` is the time for which a
    /// lease lasts without renewal.
    pub fn new(own: Owner, period: time::Duration) -> Self {
        Lease {
            own,
            period,
            number: 0,
            view: None,
            read_at: None,
            retry_at: id::Time::ZERO,
            heard: None,
            pending: None,
            held: None,
            barred_until: id::Time::ZERO,
            silence: None,
            events: Vec::new(),
        }
    }

    /// Time for which a lease lasts without renewal.
    pub fn period(&self) -> time::Duration {
        self.period
    }

    /// The fencing token with which this host may act now; `None` if it may not.
    pub fn token(&self, now: id::Time) -> Option<duty::Token> {
        let held = self.held.as_ref()?;
        let valid = now >= held.acts_at && now < held.written + self.period * 2 / 3;
        (valid && held.releasing.is_none()).then_some(held.record.token)
    }

    /// The state of the duties as last acknowledged by the store; `None` if this host does not hold
    /// the lease.
    pub fn content(&self) -> Option<&duty::Content> {
        self.held.as_ref().map(|held| &held.record.content)
    }

    /// Whether this host acquired the lease without the state of the duties of earlier holders.
    pub fn lacks_state(&self) -> bool {
        self.held.as_ref().is_some_and(|held| held.why == Why::Unreadable)
    }

    /// Changes the state of the duties, which the next write then commits. Does nothing if this host
    /// does not hold the lease.
    pub fn update<F>(&mut self, change: F)
    where
        F: FnOnce(&mut duty::Content),
    {
        if let Some(held) = &mut self.held {
            change(&mut held.draft);
        }
    }

    /// Address of the host in the newest known record.
    pub fn record_address(&self) -> Option<net::SocketAddr> {
        self.viewed().map(|record| record.address)
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Records that the store came back from a copy: what it has of the lease may be older than what
    /// is known.
    pub fn record_restored(&mut self) {
        self.view = None;
        self.pending = None;
        self.lose(Loss::Restored);
    }

    /// Decides what to do next.
    pub fn next(&mut self, now: id::Time, facts: &Facts) -> Action {
        if self.viewed().is_some_and(|it| facts.process == Some(it.process)) {
            self.heard = facts.process;
        }
        if now < self.retry_at {
            return Action::Wait(self.retry_at);
        }
        match self.pending.as_ref().map(|it| it.phase) {
            // The result is reported first, so nothing is due.
            Some(Phase::InFlight) => return Action::Wait(now + self.tick()),
            Some(Phase::Unknown) => return Action::Read,
            Some(Phase::Resend) => {
                if let Some(write) = self.resend(now, facts) {
                    return Action::Append(write);
                }
            }
            None => {}
        }
        match self.held {
            Some(_) => self.next_held(now, facts),
            None => self.next_free(now, facts),
        }
    }

    /// Shortest time between two decisions that nothing new has caused.
    fn tick(&self) -> time::Duration {
        self.period / 15
    }

    fn viewed(&self) -> Option<&duty::Record> {
        match &self.view.as_ref()?.seen {
            Seen::Record(record) => Some(record),
            Seen::Missing | Seen::Unreadable => None,
        }
    }
}
