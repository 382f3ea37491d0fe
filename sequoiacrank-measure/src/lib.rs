//! Measurements under logical time: results of the kernel's decisions, and cost by size.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod capacity;
pub mod decisions;
pub mod figure;
mod random;
pub mod table;
