//! Scheduler that decides which calls run on an engine, and how fast.

use std::collections;
use std::sync;
use std::time;

use parking_lot::Mutex;
use serde::Serialize;

use crate::engine;
use crate::engine::cache;
use crate::timer;

/// Counters of an engine since its start; crashes don't reset them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Stats {
    /// Calls received.
    pub calls: u64,
    /// Calls that finished.
    pub finished: u64,
    /// Calls whose client closed the connection.
    pub cancelled: u64,
    /// Calls that arrived over the capacity while it was not warm.
    pub overloads: u64,
    /// Calls refused because it was warm and its queue was full.
    pub refused: u64,
    /// Crashes.
    pub crashes: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens of prompts found in the cache.
    pub cached: u64,
    /// Peak number of calls running or waiting.
    #[serde(rename = "most")]
    pub peak: u32,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
    /// Maximum number of concurrent calls at present.
    #[serde(rename = "bears")]
    pub capacity: u32,
}

/// Load report of an engine, which may be some time old.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Fraction of the prefix cache in use.
    pub(crate) cache_usage: f64,
    pub(crate) version: String,
    pub(crate) started: time::SystemTime,
    pub(crate) at: time::SystemTime,
    created: time::Instant,
}

/// A call to run.
pub(crate) struct Job {
    /// Lower values run first.
    pub(crate) priority: u8,
    /// Time from its start to its first step.
    pub(crate) start_delay: time::Duration,
    /// Creates the task once the call has a slot.
    pub(crate) create_task: Box<dyn FnOnce(Slot) -> Box<dyn timer::Task> + Send>,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The engine is not warm and its capacity is in use.
    Overload,
    /// The queue is full.
    QueueFull,
}

/// State of an engine. Slots of an earlier epoch, from before a crash, no longer count.
pub(crate) struct State {
    pub(crate) version: String,
    pub(crate) cache: cache::Cache,
    pub(crate) stats: Stats,
    started: time::SystemTime,
    epoch: u64,
    /// Calls finished since the engine was last made cold.
    since_cold: u64,
    running: u32,
    /// Waiting calls by their priority and number of arrival.
    waiting: collections::BTreeMap<(u8, u64), Job>,
    /// Number of the latest waiting call.
    last_number: u64,
    report: Option<Report>,
}

/// State of an engine, with the timer that runs its tasks.
pub(crate) struct Scheduler {
    pub(crate) options: engine::Options,
    pub(crate) timer: timer::Timer,
    pub(crate) state: Mutex<State>,
}

impl Scheduler {
    pub(crate) fn new(options: engine::Options, timer: timer::Timer) -> sync::Arc<Scheduler> {
        let state = State {
            version: options.version.clone(),
            cache: cache::Cache::new(options.cache_blocks),
            stats: Stats::default(),
            started: time::SystemTime::now(),
            epoch: 0,
            since_cold: 0,
            running: 0,
            waiting: collections::BTreeMap::new(),
            last_number: 0,
            report: None,
        };
        sync::Arc::new(Scheduler { options, timer, state: Mutex::new(state) })
    }

    /// Starts a call or queues it.
    pub(crate) fn submit(self: &sync::Arc<Self>, job: Job) -> Result<(), Refusal> {
        let mut state = self.state.lock();
        let capacity = self.capacity(&state);
        let waiting = state.waiting.len();
        let mut started_jobs = None;
        match () {
            () if state.running < capacity && waiting == 0 => {
                started_jobs = Some(self.start(&mut state, job));
            }
            () if capacity < self.options.full => {
                state.stats.overloads += 1;
                return Err(Refusal::Overload);
            }
            () if waiting >= self.options.queue => {
                state.stats.refused += 1;
                return Err(Refusal::QueueFull);
            }
            () => {
                state.last_number += 1;
                let key = (job.priority, state.last_number);
                state.waiting.insert(key, job);
            }
        }
        let calls = state.running + u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        state.stats.peak = state.stats.peak.max(calls);
        drop(state);
        self.schedule(started_jobs);
        Ok(())
    }

