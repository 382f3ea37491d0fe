//! Clients of the platform: log and host list.
//!
//! Clients block, keep no state but their options, and can be shared between threads. They convert
//! between their own wire types and the kernel's types.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod hosts;
mod http;
pub mod log;

pub use http::Options;
