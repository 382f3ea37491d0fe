//! Estimates for admission, the retry delay of refused jobs, and the choice of zones for stages.

use std::time;

use crate::edge::stage;
use crate::edge::stage::queue;
use crate::edge::stage::run;
use crate::id;

/// Delay up to which a refused caller may retry as soon as its job would be in time.
const SHORT_DELAY: time::Duration = time::Duration::from_millis(100);
/// Fraction of its remaining time after which a refused caller would not retry any more.
const RETRY_FRACTION: f64 = 0.32;
/// Maximum retry delay of a refused caller. By then lost endpoints are back, or known to be gone.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

impl stage::Scheduler {
    /// Retry delay of a refused caller. A job that would be slightly late may retry soon and still
    /// be in time. All others are spread over the time in which callers retry at all, so that a
    /// burst does not return as another burst.
    pub(super) fn retry_after(
        &self,
        now: id::Time,
        job: &stage::Job,
        end: id::Time,
    ) -> time::Duration {
        let short = end.saturating_sub(job.target_time).max(queue::TICK * 4);
        let max = job.deadline.saturating_sub(now).mul_f64(RETRY_FRACTION).min(MAX_RETRY_DELAY);
        if short <= SHORT_DELAY || max <= SHORT_DELAY {
            return short.min(max);
        }
        let draw = xxhash_rust::xxh3::xxh3_64(job.request.as_bytes()) as f64 / u64::MAX as f64;
        SHORT_DELAY + (max - SHORT_DELAY).mul_f64(draw)
    }

    /// Whether the queues of the job's stages hold little enough late work to accept more.
    pub(super) fn has_room_for_late(&self, job: &stage::Job) -> bool {
        let queues = job.stages.iter().filter(|work| work.pieces > 0);
        queues
            .filter_map(|work| self.queues.get(&work.service))
            .all(queue::Queue::has_room_for_late)
    }

    /// Expected time until all stages of a job complete.
    pub(super) fn estimate(&self, now: id::Time, job: &stage::Job) -> time::Duration {
        let mut ends: Vec<time::Duration> = Vec::with_capacity(job.stages.len());
        for (stage, work) in job.stages.iter().enumerate() {
            let start = work.after.iter().filter_map(|&s| ends.get(s)).max().copied();
            let start = start.unwrap_or_default();
            let rest = run::critical_path(&job.stages, stage, |work| self.usual_time(work));
            let due = job.target_time.saturating_sub(job.request_time + rest);
            let time = match self.queues.get(&work.service) {
                _ if work.pieces == 0 => time::Duration::ZERO,
                Some(queue) => queue.estimate(
                    now,
                    start,
                    queue::Position { late: false, due, rank: job.rank },
                    work.pieces,
                ),
                None => queue::NEVER,
            };
            ends.push(start.saturating_add(time));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Usual time of a stage.
    pub(super) fn usual_time(&self, work: &stage::Work) -> time::Duration {
        self.queues.get(&work.service).map_or(time::Duration::ZERO, queue::Queue::usual_time)
    }

    /// Time of a stage on idle endpoints.
    pub(super) fn min_time(&self, work: &stage::Work) -> time::Duration {
        let queue = self.queues.get(&work.service);
        queue.map_or(time::Duration::ZERO, |queue| queue.min_time(work.pieces as usize))
    }

    /// Availability zone for stages whose combined results are large: the zone in which their
    /// services have the least load. `None` if no zone has endpoints of all the services.
    pub(super) fn pick_home_zone(&self, now: id::Time, services: &[&str]) -> Option<id::ZoneId> {
        let queues: Vec<_> = services.iter().filter_map(|it| self.queues.get(*it)).collect();
        let load = |zone: &str| -> Option<f64> {
            queues.iter().map(|queue| queue.zone_load(now, zone)).sum::<Option<f64>>()
        };
        let zones = queues.first()?.zones();
        let loads = zones.into_iter().filter_map(|zone| Some((load(&zone)?, zone)));
        let least = loads.min_by(|(a, _), (b, _)| a.total_cmp(b));
        least.map(|(_, zone)| zone)
    }

    /// Preferred availability zone of a stage, so that large results are not read across zones.
    pub(super) fn pick_zone(
        &self,
        now: id::Time,
        run: &stage::Run,
        stage: usize,
    ) -> Option<id::ZoneId> {
        let work = &run.job.stages[stage];
        let followers: Vec<usize> = run::followers(&run.job.stages, stage).collect();
        let readers: u64 = followers.iter().map(|&next| u64::from(run.count(next))).sum();
        let transferred = work.bytes.saturating_mul(u64::from(work.pieces)).saturating_mul(readers);
        let mut services: Vec<&str> = vec![&work.service];
        services.extend(followers.iter().map(|&next| run.job.stages[next].service.as_str()));
        match &run.home_zone {
            _ if followers.is_empty() && work.bytes >= stage::LARGE_BYTES => run.job.zone.clone(),
            Some(home) => Some(home.clone()),
            None if transferred >= stage::LARGE_BYTES => self.pick_home_zone(now, &services),
            None => None,
        }
    }
}
