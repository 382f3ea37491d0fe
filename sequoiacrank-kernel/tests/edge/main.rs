//! Tests of the decisions on the event-loop data path.

mod crash;
mod duties;
mod fleet;
mod members;
mod memory;
mod mesh;
mod moves;
mod notices;
mod overlay;
mod parts;
mod sequence;
mod site;
mod stage_load;
mod units;
