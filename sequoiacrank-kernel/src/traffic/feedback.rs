//! Updates a service's state from ended calls, endpoint reports, peer digests and loan messages.

use std::time;

use crate::id;
use crate::message;
use crate::traffic;
use crate::traffic::attempt;
use crate::traffic::endpoint;
use crate::traffic::estimate;
use crate::traffic::peer;
use crate::traffic::pool;
use crate::traffic::status;

/// A call that ran for this many times the usual time of its stage counts as timed out, even if it
/// was its request's deadline that ended it.
const CUT_SHORT_FACTOR: u32 = 2;
/// Number of request tokens that cost as much as one generated token.
const INPUT_TOKENS_PER_OUTPUT: u32 = 10;
/// Signs of a restart within this time after an earlier one belong to the same restart.
const SAME_RESTART_TIME: time::Duration = time::Duration::from_secs(3);

impl pool::Pool {
    /// Frees the slot that a call used.
    pub(crate) fn release(&mut self, call: &attempt::Attempt) {
        match call.loan {
            Some(ticket) => self.borrowed.end(ticket),
            None => {
                if let Some(state) = self.endpoints.get_mut(&call.endpoint) {
                    state.in_flight = state.in_flight.saturating_sub(1);
                }
            }
        }
    }

    /// Records in the retry policy that the first attempt of a stage was dispatched.
    pub(crate) fn record_first(&mut self, now: id::Time) {
        if let Some(retry) = &mut self.retry {
            retry.record_first(now);
        }
    }

    /// Whether the retry policy allows another attempt; spends its budget if so.
    pub(crate) fn allow_retry(&mut self, now: id::Time, fault: traffic::Fault, tried: u32) -> bool {
        self.retry.as_mut().is_some_and(|retry| retry.allow_retry(now, fault, tried))
    }

    /// Whether a request's deadline ended a call before it had the time that the stage usually
    /// takes. Such a timeout is no evidence against the endpoint or its version.
    pub(crate) fn cut_short(
        &self,
        now: id::Time,
        call: &attempt::Attempt,
        ending: traffic::Ending,
    ) -> bool {
        let stage = (call.pipeline.clone(), call.stage);
        let usual = self.times.get(&stage).map(estimate::Times::usual).unwrap_or_default();
        let timeout = matches!(ending, traffic::Ending::Bad { fault: traffic::Fault::Timeout, .. });
        timeout
            && now >= call.deadline
            && now.saturating_sub(call.started) < usual * CUT_SHORT_FACTOR
    }

    /// Whether a call was reset by a restart that another call has already reported. One restart
    /// resets all calls in flight at once, so only the first reset counts as evidence about the
    /// version.
    pub(crate) fn repeats_reset(&self, call: &attempt::Attempt, ending: traffic::Ending) -> bool {
        let reset = matches!(ending, traffic::Ending::Bad { fault: traffic::Fault::Reset, .. });
        let state = self.endpoints.get(&call.endpoint);
        reset && state.is_some_and(|state| state.generation > 0 && call.started < state.cold_since)
    }

    /// Records the end of a call. Returns the digest for peers if the endpoint is cold again.
    pub(crate) fn call_ended(
        &mut self,
        now: id::Time,
        call: &attempt::Attempt,
        ending: traffic::Ending,
    ) -> Option<message::EndpointDigest> {
        self.release(call);
        let taken = now.saturating_sub(call.started);
        self.account(now, call, ending, taken);
        let state = self.endpoints.get_mut(&call.endpoint)?;
        if call.started < state.cold_since {
            // The call started in an earlier generation, so its result doesn't apply to this one.
            return None;
        }
        let cold = match ending {
            traffic::Ending::Good { tokens } => {
                let tokens = tokens.saturating_add(call.tokens / INPUT_TOKENS_PER_OUTPUT);
                state.record_success(
                    now,
                    &endpoint::Call { taken, tokens, in_flight: call.in_flight },
                )
            }
            traffic::Ending::Bad { fault, .. } => {
                state.record_failure(now, fault);
                matches!(fault, traffic::Fault::Refused | traffic::Fault::Reset)
            }
            traffic::Ending::Cancelled => false,
        };
        if cold { self.mark_cold(now, &call.endpoint, 0) } else { None }
    }

    /// Adds an ended call to the costs, the service rate and the stage's times.
    fn account(
        &mut self,
        now: id::Time,
        call: &attempt::Attempt,
        ending: traffic::Ending,
        taken: time::Duration,
    ) {
        let key = (call.pipeline.clone(), call.stage);
        let cost = self.costs.entry(key.clone()).or_insert_with(|| status::StageCost {
            pipeline: call.pipeline.clone(),
            stage: call.stage,
            busy: time::Duration::ZERO,
            calls: 0,
            answers: 0,
        });
        cost.busy += taken;
        cost.calls += 1;
        match self.queued.is_empty() {
            true => self.rate.restart(now),
            false => self.rate.add(now, call.tokens),
        }
        if matches!(ending, traffic::Ending::Good { .. }) {
            cost.answers += 1;
            let weight = if self.latency.is_zero() { 1.0 } else { endpoint::LATENCY_WEIGHT };
            self.latency = endpoint::moving_average(self.latency, taken, weight);
            self.times.entry(key).or_insert_with(|| estimate::Times::new(now)).record(now, taken);
        }
    }

