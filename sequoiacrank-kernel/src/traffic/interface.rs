//! Input events and output commands of [`crate::traffic::Traffic`].

use std::sync;
use std::time;

use crate::code;
use crate::id;
use crate::log;
use crate::message;
use crate::plan;

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Request id.
    pub request: id::RequestId,
    /// Workspace of the caller.
    pub workspace: id::WorkspaceId,
    /// Route that matched the request.
    pub route: id::RouteId,
    /// Time by which the complete answer is due.
    pub deadline: id::Time,
    /// Estimated work: input tokens plus the maximum number of output tokens.
    pub tokens: u32,
    /// Hash of workspace, pipeline and body.
    pub fingerprint: id::Fingerprint,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefix: Vec<u64>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<id::Key>,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection was refused: no byte of the call reached the endpoint.
    Refused,
    /// The connection was reset or closed before the answer was complete.
    Reset,
    /// No data arrived for longer than the stage's idle timeout.
    Timeout,
    /// The endpoint answered that it is overloaded (429 or 503).
    Overloaded,
    /// The endpoint answered with another error status.
    Status(u16),
    /// The answer was malformed, or for another attempt.
    Garbled,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The answer is complete.
    Good {
        /// Number of generated tokens, or 1 for stages that generate none.
        tokens: u32,
    },
    /// The attempt failed.
    Bad {
        /// Cause of the failure.
        fault: Fault,
        /// Whether the caller has received a part of the answer that another attempt can't
        /// continue.
        delivered: bool,
    },
    /// Stopped by [`Command::Cancel`].
    Cancelled,
}

/// Load that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub waiting: u32,
    /// Fraction of the KV cache in use, 0 to 1.
    pub cache: f64,
    /// Start time of the process; a change means that the endpoint restarted.
    pub started: id::Time,
    /// Age of the values.
    pub age: time::Duration,
}

/// An input to [`crate::traffic::Traffic::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration takes effect.
    Plan(sync::Arc<plan::Plan>),
    /// A latch is set.
    Latched(log::Latch),
    /// The platform's list of live hosts with their availability zones. Sent after each successful
    /// read even if nothing changed, because slots may be used only while the list is recent.
    Hosts(Vec<Host>),
    /// A request arrived. It is answered by exactly one [`Command::End`].
    Arrive(Arrival),
    /// The answer to [`Command::Claim`].
    Claimed {
        /// Request.
        request: id::RequestId,
        /// Result of the claim.
        answer: message::ClaimAnswer,
    },
    /// The first byte of an attempt's answer arrived.
    FirstByte(id::AttemptId),
    /// An attempt ended.
    Ended {
        /// Attempt.
        attempt: id::AttemptId,
        /// How it ended.
        ending: Ending,
    },
    /// The caller closed its connection.
    CallerGone(id::RequestId),
    /// An endpoint was polled for its load.
    Report {
        /// Endpoint.
        endpoint: id::EndpointId,
        /// The report, or `None` if the endpoint could not be reached.
        report: Option<Report>,
    },
    /// An endpoint's cache stored these prefixes. Cache events may be late or missing.
    Cached {
        /// Endpoint.
        endpoint: id::EndpointId,
        /// Prefix hashes.
        prefixes: Vec<u64>,
    },
    /// A message from a peer.
    Peer {
        /// Sender.
        from: id::HostId,
        /// Message.
        message: message::Message,
    },
    /// The host shuts down and takes no new requests.
    Leave,
    /// Periodic timer.
    Tick,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Host name.
    pub id: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}

/// An action that the host executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Claim the request's idempotency key before its first stage that is not idempotent.
    Claim {
        /// Request.
        request: id::RequestId,
        /// Idempotency key.
        key: id::Key,
        /// Hash of workspace, pipeline and body.
        fingerprint: id::Fingerprint,
        /// Time after which the claim is no longer needed.
        deadline: id::Time,
    },
    /// Call an endpoint; answered by [`Event::Ended`].
    Dispatch(Dispatch),
    /// Abort an attempt and close its connection; answered by [`Event::Ended`].
    Cancel(id::AttemptId),
    /// A request ended; exactly one for each [`Event::Arrive`].
    End {
        /// Request.
        request: id::RequestId,
        /// How it ended.
        end: RequestEnd,
    },
    /// Set a latch: write it to the log and send it to peers.
    Latch(log::Latch),
    /// Send a message to a peer.
    Send {
        /// Receiver.
        to: id::HostId,
        /// Message.
        message: message::Message,
    },
    /// Log a decision.
    Explain(Decision),
}

/// A call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Request.
    pub request: id::RequestId,
    /// Attempt id; sent with the call and compared with the one in the answer.
    pub attempt: id::AttemptId,
    /// Index of the stage in the pipeline.
    pub stage: usize,
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Time by which the attempt must have ended.
    pub deadline: id::Time,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// All stages ran and the host has the answer.
    Completed,
    /// The stored answer of an earlier request with the same idempotency key.
    Repeat(String),
    /// The request was refused or failed.
    Failed {
        /// Result code.
        code: code::Code,
        /// Whether any stage ran.
        run: code::Run,
        /// How long the caller should wait before a retry, or `None` if a retry can't succeed.
        retry_after: Option<time::Duration>,
    },
}

/// A decision about a request or an endpoint and its reason, written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Request, if the decision concerns one.
    pub request: Option<id::RequestId>,
    /// Kind of decision: `place`, `wait`, `refuse`, `retry`, `cold`, `move`, ...
    pub kind: &'static str,
    /// Stage, result code, move or endpoint concerned.
    pub subject: String,
    /// Number of alternatives.
    pub candidates: u32,
    /// The chosen alternative.
    pub chosen: String,
    /// Reason.
    pub why: String,
}

/// Identity and parameters of a host, fixed at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this host.
    pub host: id::HostId,
    /// Incarnation of this process. Loan tickets contain its low 32 bits.
    pub incarnation: id::Incarnation,
    /// Availability zone of this host.
    pub zone: id::ZoneId,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Longest delay with which the platform's host list reflects a change.
    pub lag: time::Duration,
}
