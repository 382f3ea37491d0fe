//! Small stand-ins for engines, plain services and the platform, with fault switches.
//!
//! Each kind has a function `start` that listens on loopback by default and returns a
//! [`server::Running`]. The protocols are described in `docs/PLATFORM.md`.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod call;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod log;
pub mod plain;
pub mod server;
mod timer;

pub use fault::{CallFault, Faults, Outage};
pub use server::Error;
