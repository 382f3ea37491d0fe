//! Requests of each workspace by usage window.
//!
//! Each host counts the requests that began to run ([`meter`]) and reports absolute counts to the
//! holder of the duties. The holder adds them up and makes them final ([`ledger`]).

pub mod ledger;
pub mod meter;

use std::collections;
use std::time;

use crate::edge::duty;
use crate::edge::duty::true_time;
use crate::id;

/// Counts of a host process, as it reports them to the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The clocks of the host.
    pub reading: true_time::Reading,
    /// True time up to which all requests are counted; `None` if the host does not know the true
    /// time.
    pub until: Option<id::Time>,
    /// Windows that are not closed, with all requests of the process that began to run in them.
    pub windows: collections::BTreeMap<duty::WindowId, duty::Counts>,
}

/// When usage windows begin and how long their reports may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window.
    pub window: time::Duration,
    /// Time after the end of a window within which its report is due.
    pub late: time::Duration,
}

impl Schedule {
    /// Window of a true time since the Unix epoch. A length below one millisecond counts as one.
    pub fn window_at(&self, at: id::Time) -> duty::WindowId {
        let number = at.as_millis() / self.window.as_millis().max(1);
        duty::WindowId::try_from(number).unwrap_or(duty::WindowId::MAX)
    }

    /// True time at which a window ends.
    pub fn end(&self, window: duty::WindowId) -> id::Time {
        let length = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX).max(1);
        id::Time::from_millis(window.saturating_add(1).saturating_mul(length))
    }
}
