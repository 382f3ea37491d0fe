//! Permits to send a request. The first one is always granted; the retry budget has to grant the
//! others.

use sequoiacrank_kernel::edge::budget;
use sequoiacrank_kernel::edge::members::shares;

use crate::exchange;
use crate::host;

/// Permit to send a request to one endpoint. Each send consumes one, so that no send bypasses the
/// budget. It is returned if nothing was sent.
#[must_use]
pub struct Permit(());

impl exchange::Exchange {
    /// Whether the request may be sent to one more endpoint.
    pub fn may_repeat(&self) -> bool {
        let is_exhausted = self.send_count() >= self.route.max_attempts;
        self.route.is_repeatable() && !is_exhausted && self.time_left() > exchange::MIN_TIME_LEFT
    }

    /// Asks for a permit for the next send; `why` is the reason for it in the logs. A send that the
    /// endpoint refused has consumed its permit too, as it reached the endpoint.
    pub fn request_permit(&self, why: &'static str) -> Option<Permit> {
        let is_first = self.send_count() == 0;
        (is_first || self.try_repeat(why)).then_some(Permit(()))
    }

    /// Like [`Self::request_permit`], after a send whose request may have run: only for a request
    /// that may be repeated.
    pub fn retry_permit(&self, why: &'static str) -> Option<Permit> {
        self.may_repeat().then(|| self.request_permit(why)).flatten()
    }

    /// Like [`Self::retry_permit`], to abandon a send that is still in flight: only if another
    /// endpoint accepts the request.
    pub fn switch_permit(&self, why: &'static str) -> Option<Permit> {
        self.choose(false)?;
        self.retry_permit(why)
    }

    /// Asks the budget for one repeat and logs its verdict; returns whether it was granted.
    fn try_repeat(&self, why: &'static str) -> bool {
        let now = self.host.clock.now();
        let bound = self.host.reloadable.borrow().retries;
        let share = self.host.peers.members().share(now, bound.retention());
        let mut facts = self.host.facts.borrow_mut();
        let budget = facts.budgets.entry(self.service.clone()).or_default();
        let verdict = budget.try_repeat(now, &bound, &share);
        drop(facts);
        self.log_repeat(why, &share, &verdict);
        verdict.granted
    }

    fn log_repeat(&self, why: &'static str, share: &shares::Share, verdict: &budget::Verdict) {
        let budget::Verdict { granted, repeats, requests, max_repeats: most } = *verdict;
        let outcome = if granted { "granted" } else { "refused" };
        self.host.metrics.repeats.with_label_values(&[&self.service, outcome]).inc();
        let (id, service) = (self.head.attempt.as_str(), self.service.as_str());
        let (sends, age) = (self.send_count(), host::millis(self.host.clock.now()));
        let shares::Share { hosts, earned } = *share;
        log::info!(target: "request", id, service, why, granted, sends, repeats, requests, most, hosts, earned, age; "repeat");
    }
}
