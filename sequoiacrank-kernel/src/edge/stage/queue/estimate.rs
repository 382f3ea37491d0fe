//! Estimates of waiting and execution times.

use std::time;

use crate::edge::stage::queue;
use crate::edge::stage::queue::state;
use crate::id;

/// Maximum late work in the queue, in full calls per slot. Late work only gets the slots that other
/// work leaves free; more of it would wait until its callers give up.
const MAX_LATE_CALLS: f64 = 0.12;
/// Weight of the newest stage in the smoothed ratio of real to expected stage times.
const BIAS_WEIGHT: f64 = 0.03;
/// Bounds of the smoothed ratio of real to expected stage times.
const BIAS_BOUNDS: (f64, f64) = (0.8, 2.0);
/// Waiting time when there is no endpoint; longer than any deadline.
pub const NEVER: time::Duration = time::Duration::from_secs(24 * 3600);
/// Maximum time that a piece waits for an endpoint in the zone of its inputs or of the reader of
/// its result. It is about the time of a call, within which an endpoint of that zone becomes free.
const MAX_ZONE_WAIT: time::Duration = time::Duration::from_millis(200);
/// Divisor of a stage's spare time that gives the part it may spend waiting for its zone.
const ZONE_WAIT_DIVISOR: u32 = 2;

impl queue::Queue {
    /// Expected time of a call of `pieces` pieces.
    pub fn call_time(&self, pieces: usize) -> time::Duration {
        self.batch.call_time + self.batch.piece_time.mul_f64(self.piece_scale * pieces as f64)
    }

    /// Expected time of a call with the mean number of pieces.
    pub(super) fn mean_time(&self) -> time::Duration {
        self.batch.call_time + self.batch.piece_time.mul_f64(self.piece_scale * self.mean_pieces)
    }

    /// Number of serving endpoints. One with a rate limit counts as a fraction.
    pub(super) fn serving_endpoints(&self, now: id::Time) -> f64 {
        let serving = self.endpoints.values().filter(|state| state.serves(now));
        serving.map(|state| state.relative_capacity(self.mean_time(), self.batch.slots)).sum()
    }

    /// Slots of the serving endpoints; 1 if there are none.
    fn serving_slots(&self, now: id::Time) -> f64 {
        match self.serving_endpoints(now) * f64::from(self.batch.slots.max(1)) {
            0.0 => 1.0,
            slots => slots,
        }
    }

    /// Mean time between two slots becoming free.
    pub(super) fn slot_gap(&self, now: id::Time) -> time::Duration {
        self.mean_time().div_f64(self.serving_slots(now))
    }

    /// Time until a slot is free for work behind `ahead` pieces.
    pub(super) fn wait_behind(&self, now: id::Time, ahead: usize) -> time::Duration {
        let free = |state: &state::State| state.slot_wait(now, self.batch.slots);
        let fast = self
            .endpoints
            .values()
            .filter(|state| state.slowdown < queue::SLOW_RATIO)
            .map(free)
            .min();
        let any = || self.endpoints.values().map(free).min();
        let first = fast.or_else(any).unwrap_or(NEVER);
        let full = self.call_time(self.batch.max_pieces).div_f64(self.serving_slots(now));
        first + full * (ahead / self.batch.max_pieces.max(1)) as u32
    }

    /// Number of queued pieces ahead of a position.
    pub(super) fn pieces_ahead(&self, position: queue::Position) -> usize {
        let key = position.key();
        let before = self.groups.iter().take_while(|group| group.key() <= key);
        before.map(|group| group.pieces.len()).sum()
    }

