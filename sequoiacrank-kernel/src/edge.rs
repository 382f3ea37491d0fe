//! Decision logic of a host's data path: routing, endpoint selection, stage work and retry budgets.

pub mod budget;
pub mod catalog;
pub mod crash;
pub mod duty;
pub mod endpoint;
pub mod exit;
pub mod fleet;
pub mod limiter;
pub mod links;
pub mod members;
pub mod memory;
pub mod moves;
pub mod notice;
pub mod pace;
pub mod records;
pub mod sequence;
pub mod session;
pub mod stage;
