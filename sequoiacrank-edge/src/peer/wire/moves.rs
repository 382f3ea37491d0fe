//! Messages about moves of services to new versions.

use std::time;

use sequoiacrank_kernel::edge::moves;
use sequoiacrank_kernel::edge::records::order;
use sequoiacrank_kernel::message;

/// What a host reports about the move of one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Move {
    /// Service that moves.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Offset of the record that orders the move.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Era of that record.
    #[prost(uint64, tag = "7")]
    pub era: u64,
    /// Version that is to get all requests.
    #[prost(string, tag = "8")]
    pub target: String,
    /// Milliseconds since the move was ordered.
    #[prost(uint64, tag = "3")]
    pub age: u64,
    /// Phase that the sender knows.
    #[prost(enumeration = "Phase", tag = "4")]
    pub phase: i32,
    /// Calls of the sender in flight on other versions than the new one.
    #[prost(uint32, tag = "5")]
    pub old: u32,
    /// Ended calls of the sender, by version and route.
    #[prost(message, repeated, tag = "6")]
    pub evidence: Vec<Evidence>,
}

/// Phase of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// It is not known yet whether the move has already ended.
    Waiting = 0,
    /// The new version gets a small share of the requests.
    Trial = 1,
    /// The new version gets all requests; the old one still runs and could take them back.
    Moved = 2,
    /// The old version gets all requests.
    TakenBack = 3,
    /// The store has the move as completed; the old version is gone.
    Completed = 4,
}

/// Ended calls of one version on one route.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Evidence {
    /// Route of the calls.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Whether the calls went to the new version.
    #[prost(bool, tag = "2")]
    pub new: bool,
    /// Calls that succeeded.
    #[prost(uint64, tag = "3")]
    pub good: u64,
    /// Calls that failed through a fault of the version.
    #[prost(uint64, tag = "4")]
    pub bad: u64,
    /// Sum of the natural logarithms of the seconds to the first byte of the calls that succeeded.
    #[prost(double, tag = "5")]
    pub log_sum: f64,
    /// Sum of the squares of those logarithms.
    #[prost(double, tag = "6")]
    pub log_squares: f64,
}

impl From<moves::Phase> for Phase {
    fn from(phase: moves::Phase) -> Self {
        match phase {
            moves::Phase::Waiting => Phase::Waiting,
            moves::Phase::Trial => Phase::Trial,
            moves::Phase::Moved => Phase::Moved,
            moves::Phase::TakenBack => Phase::TakenBack,
            moves::Phase::Completed => Phase::Completed,
        }
    }
}

impl From<Phase> for moves::Phase {
    fn from(wire: Phase) -> Self {
        match wire {
            Phase::Waiting => moves::Phase::Waiting,
            Phase::Trial => moves::Phase::Trial,
            Phase::Moved => moves::Phase::Moved,
            Phase::TakenBack => moves::Phase::TakenBack,
            Phase::Completed => moves::Phase::Completed,
        }
    }
}

impl From<moves::Digest> for Move {
    fn from(digest: moves::Digest) -> Self {
        let evidence = |it: message::Evidence| Evidence {
            route: it.route,
            new: it.new,
            good: it.good,
            bad: it.bad,
            log_sum: it.log_sum,
            log_squares: it.log_squares,
        };
        Move {
            offset: digest.position.offset,
            era: digest.position.era,
            target: digest.target,
            age: digest.age.as_millis() as u64,
            phase: Phase::from(digest.phase).into(),
            old: digest.old_calls,
            evidence: digest.evidence.into_iter().map(evidence).collect(),
            service: digest.service,
        }
    }
}

impl From<&Move> for moves::Digest {
    fn from(wire: &Move) -> Self {
        let evidence = |it: &Evidence| message::Evidence {
            r#move: wire.service.clone(),
            route: it.route.clone(),
            new: it.new,
            good: it.good,
            bad: it.bad,
            log_sum: it.log_sum,
            log_squares: it.log_squares,
        };
        moves::Digest {
            service: wire.service.clone(),
            position: order::Position::new(wire.era, wire.offset),
            target: wire.target.clone(),
            age: time::Duration::from_millis(wire.age),
            phase: wire.phase().into(),
            old_calls: wire.old,
            evidence: wire.evidence.iter().map(evidence).collect(),
        }
    }
}
