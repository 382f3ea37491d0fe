//! Estimates of a stage's time and of a service's throughput in tokens.

use std::time;

use crate::id;

/// Time span of each of the two histograms; the older is dropped when the newer is this old.
const HISTOGRAM_SPAN: time::Duration = time::Duration::from_secs(30);
/// Age of the last record at which the planned and least time of a stage count as unknown.
const STALE_AGE: time::Duration = time::Duration::from_secs(10);
/// Longest recorded time in milliseconds; longer times are recorded as this.
const MAX_MS: u64 = 3_600_000;
/// Quantile used as the planned time of a stage.
const PLANNED_QUANTILE: f64 = 0.9;
/// Quantile used as the least time of a stage.
const LEAST_QUANTILE: f64 = 0.1;

/// Times of one stage over the last 30 to 60 seconds.
pub(crate) struct Times {
    old: hdrhistogram::Histogram<u32>,
    new: hdrhistogram::Histogram<u32>,
    rotated: id::Time,
    last_record: id::Time,
}

fn new_histogram() -> hdrhistogram::Histogram<u32> {
    match hdrhistogram::Histogram::new_with_bounds(1, MAX_MS, 1) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("invalid constant histogram bounds: {error:?}"),
    }
}

impl Times {
    pub(crate) fn new(now: id::Time) -> Times {
        Times { old: new_histogram(), new: new_histogram(), rotated: now, last_record: now }
    }

    pub(crate) fn record(&mut self, now: id::Time, taken: time::Duration) {
        self.last_record = now;
        if now >= self.rotated + HISTOGRAM_SPAN {
            std::mem::swap(&mut self.old, &mut self.new);
            self.new.reset();
            self.rotated = now;
        }
        self.new.saturating_record((taken.as_millis() as u64).clamp(1, MAX_MS));
    }

    /// Whether the last record is too old to be used. Calls that are refused because of their
    /// expected time produce no records, so an old estimate must not keep refusing them.
    fn stale(&self, now: id::Time) -> bool {
        now >= self.last_record + STALE_AGE
    }

    fn quantile(&self, now: id::Time, q: f64) -> time::Duration {
        if self.stale(now) { time::Duration::ZERO } else { self.recorded_quantile(q) }
    }

    fn recorded_quantile(&self, q: f64) -> time::Duration {
        let fuller = if self.new.len() >= self.old.len() { &self.new } else { &self.old };
        match fuller.len() {
            0 => time::Duration::ZERO,
            _ => time::Duration::from_millis(fuller.value_at_quantile(q)),
        }
    }

    /// Usual time of the stage from the last records, however old; zero if there are none.
    pub(crate) fn usual(&self) -> time::Duration {
        self.recorded_quantile(PLANNED_QUANTILE)
    }

    /// Time to plan for the stage; zero while unknown.
    pub(crate) fn planned(&self, now: id::Time) -> time::Duration {
        self.quantile(now, PLANNED_QUANTILE)
    }

    /// Time that the stage takes at least; zero while unknown.
    pub(crate) fn least(&self, now: id::Time) -> time::Duration {
        self.quantile(now, LEAST_QUANTILE)
    }
}

/// Throughput of a service in tokens per second, measured while calls wait.
#[derive(Default)]
pub(crate) struct Rate {
    since: Option<id::Time>,
    tokens: f64,
    rate: Option<f64>,
}

impl Rate {
    /// Adds the tokens of a call that ended while others wait. Updates the rate once a second.
    pub(crate) fn add(&mut self, now: id::Time, tokens: u32) {
        const PERIOD_SECS: f64 = 1.0;
        // Increases, as while endpoints warm up, are followed faster than decreases, because a rate
        // that is too low refuses requests.
        const RISE: f64 = 0.8;
        const FALL: f64 = 0.3;
        let since = *self.since.get_or_insert(now);
        self.tokens += f64::from(tokens);
        let span = now.saturating_sub(since).as_secs_f64();
        if span < PERIOD_SECS {
            return;
        }
        let measured = self.tokens / span;
        let blend =
            |rate: f64| rate + (measured - rate) * if measured > rate { RISE } else { FALL };
        self.rate = Some(self.rate.map_or(measured, blend));
        self.since = Some(now);
        self.tokens = 0.0;
    }

    /// Restarts the measurement. Called while no call waits, because the rate then only shows the
    /// demand.
    pub(crate) fn restart(&mut self, now: id::Time) {
        self.since = Some(now);
        self.tokens = 0.0;
    }

    /// Time needed for `tokens`; zero while the rate is unknown.
    pub(crate) fn time_for(&self, tokens: u64) -> time::Duration {
        match self.rate {
            Some(rate) if rate > 0.0 => {
                time::Duration::from_secs_f64((tokens as f64 / rate).min(86_400.0))
            }
            _ => time::Duration::ZERO,
        }
    }
}