    /// Time of one step at the current number of running calls, multiplied by `slow`.
    pub(crate) fn step_time(&self, slow: f64) -> time::Duration {
        let others = self.state.lock().running.saturating_sub(1);
        (self.options.step + self.options.slope * others).mul_f64(slow)
    }

    /// Number of calls running or waiting.
    pub(crate) fn load(&self) -> u32 {
        let state = self.state.lock();
        state.running + u32::try_from(state.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn stats(&self) -> Stats {
        let state = self.state.lock();
        let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        let capacity = self.capacity(&state);
        Stats { running: state.running, waiting, capacity, ..state.stats.clone() }
    }

    /// Returns a load report that is at most `lag` old.
    pub(crate) fn report(&self, lag: time::Duration) -> Report {
        let mut state = self.state.lock();
        let now = time::Instant::now();
        match &state.report {
            Some(report) if now - report.created < lag => report.clone(),
            _ => {
                let report = Report {
                    running: state.running,
                    waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
                    cache_usage: state.cache.usage(),
                    version: state.version.clone(),
                    started: state.started,
                    at: time::SystemTime::now(),
                    created: now,
                };
                state.report = Some(report.clone());
                report
            }
        }
    }

    /// Makes the engine cold.
    pub(crate) fn make_cold(&self) {
        self.state.lock().since_cold = 0;
    }

    /// Clears the state that a process loses when it crashes.
    pub(crate) fn on_crash(&self) {
        let mut state = self.state.lock();
        let dropped = std::mem::take(&mut state.waiting);
        state.epoch += 1;
        state.running = 0;
        state.since_cold = 0;
        state.cache = cache::Cache::new(self.options.cache_blocks);
        state.started = time::SystemTime::now();
        state.report = None;
        state.stats.crashes += 1;
        drop(state);
        drop(dropped);
    }

    /// Maximum number of concurrent calls at present, from `cold` up to `full`.
    fn capacity(&self, state: &State) -> u32 {
        let engine::Options { cold, full, warm_calls, .. } = self.options;
        let since_cold = state.since_cold.min(warm_calls);
        let extra = u64::from(full.saturating_sub(cold)) * since_cold / warm_calls.max(1);
        match u32::try_from(extra) {
            _ if since_cold == warm_calls => full,
            Ok(extra) => cold + extra,
            Err(_) => full,
        }
    }

    fn start(self: &sync::Arc<Self>, state: &mut State, job: Job) -> StartedJob {
        state.running += 1;
        let slot = Slot { scheduler: self.clone(), epoch: state.epoch };
        StartedJob { due: time::Instant::now() + job.start_delay, task: (job.create_task)(slot) }
    }

    /// Hands tasks to the timer. The caller must not hold the state lock: a stopped timer drops the
    /// tasks and with them their slots, which take the lock.
    fn schedule<I>(&self, started_jobs: I)
    where
        I: IntoIterator<Item = StartedJob>,
    {
        started_jobs
            .into_iter()
            .for_each(|StartedJob { due, task }| self.timer.schedule(due, task));
    }
}

/// A task that has a slot.
struct StartedJob {
    due: time::Instant,
    task: Box<dyn timer::Task>,
}

/// Slot of a running call. Dropping it starts the next waiting calls.
pub(crate) struct Slot {
    pub(crate) scheduler: sync::Arc<Scheduler>,
    epoch: u64,
}

impl Slot {
    /// Counts the call as finished, which warms the engine.
    pub(crate) fn record_finished(&self) {
        let mut state = self.scheduler.state.lock();
        state.stats.finished += 1;
        if state.epoch == self.epoch {
            state.since_cold += 1;
        }
    }

    /// Counts the call as cancelled by its client.
    pub(crate) fn record_cancelled(&self) {
        self.scheduler.state.lock().stats.cancelled += 1;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.scheduler.state.lock();
        if state.epoch != self.epoch {
            return;
        }
        state.running -= 1;
        let capacity = self.scheduler.capacity(&state);
        let mut started_jobs = Vec::new();
        while state.running < capacity {
            match state.waiting.pop_first() {
                Some((_, job)) => started_jobs.push(self.scheduler.start(&mut state, job)),
                None => break,
            }
        }
        drop(state);
        self.scheduler.schedule(started_jobs);
    }
}
