//! The demand that hosts report to the holder.

use std::time;

use crate::id;
use crate::map;

/// Age from which on a report no longer counts. Hosts report twice a second, so several in a row
/// are missing by then.
pub const STALE_TIME: time::Duration = time::Duration::from_secs(3);

/// Load of a service at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls in flight.
    pub running: u32,
    /// Requests since the process started that were refused for lack of an endpoint with room.
    pub refused: u64,
}

/// The newest load of a service at one host.
#[derive(Clone, Copy, Debug)]
struct Entry {
    load: Load,
    /// Refusals that were returned by [`Reports::take`] already, or happened before the first
    /// report.
    taken: u64,
}

/// The newest report of a process.
#[derive(Clone, Debug, Default)]
struct Report {
    at: id::Time,
    loads: map::FastMap<id::ServiceId, Entry>,
}

/// Demand of a service over all hosts that have reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Calls in flight.
    pub running: u32,
    /// Requests that were refused since the last call.
    pub refused: u32,
}

/// The newest reports of all processes.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    processes: map::FastMap<id::Incarnation, Report>,
}

impl Reports {
    /// Records the report of a process.
    pub fn receive<I>(&mut self, now: id::Time, process: id::Incarnation, loads: I)
    where
        I: IntoIterator<Item = (id::ServiceId, Load)>,
    {
        self.expire(now);
        let report = self.processes.entry(process).or_default();
        report.at = now;
        let old = std::mem::take(&mut report.loads);
        for (service, load) in loads {
            let taken = old.get(&service).map_or(load.refused, |entry| entry.taken);
            report.loads.insert(service, Entry { load, taken });
        }
    }

    /// Drops outdated reports. The refusals of their processes until the next report count as
    /// taken, as they did not happen within the last second.
    pub fn expire(&mut self, now: id::Time) {
        self.processes.retain(|_, report| now < report.at + STALE_TIME);
    }

    /// Whether there is a report of a process that is not outdated.
    pub fn has(&self, now: id::Time, process: id::Incarnation) -> bool {
        self.processes.get(&process).is_some_and(|report| now < report.at + STALE_TIME)
    }

    /// Age of the oldest report.
    pub fn age(&self, now: id::Time) -> Option<time::Duration> {
        self.processes.values().map(|report| now.saturating_sub(report.at)).max()
    }

    /// Number of processes whose reports are known.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// The demand of a service. Refusals that were returned once are not returned again.
    pub fn take(&mut self, now: id::Time, service: &str) -> Demand {
        self.expire(now);
        let mut demand = Demand::default();
        for entry in self.processes.values_mut().filter_map(|it| it.loads.get_mut(service)) {
            demand.running = demand.running.saturating_add(entry.load.running);
            let refused = entry.load.refused.saturating_sub(entry.taken);
            let refused = u32::try_from(refused).unwrap_or(u32::MAX);
            demand.refused = demand.refused.saturating_add(refused);
            entry.taken = entry.load.refused;
        }
        demand
    }
}
