//! The true time of day, estimated from the clocks of all hosts.
//!
//! The time of day of a host may be wrong or jump, its steady clock is not. The holder of the
//! duties takes the median over the clocks of all hosts and tells each of them what to add to its
//! steady clock.

use std::net;
use std::time;

use crate::id;
use crate::map;

/// Milliseconds to add to a steady clock for the time since the Unix epoch.
pub type Offset = i64;

/// Time for which the clocks of a host count after its last report.
const HEARD_PERIOD: time::Duration = time::Duration::from_secs(5);
/// Time after which the median does not wait for all live hosts, but for most of them. Hosts send
/// their clocks at least once a second.
const GATHER_TIME: time::Duration = time::Duration::from_millis(1500);
/// Time for which the shortest delay of messages of a host is remembered at least. Steady clocks
/// drift apart by a few milliseconds in it.
const DELAY_PERIOD: time::Duration = time::Duration::from_secs(30);
/// Change of the median, in milliseconds, that shows wrong clocks: the steady clocks do not jump.
const MAX_STEP: i64 = 100;
/// Time for which such a change has to last before it counts. While many clocks are wrong and
/// others are being set, the holder may know more wrong ones than there are at a time.
const STEP_TIME: time::Duration = time::Duration::from_secs(5);
/// Longest time from a report to its answer for which the answer is used. The time that the report
/// took is unknown, and the offset is wrong by as much.
const MAX_ROUND_TRIP: time::Duration = time::Duration::from_secs(1);

/// The two clocks of a host, read together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The steady clock, which counts the time of a suspension.
    pub steady: id::Time,
    /// The time of day since the Unix epoch.
    pub unix: id::Time,
}

/// `time` in milliseconds.
fn millis(time: id::Time) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Adds an offset to a steady time. Times before 1970 become zero.
pub fn apply(offset: Offset, steady: id::Time) -> id::Time {
    let shift = time::Duration::from_millis(offset.unsigned_abs());
    match offset >= 0 {
        true => steady.saturating_add(shift),
        false => steady.saturating_sub(shift),
    }
}

/// Whether the answer to a report that was made at the steady time `sent` came soon enough for its
/// offset to be used.
pub fn is_prompt(sent: id::Time, received: id::Time) -> bool {
    received.saturating_sub(sent) <= MAX_ROUND_TRIP
}

/// What the holder knows of the clocks of a host.
#[derive(Clone, Debug)]
struct Clock {
    process: id::Incarnation,
    last: Reading,
    heard_at: id::Time,
    /// Smallest difference of the holder's steady clock, at the arrival of a report, to that of the
    /// host, in milliseconds: in this period and in the one before. Reports that were delayed show
    /// a larger one.
    lags: [i64; 2],
    period_start: id::Time,
}

impl Clock {
    /// Milliseconds to add to the steady clock of the host for that of the holder.
    fn lag(&self) -> i64 {
        self.lags[0].min(self.lags[1])
    }

    /// Offset of the holder by the time of day of the host.
    fn offset(&self) -> Offset {
        millis(self.last.unix) - millis(self.last.steady) - self.lag()
    }

    fn update(&mut self, now: id::Time, reading: Reading) {
        let lag = millis(now) - millis(reading.steady);
        if now >= self.period_start + DELAY_PERIOD {
            self.lags = [i64::MAX, self.lags[0]];
            self.period_start = now;
        }
        self.lags[0] = self.lags[0].min(lag);
        self.heard_at = now;
        // Reports may arrive out of order.
        if reading.steady >= self.last.steady {
            self.last = reading;
        }
    }
}

/// The estimate of the holder. All times are those of its steady clock.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    clocks: map::FastMap<net::SocketAddr, Clock>,
    /// Offset in force until the clocks of enough hosts are known.
    previous: Option<Offset>,
    /// Since when the median differs from `previous` by more than [`MAX_STEP`].
    stepped: Option<id::Time>,
    /// Since when all hosts send their clocks to this one.
    since: id::Time,
}

impl Estimate {
    /// Begins to collect clocks, as this host has become the holder. `previous` is the offset that
    /// it was given before. The clocks of the first few hosts that report may all be wrong.
    pub fn start(&mut self, now: id::Time, previous: Option<Offset>) {
        self.previous = previous.or(self.previous);
        self.since = now;
        self.stepped = None;
    }

    /// Records the clocks of a host, which may be the holder itself.
    pub fn record(
        &mut self,
        now: id::Time,
        host: net::SocketAddr,
        process: id::Incarnation,
        reading: Reading,
    ) {
        let lag = millis(now) - millis(reading.steady);
        let first =
            || Clock { process, last: reading, heard_at: now, lags: [lag; 2], period_start: now };
        let clock = self.clocks.entry(host).or_insert_with(first);
        match clock.process == process {
            true => clock.update(now, reading),
            // The machine may have been started anew, and its steady clock with it.
            false => *clock = first(),
        }
    }

    /// Offset of the holder; `None` while it is unknown. `live` are the live hosts with the holder.
    pub fn offset(&mut self, now: id::Time, live: &[net::SocketAddr]) -> Option<Offset> {
        self.clocks.retain(|_, clock| now < clock.heard_at + HEARD_PERIOD);
        let heard = live.iter().filter(|host| self.clocks.contains_key(host)).count();
        let is_due = now >= self.since + GATHER_TIME;
        if heard == live.len() || (is_due && 2 * heard > live.len()) {
            let mut offsets: Vec<_> = self.clocks.values().map(Clock::offset).collect();
            offsets.sort_unstable();
            let middle = offsets.len().saturating_sub(1) / 2;
            if let Some(&median) = offsets.get(middle) {
                self.update(now, median);
            }
        }
        self.previous
    }

    fn update(&mut self, now: id::Time, median: Offset) {
        let is_step = self.previous.is_some_and(|it| median.abs_diff(it) > MAX_STEP.unsigned_abs());
        if is_step && now < *self.stepped.get_or_insert(now) + STEP_TIME {
            return;
        }
        self.stepped = None;
        self.previous = Some(median);
    }

    /// Offset of a host that has reported; `own` is that of the holder.
    pub fn offset_of(&self, host: net::SocketAddr, own: Offset) -> Option<Offset> {
        self.clocks.get(&host).map(|clock| own + clock.lag())
    }
}
