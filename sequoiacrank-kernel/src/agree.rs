//! Replicated state of the hosts: the configuration in force, latches, and claims, which let at
//! most one host run a non-idempotent request.
//!
//! The state machine applies the records of the platform's log in the order of their offsets and
//! tells the host what to append, read and send. It needs no conditional append: an append counts
//! once it is read back from the log.

mod context;
mod follow;
mod holder;
mod latch;
mod machine;
mod outbox;
mod owner;
mod peers;
mod revision;
mod table;
mod waiters;

use std::sync;

use crate::code;
use crate::id;
use crate::log;
use crate::message;

pub use machine::StateMachine;

/// Validates a configuration document. It must be deterministic, because every host decides on its
/// own whether a record is accepted.
pub type Check = sync::Arc<dyn Fn(&str) -> Result<(), String> + Send + Sync>;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A followed stream was read. Also sent when there was nothing new, so that the state machine
    /// knows that it is up to date.
    Read {
        /// Stream of the log.
        stream: log::Stream,
        /// Records, which may be out of order or repeated.
        records: Vec<log::Record>,
        /// Offset of the oldest record that the log still keeps, or any lower number if that isn't
        /// known. If a read from `from` returns nothing before a later `first`, the records between
        /// have run out of retention.
        first: id::Offset,
        /// Offset that the next appended record will get.
        end: id::Offset,
    },
    /// The log answered an append. An unclear result is resolved by reading the stream.
    Appended {
        /// Ticket of the [`Command::Append`].
        ticket: id::Ticket,
        /// What the log answered.
        result: AppendResult,
    },
    /// The platform's list of live hosts; it may be out of date.
    Hosts(Vec<id::HostId>),
    /// A request of this host asks for the claim of its key.
    Claim(message::Claim),
    /// A request of this host that was granted a claim ended.
    Ended {
        /// Idempotency key.
        key: id::Key,
        /// Id of the request.
        request: id::RequestId,
        /// How it ended.
        end: log::End,
    },
    /// An operator submits a new configuration.
    Apply {
        /// Ticket of the [`Command::Applied`] that answers it.
        ticket: id::Ticket,
        /// Revision that the document is based on.
        base: id::Revision,
        /// The whole configuration as text.
        document: String,
        /// Time at which to stop waiting and answer [`code::Code::ApplyUnknown`].
        deadline: id::Time,
    },
    /// This host found that a latch holds.
    Latch(log::Latch),
    /// A message of another host arrived.
    Peer {
        /// Sender.
        from: id::HostId,
        /// The message.
        message: message::Message,
    },
    /// This host shuts down and hands its shards over.
    Leave,
    /// Timer tick; drives all timeouts and repeats.
    Tick,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Yes,
    /// The record is not in the log and never will be.
    No,
    /// The outcome is unknown: the record may be in the log, or may still get there.
    Unclear,
}

/// Output of the state machine, to be carried out by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Append one record to a stream.
    Append {
        /// Ticket that [`Event::Appended`] returns.
        ticket: id::Ticket,
        /// Stream of the log.
        stream: log::Stream,
        /// Origin of the record, stored with it.
        writer: log::Writer,
        /// Entries of the record.
        entries: Vec<log::Entry>,
    },
    /// Read a stream from an offset on, at once and then at intervals, until [`Command::Unfollow`].
    Follow {
        /// Stream of the log.
        stream: log::Stream,
        /// Offset of the first record to read.
        from: id::Offset,
    },
    /// Stop reading a stream.
    Unfollow(log::Stream),
    /// Answer to [`Event::Claim`]; each claim gets exactly one.
    Claimed {
        /// Idempotency key.
        key: id::Key,
        /// Id of the request.
        request: id::RequestId,
        /// Whether the claim was granted.
        answer: message::ClaimAnswer,
    },
    /// Answer to [`Event::Apply`].
    Applied {
        /// Ticket of the [`Event::Apply`].
        ticket: id::Ticket,
        /// The new revision, or the code and detail of the refusal.
        verdict: Result<id::Revision, (code::Code, String)>,
    },
    /// A configuration came into force.
    InForce {
        /// Its revision; each is higher than the one before.
        revision: id::Revision,
        /// The whole configuration as text.
        document: String,
    },
    /// A latch was set; reported once for each latch.
    Latched(log::Latch),
    /// Send a message to a peer.
    Send {
        /// Receiver.
        to: id::HostId,
        /// The message.
        message: message::Message,
    },
    /// The shards are handed over, or the wait for that timed out; the process may exit.
    Left,
}

/// Settings of the state machine.
#[derive(Clone)]
pub struct Options {
    /// Name of this host.
    pub host: id::HostId,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
    /// Number of claim streams; must be equal on all hosts.
    pub shards: id::Shard,
    /// Time for which the log keeps a record.
    pub retention: std::time::Duration,
    /// Time after its issue for which a key may be claimed; well under `retention`.
    pub window: std::time::Duration,
    /// Shortest time between two batches of claims and outcomes of one shard.
    pub batch_interval: std::time::Duration,
    /// Validates configuration documents.
    pub check: Check,
}
