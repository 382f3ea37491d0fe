//! When an order is sent to the platform, and when it is sent again.

use std::collections;
use std::time;

use crate::edge::duty::scaling;
use crate::id;

/// Time until an order that was not answered is sent again: for the first time, and at most. The
/// platform's API may be overloaded, and other calls need its rate as well.
const MIN_RETRY: time::Duration = time::Duration::from_millis(500);
const MAX_RETRY: time::Duration = time::Duration::from_secs(4);
/// Longest time after which the platform may carry out an order without an answer; 2 to 12 s were
/// observed.
const LATE_TIME: time::Duration = time::Duration::from_secs(12);

/// The order for one zone of a service.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Number that was sent last, and whether the platform has accepted it.
    sent: Option<(u32, bool)>,
    /// Failed attempts in a row.
    failures: u32,
    next_try: id::Time,
    /// Whether a call is in flight. Only one is, so that the platform gets the numbers in order.
    in_flight: bool,
    /// Time until which the platform may still carry out another number than the accepted one.
    late_until: Option<id::Time>,
    /// Since when the number of endpoints differs from the accepted one.
    differs_since: Option<id::Time>,
}

impl State {
    /// Whether the order of `count` is to be sent.
    fn is_due(&self, now: id::Time, count: u32) -> bool {
        if self.in_flight {
            return false;
        }
        match self.sent {
            None => true,
            // A new number does not wait for the retry of the last one.
            Some((sent, _)) if sent != count => true,
            Some((_, false)) => now >= self.next_try,
            Some((_, true)) => self.late_until.is_some_and(|until| now >= until),
        }
    }
}

/// Orders to the platform and what became of them.
#[derive(Clone, Debug, Default)]
pub struct Dispatch {
    subjects: collections::BTreeMap<scaling::Subject, State>,
}

impl Dispatch {
    /// The orders to send now, out of those that the store has acknowledged. Each has to be
    /// followed by [`Self::answered`].
    pub fn take_due<F>(
        &mut self,
        now: id::Time,
        acknowledged: &collections::BTreeMap<scaling::Subject, u32>,
        is_allowed: F,
    ) -> Vec<(scaling::Subject, u32)>
    where
        F: Fn(&scaling::Subject) -> bool,
    {
        let mut due = Vec::new();
        for (subject, &count) in acknowledged.iter().filter(|(subject, _)| is_allowed(subject)) {
            let state = self.subjects.entry(subject.clone()).or_default();
            if state.is_due(now, count) {
                let failures = match state.sent {
                    Some((sent, false)) if sent == count => state.failures,
                    _ => 0,
                };
                *state = State { failures, in_flight: true, ..*state };
                due.push((subject.clone(), count));
            }
        }
        due
    }

    /// Records the end of the call with which `count` was ordered; `done` if the platform has
    /// accepted it. Returns the time until the next attempt otherwise.
    pub fn answered(
        &mut self,
        now: id::Time,
        subject: &scaling::Subject,
        count: u32,
        done: bool,
    ) -> Option<time::Duration> {
        let state = self.subjects.get_mut(subject)?;
        state.in_flight = false;
        let repeated = state.late_until.is_some_and(|until| now >= until);
        if state.sent.is_some_and(|(sent, _)| sent != count) {
            state.differs_since = None;
        }
        state.sent = Some((count, done));
        if done {
            state.failures = 0;
            state.late_until = state.late_until.filter(|_| !repeated);
            return None;
        }
        state.failures = state.failures.saturating_add(1);
        // The call may be carried out after a later one, so the last number is repeated then.
        state.late_until = Some(now + LATE_TIME);
        let wait = (MIN_RETRY * (1 << state.failures.min(4).saturating_sub(1))).min(MAX_RETRY);
        state.next_try = now + wait;
        Some(wait)
    }

    /// Records the endpoints of a zone that stay. If their number has differed from the accepted
    /// order for longer than new endpoints and late orders take, the order is sent again: the
    /// platform may have carried out an older one after it.
    pub fn observe(
        &mut self,
        now: id::Time,
        subject: &scaling::Subject,
        zone: &scaling::Zone,
        boot: time::Duration,
    ) {
        let Some(state) = self.subjects.get_mut(subject) else { return };
        let Some((count, true)) = state.sent else { return };
        if zone.out || zone.ready + zone.starting == count {
            state.differs_since = None;
            return;
        }
        let since = *state.differs_since.get_or_insert(now);
        if now > since + boot + LATE_TIME {
            state.differs_since = Some(now);
            state.sent = Some((count, false));
            state.next_try = now;
        }
    }
}
