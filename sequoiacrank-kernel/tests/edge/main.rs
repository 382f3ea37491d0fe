//! Tests of the decisions on the event-loop data path.

mod site;
mod stage_load;