    /// Marks an endpoint as cold and returns the digest for peers if this starts a new generation.
    ///
    /// A generation is never below the start time of the endpoint's process in milliseconds
    /// (`start_ms`, 0 if unknown), so that a host which knows neither the earlier process nor its
    /// generation arrives at the same number as the others.
    fn mark_cold(
        &mut self,
        now: id::Time,
        endpoint: &str,
        start_ms: u64,
    ) -> Option<message::EndpointDigest> {
        let state = self.endpoints.get_mut(endpoint)?;
        let same_restart = state.generation > 0 && now < state.cold_since + SAME_RESTART_TIME;
        let generation = (state.generation + u64::from(!same_restart)).max(start_ms);
        let same_restart = same_restart && generation == state.generation;
        state.mark_cold(now, generation);
        self.borrowed.invalidate(endpoint, generation);
        if same_restart {
            return None;
        }
        let digest = state.digest(endpoint);
        state.last_digest = Some(digest.clone());
        Some(digest)
    }

    /// Applies an endpoint's load report; `None` means that it could not be reached. Returns the
    /// digest for peers if the endpoint has restarted.
    pub(crate) fn apply_report(
        &mut self,
        now: id::Time,
        endpoint: &str,
        report: Option<traffic::Report>,
    ) -> Option<message::EndpointDigest> {
        let (quiet, hold) = (self.quiet_time(), self.hold_time());
        let state = self.endpoints.get_mut(endpoint)?;
        let Some(report) = report else {
            state.blocked_until = now + endpoint::UNREACHABLE_PAUSE;
            return None;
        };
        let taken = now.saturating_sub(report.age);
        if state.report.as_ref().is_some_and(|(_, at)| *at > taken) {
            return None;
        }
        if report.running == 0 && report.waiting == 0 {
            state.share.observe_idle(taken, quiet);
        }
        state.share.settle(now, hold);
        let start_ms = report.started.as_millis() as u64;
        let restarted = match &state.report {
            Some((old, _)) => old.started != report.started,
            // The hosts that saw the earlier process may have left. Peers that know this process
            // ignore the digest.
            None => state.generation < start_ms,
        };
        state.report = Some((report, taken));
        state.blocked_until = now;
        if restarted { self.mark_cold(now, endpoint, start_ms) } else { None }
    }

    /// Applies a peer's digest of an endpoint. A higher generation marks the endpoint as cold.
    pub(crate) fn learn(&mut self, now: id::Time, digest: &message::EndpointDigest) {
        let Some(state) = self.endpoints.get_mut(&digest.endpoint) else {
            return;
        };
        if digest.generation > state.generation {
            state.mark_cold(now, digest.generation);
            self.borrowed.invalidate(&digest.endpoint, digest.generation);
        } else if digest.generation == state.generation {
            state.limit.learn(now, digest.limit);
        }
    }

    /// Lets this host's shares grow where the host list has been unchanged for the hold time.
    pub(crate) fn settle(&mut self, now: id::Time) {
        let hold = self.hold_time();
        for state in self.endpoints.values_mut().filter(|state| state.share.settling()) {
            state.share.settle(now, hold);
        }
    }

    /// Answers a loan request with the number of slots lent, the term and the endpoint's
    /// generation.
    pub(crate) fn lend(
        &mut self,
        now: id::Time,
        from: &str,
        endpoint: &str,
        ticket: id::Ticket,
        wanted: u32,
    ) -> (u32, time::Duration, u64) {
        let term = self.longest_deadline;
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return (0, term, 0);
        };
        if let Some(count) = state.lent.answered(from, ticket) {
            return (count, term, state.generation);
        }
        let own = self.queues.get(&state.conf.version).map_or(0, |queue| queue.len());
        let count = if own > 0 { 0 } else { wanted.min(state.free(now)) };
        if count > 0 {
            state.lent.lend(now, from, ticket, count, term);
        }
        (count, term, state.generation)
    }

    /// Records the answer to a loan request; returns false if the loan is no longer wanted.
    pub(crate) fn borrow(&mut self, now: id::Time, from: &str, offer: &peer::LoanOffer) -> bool {
        if self.borrowed.lender(offer.ticket).is_some_and(|lender| lender != from) {
            return false;
        }
        let Some(state) = self.endpoints.get_mut(&offer.endpoint) else {
            return false;
        };
        if offer.generation > state.generation {
            state.mark_cold(now, offer.generation);
            self.borrowed.invalidate(&offer.endpoint, offer.generation);
        }
        self.borrowed.accept(now, offer.ticket, offer.count, offer.term, offer.generation)
    }
}
