//! Inputs and outputs of the scheduler.

use std::time;

use crate::edge::stage;
use crate::id;

/// The input of one item of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Key of the request, for a stage that needs no results of other stages.
    Key(String),
    /// Results of the preceding stages.
    Results(Vec<stage::Handle>),
}

/// One piece of work in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Id of the request.
    pub request: String,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece within the stage.
    pub piece: u32,
    /// Remaining time until the deadline, after which the result is useless.
    pub remaining: time::Duration,
    /// Input of the piece.
    pub input: Input,
}

/// The outcome of one item of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The result is stored at the endpoint under this handle.
    Stored(stage::Handle),
    /// The remaining time ran out before the item was started.
    Late,
    /// A result that it needs as input no longer exists.
    NoInput,
    /// The endpoint has no memory left for the result.
    NoMemory,
    /// The endpoint failed to run the item.
    Failed,
}

/// Why a call ended without outcomes for its items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint refused the call because it is full; nothing ran.
    Full,
    /// The endpoint was unreachable, or the call broke off; some items may have run.
    Lost,
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a call to a stage endpoint.
    Call {
        /// Id under which the end of the call is reported.
        call: stage::CallId,
        /// Endpoint to call.
        endpoint: id::EndpointId,
        /// Items of the call; their outcomes are expected in the same order.
        items: Vec<Item>,
        /// Time after which to cancel the call.
        timeout: time::Duration,
    },
    /// Tell the submitter that all results are available.
    Ready {
        /// Id of the run.
        run: stage::RunId,
        /// Results of the stages that no other stage depends on.
        results: Vec<stage::Handle>,
    },
    /// Tell the submitter that the run failed.
    Failed {
        /// Id of the run.
        run: stage::RunId,
    },
    /// Free results that are stored at an endpoint.
    Free {
        /// Endpoint that stores them.
        endpoint: id::EndpointId,
        /// Handles of the results.
        results: Vec<stage::Handle>,
    },
}

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is queued.
    Accepted {
        /// Id of its run.
        run: stage::RunId,
        /// Expected time until its stages complete.
        expected: time::Duration,
    },
    /// The job would end too late and was not queued.
    Refused {
        /// Time after which to submit it again.
        retry_after: time::Duration,
        /// Time that its stages would have taken.
        expected: time::Duration,
    },
}
