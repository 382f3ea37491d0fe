//! Tests of the decisions on the event-loop data path.

mod crash;
mod duties;
mod fleet;
mod lease;
mod links;
mod members;
mod memory;
mod mesh;
mod moves;
mod notices;
mod overlay;
mod parts;
mod records;
mod restore;
mod scaling;
mod sequence;
mod site;
mod stage_load;
mod true_time;
mod units;
mod usage;
mod usage_holders;
