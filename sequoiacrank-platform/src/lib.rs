//! Clients of the platform: log and host list.
//!
//! Clients block, keep no state but their options, and can be shared between threads. The wire types
//! are their own; what leaves this crate is in the kernel's types.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod hosts;
mod http;
pub mod log;

pub use http::Options;
