//! What the holder of the lease does: renewal, release, and calls to the platform.

use crate::edge::duty;
use crate::edge::duty::lease;
use crate::id;

impl lease::Lease {
    /// Decides what to do next as the holder.
    pub(super) fn next_held(&mut self, now: id::Time, facts: &lease::Facts) -> lease::Action {
        let reason = self.release_reason(now, facts);
        let tick = self.tick();
        let Some(held) = &mut self.held else { return lease::Action::Wait(now + tick) };
        if held.releasing.is_none() {
            held.releasing = reason.map(|reason| (reason, now));
        }
        if let Some((reason, since)) = held.releasing {
            let until = since + lease::MAX_CALL_WAIT;
            if facts.calls > 0 && now < until {
                return lease::Action::Wait(until.min(now + tick));
            }
            let record =
                duty::Record { released: true, content: held.draft.clone(), ..held.record.clone() };
            return self.append(now, record, lease::Purpose::Release(reason));
        }
        // Before it may act, writes are counted by other hosts, see `View::is_unproven`.
        let changed = now >= held.acts_at && held.draft != held.record.content;
        let due = held.written + if changed { tick } else { self.period / 3 };
        if now < due {
            return lease::Action::Wait(due);
        }
        let record = duty::Record { content: held.draft.clone(), ..held.record.clone() };
        self.append(now, record, lease::Purpose::Renew)
    }

    /// Why the holder has to release the lease, if it has to.
    fn release_reason(&self, now: id::Time, facts: &lease::Facts) -> Option<lease::Reason> {
        let held = self.held.as_ref()?;
        let reaches_store = now < held.written + self.period * 2 / 3;
        let silent = self.silence.is_some_and(|(first, last)| last >= first + self.period * 2);
        match () {
            () if facts.leaving => Some(lease::Reason::Stop),
            // The fault may be in the link of this host alone.
            () if silent && reaches_store && facts.others => Some(lease::Reason::Unreachable),
            () => None,
        }
    }

    /// Records that the platform answered a call.
    pub fn record_answer(&mut self) {
        self.silence = None;
    }

    /// Records that a call got no answer, or none that can be decoded.
    pub fn record_silence(&mut self, now: id::Time) {
        let (first, _) = self.silence.unwrap_or((now, now));
        self.silence = Some((first, now));
    }

    /// Records that the platform refused a call with this token because it has seen a higher one.
    pub fn record_fenced(&mut self, now: id::Time, token: duty::Token) {
        if self.held.as_ref().is_some_and(|held| held.record.token == token) {
            self.barred_until = now + self.period;
            self.lose(lease::Loss::Fenced);
        }
    }

    /// Drops the lease without a write.
    pub(super) fn lose(&mut self, loss: lease::Loss) {
        if let Some(held) = self.held.take() {
            self.events.push(lease::Event::Lost(held.record.token, loss));
        }
        self.silence = None;
    }
}