    /// Expected time from the queueing of a stage of `pieces` pieces to its results. It is queued
    /// at `position` after the time `start`.
    pub fn estimate(
        &self,
        now: id::Time,
        start: time::Duration,
        position: queue::Position,
        pieces: u32,
    ) -> time::Duration {
        let upcoming: usize = self.upcoming.iter().take(position.rank as usize + 1).sum();
        let ahead = self.pieces_ahead(position) + if start.is_zero() { 0 } else { upcoming };
        let wait = match start.is_zero() {
            true => self.wait_behind(now, ahead),
            false => self.wait_behind(now, ahead).saturating_sub(start).max(self.slot_gap(now) / 2),
        };
        let own = pieces as usize + ahead % self.batch.max_pieces.max(1);
        let pieces = own.max(self.mean_pieces as usize).min(self.batch.max_pieces);
        (wait + self.call_time(pieces)).mul_f64(self.time_bias)
    }

    /// Updates the ratio of real to expected times with a completed stage.
    pub fn record_stage_time(&mut self, took: time::Duration, expected: time::Duration) {
        let now = self.time_bias * queue::ratio(took, expected);
        self.time_bias += BIAS_WEIGHT * (now - self.time_bias);
        self.time_bias = self.time_bias.clamp(BIAS_BOUNDS.0, BIAS_BOUNDS.1);
    }

    /// Whether the queue holds little enough late work to accept more.
    pub fn has_room_for_late(&self) -> bool {
        let late = self.groups.iter().filter(|group| group.late);
        let late: usize = late.map(|group| group.pieces.len()).sum();
        let slots = self.endpoints.len() * self.batch.slots as usize;
        (late as f64) < MAX_LATE_CALLS * (slots * self.batch.max_pieces) as f64
    }

    /// Usual time of a stage, including the wait for a slot.
    pub fn usual_time(&self) -> time::Duration {
        self.mean_time() + self.mean_time() / (2 * self.endpoints.len().max(1) as u32)
    }

    /// Queued and running pieces per serving endpoint in `zone`; `None` if no endpoint serves
    /// there.
    pub fn zone_load(&self, now: id::Time, zone: &str) -> Option<f64> {
        let local = |state: &&state::State| state.zone == zone && state.serves(now);
        let serving = self.endpoints.values().filter(local);
        let (count, busy) = serving.fold((0u32, 0u32), |(count, busy), state| {
            (count + 1, busy + u32::from(state.in_flight > 0))
        });
        let queued = self.groups.iter().filter(|group| group.zone.as_deref() == Some(zone));
        let queued: usize = queued.map(|group| group.pieces.len()).sum();
        // On average, half of the running work remains.
        let running = f64::from(busy) * self.mean_pieces / 2.0;
        (count > 0).then(|| (queued as f64 + running) / f64::from(count))
    }

    /// Expected wait for an endpoint in `zone`; `None` if no endpoint serves there.
    pub fn zone_wait(&self, now: id::Time, zone: &str) -> Option<time::Duration> {
        let local = |state: &&state::State| state.zone == zone && state.serves(now);
        let free =
            self.endpoints.values().filter(local).map(|it| it.slot_wait(now, self.batch.slots));
        let calls = self.zone_load(now, zone)? / self.batch.max_pieces as f64;
        Some(free.min()? + self.call_time(self.batch.max_pieces) * calls as u32)
    }

    /// Time until the first endpoint takes calls again, by the pauses in their notices.
    pub fn shortest_pause(&self, now: id::Time) -> time::Duration {
        let pauses = self.endpoints.values().map(|state| state.paused_until.saturating_sub(now));
        pauses.min().unwrap_or_default()
    }

    /// Minimum time of a stage of `pieces` pieces.
    pub fn min_time(&self, pieces: usize) -> time::Duration {
        self.call_time(pieces.min(self.batch.max_pieces))
    }

    /// Maximum time that work with this spare time waits for an endpoint in its zone.
    pub fn max_zone_wait(spare: time::Duration) -> time::Duration {
        (spare / ZONE_WAIT_DIVISOR).min(MAX_ZONE_WAIT)
    }

    /// Availability zones of all endpoints.
    pub fn zones(&self) -> std::collections::BTreeSet<id::ZoneId> {
        self.endpoints.values().map(|state| state.zone.clone()).collect()
    }
}
