//! A host: HTTP interface, stage runner, endpoint poller, log follower and peer service.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod engine;
pub mod exposition;
pub mod follower;
pub mod front;
pub mod gate;
pub mod host;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod poller;
pub mod pool;
pub mod problem;
pub mod roster;
pub mod runner;
pub mod session;

pub use host::{Error, Outcome, Running, start};
