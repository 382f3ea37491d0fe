//! Messages between hosts. Any of them may be lost, delayed, reordered or duplicated.

use std::time;

use crate::code;
use crate::id;
use crate::log;

/// A one-way message between hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks the owner of a shard for the claim of a key; repeated until answered.
    Claim(Claim),
    /// The owner's answer to [`Message::Claim`].
    ClaimAnswer {
        /// Idempotency key.
        key: id::Key,
        /// Request that asked for the claim.
        request: id::RequestId,
        /// The owner's decision.
        answer: ClaimAnswer,
    },
    /// Tells the owner of a shard how a claimed request ended; repeated until the owner has logged
    /// it.
    Outcome {
        /// Idempotency key.
        key: id::Key,
        /// Request that held the claim.
        request: id::RequestId,
        /// How it ended.
        end: log::End,
    },
    /// Confirms that the outcome is in the log.
    OutcomeKept {
        /// Idempotency key.
        key: id::Key,
        /// Request that held the claim.
        request: id::RequestId,
    },
    /// Latches that the sender knows to be set.
    Latches(Vec<log::Latch>),
    /// The configuration in force on the sender.
    Revision {
        /// Its revision.
        revision: id::Revision,
        /// Offset of its record in the log.
        offset: id::Offset,
        /// The configuration as text; empty if the message only announces the revision.
        document: String,
    },
    /// Asks for the configuration in force on the receiver.
    AskRevision,
    /// Load, limits and statistics of the sender; contains changes only.
    Digest(Digest),
    /// Asks to borrow slots on an endpoint.
    AskLoan {
        /// Endpoint.
        endpoint: id::EndpointId,
        /// Number of slots wanted.
        count: u32,
        /// Ticket of the loan, unique per incarnation of the borrower.
        ticket: id::Ticket,
    },
    /// Lends slots on an endpoint.
    Lend {
        /// Endpoint.
        endpoint: id::EndpointId,
        /// Number of slots lent; 0 if none are idle.
        count: u32,
        /// Ticket of the loan.
        ticket: id::Ticket,
        /// How long the borrower may run calls on the slots, counted from when it sent its request.
        term: time::Duration,
        /// Generation of the endpoint for which the slots are valid.
        generation: u64,
    },
    /// Returns borrowed slots before the end of the loan.
    Return {
        /// Endpoint.
        endpoint: id::EndpointId,
        /// Ticket of the loan.
        ticket: id::Ticket,
    },
    /// The sender is shutting down and accepts no new work.
    Leaving,
}

/// A request for the claim of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Idempotency key.
    pub key: id::Key,
    /// Hash of workspace and body.
    pub fingerprint: id::Fingerprint,
    /// Request that is to run.
    pub request: id::RequestId,
    /// Host that would dispatch the request.
    pub holder: id::HostId,
    /// Incarnation of that host.
    pub incarnation: id::Incarnation,
    /// Time after which the claim is no longer wanted.
    pub deadline: id::Time,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim is granted: the holder may dispatch the request once.
    Granted,
    /// An earlier request with this key ended as given.
    Known(log::End),
    /// The claim is refused.
    Refused {
        /// Why.
        code: code::Code,
        /// Whether a request with this key ran.
        run: code::Run,
    },
    /// The receiver does not own the shard.
    NotOwner,
}

/// Soft state of a host, sent at intervals to the peers of its region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Endpoints whose state changed.
    pub endpoints: Vec<EndpointDigest>,
    /// Statistics of the versions in moves, cumulative since the sender's start.
    pub evidence: Vec<Evidence>,
    /// Requests during which endpoints crashed, cumulative since the sender's start.
    pub suspects: Vec<Suspect>,
    /// Summary of the sender's copy of the platform's host list. A receiver that can't read the
    /// list learns from it whether its own copy is still current.
    pub list: Option<ListSeen>,
}

/// Summary of a copy of the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSeen {
    /// Hash of the host names.
    pub hash: u64,
    /// Time since the list was read.
    pub age: time::Duration,
}

/// State of an endpoint as the sender sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointDigest {
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Grows each time that the endpoint is seen to restart or to slow down suddenly; the highest
    /// is the most recent.
    pub generation: u64,
    /// Concurrent calls that the sender expects the endpoint to sustain in this generation.
    pub limit: u32,
    /// Calls of the sender in flight.
    pub in_flight: u32,
    /// Recent duration of a call per unit of work.
    pub latency: time::Duration,
    /// Calls that the sender completed successfully in this generation.
    pub finished: u64,
}

/// Statistics of the calls of one version on one route, cumulative since the sender's start.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// Move.
    pub r#move: id::MoveId,
    /// Route.
    pub route: id::RouteId,
    /// Whether they belong to the new version.
    pub new: bool,
    /// Successful calls.
    pub good: u64,
    /// Calls that failed through a fault of the version.
    pub bad: u64,
    /// Sum over successful calls of ln(seconds per unit of work).
    pub log_sum: f64,
    /// Sum of the squares of those logarithms.
    pub log_squares: f64,
}

/// A request during which endpoints crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of the request.
    pub fingerprint: id::Fingerprint,
    /// Number of endpoints that crashed on the sender's calls.
    pub crashes: u32,
}
