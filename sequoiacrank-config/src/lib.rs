//! Settings of a host and declarations of operators: decoding, validation and differences.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod declare;
pub mod diff;
pub mod edge;
pub mod problem;
pub mod read;
pub mod settings;
pub mod tree;
