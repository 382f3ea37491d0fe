//! The command line of sequoiacrank.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod args;
mod client;
pub mod command;
pub mod exit;
mod run;
mod signals;

pub use run::run;
