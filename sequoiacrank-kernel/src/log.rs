//! Records of the platform's log. `sequoiacrank-platform` encodes and decodes them.

use crate::id;

/// A stream of the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stream {
    /// Configurations and latches.
    Config,
    /// Claims and outcomes of the keys that hash to this shard.
    Claims(id::Shard),
}

/// A record as read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream. Records may be delivered out of order or twice.
    pub offset: id::Offset,
    /// Time at which the log accepted it, by the log's clock.
    pub at: id::Time,
    /// Host that appended it.
    pub writer: Writer,
    /// Entries of one append.
    pub entries: Vec<Entry>,
}

/// Origin of a record. A second record with the same origin has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Writer {
    /// Host that appended it.
    pub host: id::HostId,
    /// Incarnation of that host.
    pub incarnation: id::Incarnation,
    /// Sequence number of the append, unique per incarnation and stream.
    pub sequence: u64,
}

/// An entry of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A configuration based on revision `base`.
    Config {
        /// Revision that it replaces.
        base: id::Revision,
        /// The whole configuration as text.
        document: String,
        /// Set if an accepted revision is appended again before the log's retention removes it.
        renewed: Option<id::Revision>,
    },
    /// A latch that is set from now on.
    Latch(Latch),
    /// A host takes over a shard; later claims with an older epoch are ignored.
    Epoch {
        /// Number of the ownership period.
        epoch: id::Epoch,
        /// The new owner.
        owner: id::HostId,
        /// Incarnation of the new owner.
        incarnation: id::Incarnation,
    },
    /// The claim of a key is granted to one request on one host.
    Claim {
        /// Epoch of the owner that appended it.
        epoch: id::Epoch,
        /// Idempotency key.
        key: id::Key,
        /// Hash of workspace and body, to tell a repeated request from a reused key.
        fingerprint: id::Fingerprint,
        /// Request that may run.
        request: id::RequestId,
        /// Host that may dispatch it.
        holder: id::HostId,
        /// Incarnation of that host.
        incarnation: id::Incarnation,
    },
    /// How a claimed request ended.
    Outcome {
        /// Idempotency key.
        key: id::Key,
        /// Request that held the claim.
        request: id::RequestId,
        /// How it ended.
        end: End,
    },
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It was never dispatched and never will be; the key may be claimed anew.
    NotRun,
    /// It ran, and this is the complete answer.
    Answer(String),
    /// It ran and failed, or its answer is too large to keep.
    Ran,
    /// It may have run.
    Unknown,
}

/// A fact that stays true once it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Latch {
    /// The move is completed and the new version serves all traffic.
    Done(id::MoveId),
    /// The move was taken back.
    TakenBack(id::MoveId),
    /// The endpoint is removed for good.
    Leaving(id::EndpointId),
}
