//! Calls to endpoints, from their begin to their end.

use std::rc;
use std::time;

use sequoiacrank_kernel::edge::fleet;
use sequoiacrank_kernel::id;

use crate::host;

/// A call to an endpoint. Dropping it before its end says nothing about the endpoint.
pub struct Flight {
    host: rc::Rc<host::Host>,
    /// The endpoint.
    pub endpoint: id::EndpointId,
    call: fleet::Call,
    began: id::Time,
    ended: bool,
}

impl Flight {
    /// Notes that a call begins.
    pub fn begin(host: &rc::Rc<host::Host>, endpoint: &str) -> Self {
        let began = host.clock.now();
        let call = host.facts.borrow_mut().fleet.begin(began, endpoint);
        let (host, endpoint) = (host.clone(), endpoint.to_owned());
        Flight { host, endpoint, call, began, ended: false }
    }

    /// Time since its begin.
    pub fn age(&self) -> time::Duration {
        self.host.clock.now().saturating_sub(self.began)
    }

    /// Notes the first byte of its answer.
    pub fn answered(&self) {
        let now = self.host.clock.now();
        self.host.facts.borrow_mut().fleet.answered(now, &self.endpoint, self.call);
    }

    /// Notes how the call ended.
    pub fn end(mut self, end: fleet::End) {
        self.finish(end);
    }

    fn finish(&mut self, end: fleet::End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let label = match end {
            fleet::End::Good => "good",
            fleet::End::Full => "full",
            fleet::End::Bad => "bad",
            fleet::End::Lost => "lost",
            fleet::End::Dropped => "dropped",
        };
        self.host.metrics.calls.with_label_values(&[label]).inc();
        let now = self.host.clock.now();
        self.host.facts.borrow_mut().fleet.end(now, &self.endpoint, self.call, end);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.finish(fleet::End::Dropped);
    }
}
