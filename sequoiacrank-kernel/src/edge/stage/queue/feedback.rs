//! Updates the state of endpoints from the results of calls and from notices.

use std::time;

use crate::edge::limiter;
use crate::edge::notice;
use crate::edge::stage;
use crate::edge::stage::queue;
use crate::id;

/// Time for which an endpoint that ran out of memory gets no more results than it holds.
const MEMORY_CAP_TIME: time::Duration = time::Duration::from_millis(700);
/// Weight of the newest call in the smoothed slowdown of an endpoint.
const SLOWDOWN_WEIGHT: f64 = 0.4;
/// Minimum and maximum time for which a full endpoint gets no calls. Only other batchers can have
/// filled it, so a host that often finds it full leaves the endpoint to them.
const FULL_PAUSE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(60), time::Duration::from_millis(500));
/// Time for which an endpoint gets no calls after it failed a piece.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(60);
/// Minimum and maximum time for which a lost endpoint gets no calls.
const LOSS_PAUSE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(400), time::Duration::from_secs(3));
/// Weight of the newest call in the smoothed scale of piece times.
const SCALE_WEIGHT: f64 = 0.05;
/// Bounds of the scale of piece times, as multiples of the declared time.
const SCALE_BOUNDS: (f64, f64) = (0.2, 3.0);

impl queue::Queue {
    /// Records the answer to a call of `pieces` pieces, which took `took`.
    pub fn record_answer(&mut self, id: &str, took: time::Duration, pieces: usize) {
        self.record_end(id);
        let expected = self.call_time(pieces);
        let Some(state) = self.endpoints.get_mut(id) else { return };
        state.failures = 0;
        state.full_count = 0;
        state.slowdown += SLOWDOWN_WEIGHT * (queue::ratio(took, expected) - state.slowdown);
        if state.slowdown < queue::SLOW_RATIO {
            let declared = self.batch.piece_time * pieces as u32;
            let scale = queue::ratio(took.saturating_sub(self.batch.call_time), declared);
            self.piece_scale +=
                SCALE_WEIGHT * (scale.clamp(SCALE_BOUNDS.0, SCALE_BOUNDS.1) - self.piece_scale);
        }
    }

    /// Records that an unanswered call is overdue after `took`.
    pub fn record_slow(&mut self, id: &str, took: time::Duration, expected: time::Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.slowdown = state.slowdown.max(queue::ratio(took, expected));
        }
    }

    /// Records the end of a call, whatever its result.
    pub fn record_end(&mut self, id: &str) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records that an endpoint refused a call as full. Consecutive refusals double the pause.
    pub fn record_full(&mut self, now: id::Time, id: &str) {
        if let Some(state) = self.endpoints.get_mut(id) {
            let pause = FULL_PAUSE.0 * (1 << state.full_count.min(4));
            state.full_count += 1;
            state.skipped_until = state.skipped_until.max(now + pause.min(FULL_PAUSE.1));
        }
    }

    /// Records that an endpoint had no memory for a result, as other hosts use some of it.
    pub fn record_no_memory(&mut self, now: id::Time, id: &str) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.memory_cap = Some((state.held_bytes, now + MEMORY_CAP_TIME));
        }
    }

    /// Records that an endpoint failed a piece.
    pub fn record_failure(&mut self, now: id::Time, id: &str) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.failures = state.failures.max(1);
            state.skipped_until = state.skipped_until.max(now + FAILURE_PAUSE);
        }
    }

    /// Records that an endpoint was unreachable or broke off a call. Repeats double the pause.
    pub fn record_loss(&mut self, now: id::Time, id: &str) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.failures = state.failures.saturating_add(1);
            let pause = LOSS_PAUSE.0 * (1 << state.failures.min(4).saturating_sub(1));
            state.skipped_until = now + pause.min(LOSS_PAUSE.1);
        }
    }

    /// Applies the pauses and rate limits that endpoints announce in notices.
    pub fn set_notices(&mut self, now: id::Time, notices: &notice::Notices) {
        for (id, state) in &mut self.endpoints {
            state.paused_until = notices.paused((id, state.started_at));
            let rate = notices.limit((id, state.started_at));
            let old = state.rate_limit.take().map(|(_, grants)| grants);
            state.rate_limit =
                rate.map(|rate| (rate, old.unwrap_or_else(|| limiter::Grants::new(now))));
        }
    }

    /// Releases the memory reserved at an endpoint for a piece that left no result there.
    pub fn release_memory(&mut self, id: &str, bytes: u64) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.held_bytes = state.held_bytes.saturating_sub(bytes);
        }
    }

    /// Adds an unused result to those to free.
    pub fn add_free(&mut self, id: &str, handle: stage::Handle, bytes: u64) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.to_free.push(handle);
            state.free_bytes += bytes;
        }
    }

    /// Takes the results to free now, by endpoint.
    pub fn due_frees(&mut self, now: id::Time) -> Vec<(id::EndpointId, Vec<stage::Handle>)> {
        let enough = self.batch.memory / stage::EARLY_FREE_DIVISOR;
        let mut frees = Vec::new();
        for (id, state) in &mut self.endpoints {
            if state.to_free.is_empty() || now < state.paused_until {
                continue;
            }
            let since = *state.free_since.get_or_insert(now);
            let early = state.free_bytes >= enough && state.rate_limit.is_none();
            if early || now >= since + stage::MAX_FREE_DELAY {
                state.held_bytes = state.held_bytes.saturating_sub(state.free_bytes);
                state.free_bytes = 0;
                state.free_since = None;
                frees.push((id.clone(), std::mem::take(&mut state.to_free)));
            }
        }
        frees
    }
}
