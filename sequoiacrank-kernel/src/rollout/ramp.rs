//! The share of requests that goes to a new version over the time of its move.

use std::time;

use crate::id;
use crate::plan;

/// The share of all requests, in thousandths.
pub const FULL_SHARE: u32 = 1000;
/// Largest share before a move is done. The remaining requests keep the old version comparable.
const MAX_SHARE: u32 = 700;
/// Factor by which the share grows from step to step.
const GROWTH: u32 = 3;
/// A move starts with the early share divided by this.
const FIRST_DIVISOR: u32 = 8;
/// A move's time divided by this is the minimum time of a step and the grace before the deadline,
/// each within the bounds below.
const STEP_DIVISOR: u32 = 20;
/// Bounds on the minimum time of a step.
const MIN_DWELL: time::Duration = time::Duration::from_millis(200);
const MAX_DWELL: time::Duration = time::Duration::from_secs(60);
/// Longest time before the deadline at which a move without enough evidence is taken back.
const MAX_GRACE: time::Duration = time::Duration::from_secs(5);

/// Position in the steps of a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ramp {
    /// Index of the step.
    pub step: usize,
    /// When it began.
    pub since: id::Time,
}

/// Shares of the steps, in thousandths.
pub fn shares(early: u32) -> Vec<u32> {
    let mut shares = vec![early.min(MAX_SHARE)];
    while let Some(&last) = shares.last()
        && last > 0
        && last < MAX_SHARE
    {
        let next = last * GROWTH;
        shares.push(if next + last > MAX_SHARE { MAX_SHARE } else { next });
    }
    shares
}

/// Share at a time, in thousandths. In the first step it grows linearly from a fraction of the
/// early share.
pub fn share(spec: &plan::Move, ramp: &Ramp, now: id::Time) -> u32 {
    let shares = shares(spec.early);
    let full = shares[ramp.step.min(shares.len() - 1)];
    if ramp.step > 0 {
        return full;
    }
    let dwell = dwell(spec).as_micros().max(1);
    let elapsed = now.saturating_sub(ramp.since).as_micros().min(dwell);
    let first = (full / FIRST_DIVISOR).max(1).min(full);
    first + (u128::from(full - first) * elapsed / dwell) as u32
}

/// Minimum time of a step.
pub fn dwell(spec: &plan::Move) -> time::Duration {
    (span(spec) / STEP_DIVISOR).clamp(MIN_DWELL, MAX_DWELL)
}

/// Total time of a move.
pub fn span(spec: &plan::Move) -> time::Duration {
    spec.finish.saturating_sub(spec.start)
}

/// When a move that is not done yet is taken back.
pub fn give_up(spec: &plan::Move) -> id::Time {
    spec.finish.saturating_sub(grace(spec))
}

/// Until when a move may be declared done. The gap to [`give_up`] lets the declaration reach all
/// hosts before they would take the move back.
pub fn last_done(spec: &plan::Move) -> id::Time {
    spec.finish.saturating_sub(2 * grace(spec))
}

fn grace(spec: &plan::Move) -> time::Duration {
    (span(spec) / STEP_DIVISOR).min(MAX_GRACE)
}
