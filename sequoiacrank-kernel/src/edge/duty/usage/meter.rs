//! Counts the requests of one host process.

use std::collections;
use std::time;

use crate::edge::duty;
use crate::edge::duty::true_time;
use crate::edge::duty::usage;
use crate::id;
use crate::map;

/// Time after the end of a window after which its counts are dropped although the holder has not
/// announced that they are final. No report of the window is of use then.
const KEEP_TIME: time::Duration = time::Duration::from_secs(30);
/// Resolution of the counts that are kept until the true time is known.
const EARLY_STEP: time::Duration = time::Duration::from_millis(100);
/// Time without an answer after which a request that was sent counts as running. Endpoints refuse
/// within it.
const ASSUME_AFTER: time::Duration = time::Duration::from_secs(2);

type Counts = map::FastMap<id::WorkspaceId, u64>;

/// Whether one attempt of a caller has begun to run, over all sends to endpoints. Times are those
/// of the steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempt {
    /// First send that may have reached an endpoint.
    since: Option<id::Time>,
    /// Sends that were not refused.
    sends: u32,
    counted: bool,
}

impl Attempt {
    /// Records a send to an endpoint.
    pub fn sent(&mut self, now: id::Time) {
        self.since = self.since.or(Some(now));
        self.sends += 1;
    }

    /// Records that a send was refused or did not reach its endpoint.
    pub fn not_run(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        if self.sends == 0 {
            self.since = None;
        }
    }

    /// Records that a send began to run, or may have. Returns the time at which to count the
    /// request, if it is not counted yet.
    pub fn ran(&mut self) -> Option<id::Time> {
        let at = self.since.filter(|_| !self.counted)?;
        self.counted = true;
        Some(at)
    }

    /// Records the first event of a stream; like [`Self::ran`].
    pub fn streams(&mut self, now: id::Time) -> Option<id::Time> {
        self.since = Some(now);
        self.ran()
    }

    /// Like [`Self::ran`], if it was sent long ago.
    pub fn assume_ran(&mut self, now: id::Time) -> Option<id::Time> {
        let is_old = self.since.is_some_and(|at| now >= at + ASSUME_AFTER);
        is_old.then(|| self.ran()).flatten()
    }

    /// Whether the request was counted.
    pub fn is_counted(&self) -> bool {
        self.counted
    }

    /// When the request was sent, if it is unknown whether it runs.
    pub fn undecided_since(&self) -> Option<id::Time> {
        self.since.filter(|_| !self.counted)
    }
}

/// Counts of one host process.
#[derive(Clone, Debug)]
pub struct Meter {
    schedule: usage::Schedule,
    /// What the last holder gave as the offset of the steady clock.
    offset: Option<true_time::Offset>,
    windows: collections::BTreeMap<duty::WindowId, Counts>,
    /// Counts from before the true time was known, by steady time in steps of [`EARLY_STEP`].
    early: collections::BTreeMap<u64, Counts>,
    /// Windows up to this one are final.
    closed: Option<duty::WindowId>,
    /// Requests that were counted too late to be reported.
    dropped: u64,
}

impl Meter {
    /// Creates the meter of a process that has counted nothing.
    pub fn new(schedule: usage::Schedule) -> Self {
        Meter {
            schedule,
            offset: None,
            windows: collections::BTreeMap::new(),
            early: collections::BTreeMap::new(),
            closed: None,
            dropped: 0,
        }
    }

    /// Offset of the steady clock that is in force, in milliseconds; `None` if there is none yet.
    pub fn offset(&self) -> Option<true_time::Offset> {
        self.offset
    }

    /// True time at a steady time; `None` if it is not known yet.
    pub fn true_time(&self, steady: id::Time) -> Option<id::Time> {
        self.offset.map(|offset| true_time::apply(offset, steady))
    }

    /// Counts a request that began to run at a steady time.
    pub fn count(&mut self, steady: id::Time, workspace: &str) {
        let window = self.true_time(steady).map(|at| self.schedule.window_at(at));
        let counts = match window {
            Some(window) if self.closed.is_some_and(|closed| window <= closed) => {
                self.dropped += 1;
                return;
            }
            Some(window) => self.windows.entry(window).or_default(),
            None => {
                self.early.entry((steady.as_millis() / EARLY_STEP.as_millis()) as u64).or_default()
            }
        };
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => drop(counts.insert(workspace.to_owned(), 1)),
        }
    }

    /// Applies the offset of the steady clock that the holder gives.
    pub fn set_offset(&mut self, offset: true_time::Offset) {
        self.offset = Some(offset);
        for (step, counts) in std::mem::take(&mut self.early) {
            let steady = EARLY_STEP.saturating_mul(u32::try_from(step).unwrap_or(u32::MAX));
            let window = self.schedule.window_at(true_time::apply(offset, steady));
            if self.closed.is_some_and(|closed| window <= closed) {
                self.dropped += counts.values().sum::<u64>();
                continue;
            }
            let sums = self.windows.entry(window).or_default();
            for (workspace, count) in counts {
                *sums.entry(workspace).or_default() += count;
            }
        }
        self.drop_closed();
    }

    /// Closes all windows up to `last`, whose counts are final.
    pub fn close(&mut self, last: duty::WindowId) {
        self.closed = self.closed.max(Some(last));
        self.drop_closed();
    }

    fn drop_closed(&mut self) {
        let Some(closed) = self.closed else { return };
        self.windows.retain(|window, _| *window > closed);
    }

    /// Drops counts that are too old to be reported. Returns the number of requests that were
    /// dropped or came too late since the last call.
    pub fn expire(&mut self, now: id::Time) -> u64 {
        let mut dropped = std::mem::take(&mut self.dropped);
        let sum = |counts: &Counts| counts.values().sum::<u64>();
        let first = (now.saturating_sub(KEEP_TIME).as_millis() / EARLY_STEP.as_millis()) as u64;
        let kept = self.early.split_off(&first);
        dropped += std::mem::replace(&mut self.early, kept).values().map(sum).sum::<u64>();
        if let Some(at) = self.true_time(now) {
            let first = self.schedule.window_at(at.saturating_sub(KEEP_TIME));
            let kept = self.windows.split_off(&first);
            dropped += std::mem::replace(&mut self.windows, kept).values().map(sum).sum::<u64>();
        }
        dropped
    }

    /// Whether there are counts that are not final.
    pub fn has_open(&self) -> bool {
        !self.windows.is_empty() || !self.early.is_empty()
    }

    /// The counts of all open windows. `undecided` is the steady time of the earliest request of
    /// which it is unknown whether it runs.
    pub fn report(
        &self,
        reading: true_time::Reading,
        undecided: Option<id::Time>,
    ) -> usage::Report {
        let until = undecided.map_or(reading.steady, |at| at.min(reading.steady));
        let sorted = |counts: &Counts| {
            let counts = counts.iter().map(|(workspace, count)| (workspace.clone(), *count));
            counts.collect()
        };
        usage::Report {
            reading,
            until: self.true_time(until),
            windows: self
                .windows
                .iter()
                .map(|(&window, counts)| (window, sorted(counts)))
                .collect(),
        }
    }
}
