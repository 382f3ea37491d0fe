//! Counts requests by usage window, collects the counts of all hosts and reports them.

use std::rc;

use crate::host;
use crate::peer;
use crate::peer::wire;

/// Requests counted by this host, and reports of all hosts while it holds the lease.
#[derive(Default)]
pub struct Usage {}

/// Sends reports to the holder, and reports windows to the platform while this host is the holder.
pub async fn follow(_host: rc::Rc<host::Host>) {}

/// Handles the report of another host.
pub fn receive(_host: &rc::Rc<host::Host>, _from: peer::Sender, _report: &wire::duties::Usage) {}

/// Handles the answer of the holder to a report.
pub fn receive_timing(
    _host: &rc::Rc<host::Host>,
    _from: peer::Sender,
    _timing: &wire::duties::Timing,
) {
}
