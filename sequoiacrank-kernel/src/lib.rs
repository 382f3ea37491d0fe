//! Decisions of a host as deterministic state machines: events, time and random seeds are passed
//! in, commands are returned.
//!
//! No module of this crate reads a clock, sleeps or does I/O, so a test can drive several hosts
//! under its own clock and transport through the same calls that the host crate uses.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod agree;
pub mod code;
pub mod edge;
pub mod id;
pub mod log;
pub mod map;
pub mod message;
pub mod plan;
pub mod policy;
pub mod retry;
pub mod rollout;
pub mod suspect;
pub mod traffic;
