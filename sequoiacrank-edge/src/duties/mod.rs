//! Duties that one host performs for all: the lease, usage reports and orders for the number of
//! endpoints. Nothing here runs unless the settings name the platform's API.

use std::cell;
use std::rc;

use sequoiacrank_kernel::edge::duty;

use crate::host;
use crate::peer;
use crate::peer::wire;

/// State of the duties on this host.
#[derive(Default)]
pub struct Duties {
    /// Fencing token of the lease while this host holds it, else 0.
    token: cell::Cell<duty::Token>,
}

impl Duties {
    /// Fencing token that this host publishes; 0 if it does not hold the duties.
    pub fn token(&self) -> duty::Token {
        self.token.get()
    }
}

/// Performs the duties for as long as the host runs, while it holds the lease.
pub async fn follow(_host: rc::Rc<host::Host>) {}

/// Handles the message `Usage`: the report of another host.
pub fn receive_usage(
    _host: &rc::Rc<host::Host>,
    _from: peer::Sender,
    _usage: &wire::duties::Usage,
) {
}

/// Handles the message `Timing`: the answer of the holder.
pub fn receive_timing(
    _host: &rc::Rc<host::Host>,
    _from: peer::Sender,
    _timing: &wire::duties::Timing,
) {
}
