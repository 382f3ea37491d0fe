//! Collects the demand of all hosts and orders the number of endpoints.

use std::rc;

use crate::host;
use crate::peer;
use crate::peer::wire;

/// Reports of demand while this host holds the lease.
#[derive(Default)]
pub struct Scaling {}

/// Demand that this host reports.
pub fn demand(_host: &host::Host) -> Vec<wire::duties::Demand> {
    Vec::new()
}

/// Orders numbers of endpoints while this host is the holder.
pub async fn follow(_host: rc::Rc<host::Host>) {}

/// Handles the demand that another host reports.
pub fn receive(_host: &rc::Rc<host::Host>, _from: peer::Sender, _demand: &[wire::duties::Demand]) {}
