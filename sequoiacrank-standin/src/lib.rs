//! Small stand-ins of engines, plain services and the platform, with fault switches.
//!
//! Each kind has a `start` that listens on loopback and returns a [`server::Running`]. The protocols are
//! described in `docs/PLATFORM.md`.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod call;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod log;
mod pace;
pub mod plain;
pub mod server;

pub use fault::{CallFault, Faults, Outage};
pub use server::Error;
