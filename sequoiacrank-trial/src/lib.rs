//! Tests of whole hosts on loopback: a caller that checks answers, a load generator and the
//! quickstart.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod background;
pub mod caller;
pub mod declarations;
pub mod load;
pub mod operator;
pub mod quickstart;
pub mod site;
pub mod usage;
