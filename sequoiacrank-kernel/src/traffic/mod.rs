//! Routes requests through the stages of their pipelines: admission, queueing, placement,
//! concurrency limits, retries and version selection.
//!
//! [`Traffic::handle`] takes an [`Event`] and the current time and returns the [`Command`]s that
//! the host executes.

mod admission;
mod attempt;
mod completion;
mod controller;
mod digest;
mod endpoint;
mod estimate;
mod feedback;
mod interface;
pub mod limit;
mod loan;
mod members;
mod peer;
pub mod placement;
mod pool;
mod prefix;
pub mod queue;
mod request;
mod schedule;
pub mod share;
mod status;
mod updates;

pub use controller::Traffic;
pub use interface::{
    Arrival, Command, Decision, Dispatch, Ending, Event, Fault, Host, Options, Report, RequestEnd,
};
pub use status::{EndpointStatus, ServiceStatus, StageCost};
