//! Requests that end without an answer of this host.

use std::rc;

use sequoiacrank_adapter::ingress;
use sequoiacrank_kernel::id;

use crate::host;

/// A request whose answer has not begun. It is logged and counted if it is dropped before `end`:
/// its connection has ended, or its task has failed.
pub struct Pending {
    host: rc::Rc<host::Host>,
    id: String,
    began: id::Time,
    ended: bool,
}

impl Pending {
    /// Begins with the arrival of the request's head.
    pub fn begin(host: &rc::Rc<host::Host>, headers: &http::HeaderMap) -> Self {
        let id = ingress::attempt(headers).unwrap_or_default().to_owned();
        Pending { host: host.clone(), id, began: host.clock.now(), ended: false }
    }

    /// Records that the answer begins.
    pub fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let took = host::millis(self.host.clock.now().saturating_sub(self.began));
        self.host.metrics.unanswered.with_label_values(&["dropped"]).inc();
        log::warn!(target: "request", id = self.id.as_str(), took; "dropped without an answer");
    }
}
