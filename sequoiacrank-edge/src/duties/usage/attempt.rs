//! Whether an attempt of a caller is counted.

use std::cell;
use std::rc;
use std::sync;

use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::duty::usage::meter;
use sequoiacrank_kernel::id;

use crate::duties;
use crate::host;

/// An attempt of a caller. It is counted at most once, whatever is sent again.
pub struct Attempt {
    host: rc::Rc<host::Host>,
    workspace: sync::Arc<catalog::Workspace>,
    state: cell::Cell<meter::Attempt>,
}

impl Attempt {
    /// An attempt that was not sent yet; `None` if it is not counted, as usage is not reported or
    /// it belongs to no workspace.
    pub fn begin(
        host: &rc::Rc<host::Host>,
        workspace: Option<&sync::Arc<catalog::Workspace>>,
    ) -> Option<rc::Rc<Self>> {
        let workspace = workspace.filter(|_| host.duties.usage.is_counted())?.clone();
        Some(rc::Rc::new(Attempt { host: host.clone(), workspace, state: cell::Cell::default() }))
    }

    /// Applies a change of the state and counts the attempt at the time that it returns.
    fn apply<F>(&self, change: F)
    where
        F: FnOnce(&mut meter::Attempt) -> Option<id::Time>,
    {
        let mut state = self.state.get();
        let at = change(&mut state);
        self.state.set(state);
        if let Some(at) = at {
            self.host.duties.usage.count(at, &self.workspace.name);
        }
    }

    /// Records an event of a stream, which counts the attempt if it is the first one.
    pub fn record_event(&self) {
        if !self.state.get().is_counted() {
            self.apply(|state| state.streams(duties::steady_now()));
        }
    }

    /// When it was sent, if it is unknown whether it runs.
    pub(super) fn undecided_since(&self) -> Option<id::Time> {
        self.state.get().undecided_since()
    }

    /// Whether it is unknown whether it runs. Counts it if it was sent long ago.
    pub(super) fn is_undecided(&self, now: id::Time) -> bool {
        self.apply(|state| state.assume_ran(now));
        self.undecided_since().is_some()
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.apply(meter::Attempt::ran);
    }
}

/// One send of an attempt. Unless it is known that it did not run, it counts when it is dropped.
pub struct Sent {
    attempt: Option<rc::Rc<Attempt>>,
    open: cell::Cell<bool>,
}

impl Sent {
    /// A send that has not begun.
    pub fn new(attempt: Option<rc::Rc<Attempt>>) -> Self {
        Sent { attempt, open: cell::Cell::new(false) }
    }

    /// Records that the request is sent now.
    pub fn begin(&self) {
        let Some(attempt) = &self.attempt else { return };
        self.open.set(true);
        attempt.apply(|state| {
            state.sent(duties::steady_now());
            None
        });
        if let Some(state) = &attempt.host.duties.usage.state {
            state.sent.borrow_mut().push_back(rc::Rc::downgrade(attempt));
        }
    }

    /// Records whether the endpoint ran the request, or may have.
    pub fn settle(&self, ran: bool) {
        if let Some(attempt) = self.attempt.as_ref().filter(|_| self.open.take()) {
            attempt.apply(|state| match ran {
                true => state.ran(),
                false => {
                    state.not_run();
                    None
                }
            });
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.settle(true);
    }
}
