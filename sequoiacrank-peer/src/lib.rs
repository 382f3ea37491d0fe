//! Messages between hosts, sent over gRPC with tonic.
//!
//! The asynchronous runtime is private to this crate; callers exchange data with it through
//! crossbeam channels. Load balancing, discovery and retries of tonic are not used: the peers come
//! from the platform's host list, and any message may be lost.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod client;
mod convert;
mod delivery;
pub mod event;
mod queue;
mod runtime;
pub mod server;
#[allow(missing_docs, rust_2018_idioms, clippy::all)]
pub mod wire;

pub use convert::Error as ConvertError;
