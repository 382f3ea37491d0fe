//! Tests of the decisions on the event-loop data path.

mod crash;
mod fleet;
mod members;
mod moves;
mod parts;
mod site;
mod stage_load;
