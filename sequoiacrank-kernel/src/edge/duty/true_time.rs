//! The true time of day, estimated from the clocks of all hosts.
