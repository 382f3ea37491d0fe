//! Completes attempts and requests: evidence for versions, retries, the next stage, and exactly one
//! end for each request.

use crate::code;
use crate::id;
use crate::message;
use crate::policy;
use crate::policy::Moves as _;
use crate::rollout;
use crate::traffic;
use crate::traffic::admission;
use crate::traffic::attempt;
use crate::traffic::request;

/// The end of a call as evidence about its endpoint and version.
#[derive(Clone, Copy)]
struct Observation {
    ending: traffic::Ending,
    /// Whether another call has reported the same restart; see
    /// [`crate::traffic::pool::Pool::repeats_reset`].
    duplicate: bool,
}

impl traffic::Traffic {
    /// Handles the end of an attempt. Its result is dropped if the attempt is unknown or its
    /// request has ended.
    pub(crate) fn attempt_ended(
        &self,
        now: id::Time,
        attempt: id::AttemptId,
        ending: traffic::Ending,
        out: &mut Vec<traffic::Command>,
    ) {
        let Some(call) = self.attempts.remove(attempt) else {
            return;
        };
        let Some(pool) = self.pool(&call.service) else {
            return;
        };
        let (cold, observed) = {
            let mut pool = pool.lock();
            let cut = pool.cut_short(now, &call, ending);
            let observed = if cut { traffic::Ending::Cancelled } else { ending };
            let duplicate = pool.repeats_reset(&call, observed);
            (pool.call_ended(now, &call, observed), Observation { ending: observed, duplicate })
        };
        if let Some(digest) = cold {
            self.announce_cold(digest, out);
        }
        self.record_evidence(now, &call, observed, out);
        let current = self.requests.update(call.request, |progress| {
            let current = progress.state == request::State::InFlight(attempt);
            if current {
                progress.state = request::State::Processing;
            }
            current
        });
        if current == Some(true) {
            match ending {
                traffic::Ending::Good { .. } => self.advance(now, call.request, out),
                traffic::Ending::Bad { fault, delivered } => {
                    self.attempt_failed(now, &call, fault, delivered, out);
                }
                traffic::Ending::Cancelled => {
                    let refusal = admission::Refusal::retryable(code::Code::StageFailed);
                    self.fail(call.request, &refusal, out);
                }
            }
        }
        self.schedule(now, &pool, out);
    }

    /// Records an ended call as evidence about its version and its request's fingerprint.
    fn record_evidence(
        &self,
        now: id::Time,
        call: &attempt::Attempt,
        Observation { ending, duplicate }: Observation,
        out: &mut Vec<traffic::Command>,
    ) {
        let (good, units) = match ending {
            traffic::Ending::Good { tokens } => (true, tokens.max(1)),
            traffic::Ending::Bad { fault, .. } if rollout::is_version_fault(fault) => (false, 1),
            _ => return,
        };
        if matches!(ending, traffic::Ending::Bad { fault: traffic::Fault::Reset, .. }) {
            self.suspects.lock().record_crash(now, call.fingerprint, &call.endpoint);
        }
        if duplicate {
            return;
        }
        let taken = now.saturating_sub(call.started) / units;
        let (service, version, route) = (&call.service, &call.version, &call.route);
        let sample = policy::Call { service, version, route, good, taken };
        let banned = {
            let mut moves = self.moves.lock();
            let before = moves.is_banned(service, version);
            moves.record_end(now, &sample);
            !before && moves.is_banned(service, version)
        };
        if banned {
            self.refresh(now, out);
        }
    }

    /// Advances a request after a successful stage: to the next stage or to its end.
    fn advance(&self, now: id::Time, request: id::RequestId, out: &mut Vec<traffic::Command>) {
        let more = self.requests.update(request, |progress| {
            progress.ran = true;
            progress.tried.clear();
            progress.stage += 1;
            let more = progress.stage < progress.pipeline.stages.len();
            // `stage` must stay a valid index until the finished request is removed.
            progress.stage -= usize::from(!more);
            more
        });
        match more {
            Some(true) => self.enter_stage(now, request, out),
            Some(false) => self.finish(request, traffic::RequestEnd::Completed, out),
            None => {}
        }
    }

    /// Handles a failed attempt: retries the stage if that is safe and the retry budget allows it.
    ///
    /// A retry is safe if the stage is idempotent or no byte of the call reached the endpoint, and
    /// if the caller has not received a part of the answer.
    fn attempt_failed(
        &self,
        now: id::Time,
        call: &attempt::Attempt,
        fault: traffic::Fault,
        delivered: bool,
        out: &mut Vec<traffic::Command>,
    ) {
        let Some(progress) = self.requests.get(call.request) else {
            return;
        };
        let idempotent = progress.stage().idempotent;
        let refused = fault == traffic::Fault::Refused;
        let safe = (idempotent || refused) && !delivered && now < progress.arrival.deadline;
        let tried = progress.tried.len() as u32;
        let retry = safe
            && self
                .pool(&call.service)
                .is_some_and(|pool| pool.lock().allow_retry(now, fault, tried));
        if refused {
            self.requests.update(call.request, |progress| {
                // The refused call ran nothing, so the request may still be cancelled unless an
                // earlier stage is not idempotent.
                let before = &progress.pipeline.stages[..progress.stage];
                progress.must_finish = before.iter().any(|stage| !stage.idempotent);
            });
        }
        if retry {
            out.push(traffic::Command::Explain(traffic::Decision {
                request: Some(call.request),
                kind: "retry",
                subject: format!("{}/{}", call.pipeline, call.stage),
                candidates: 0,
                chosen: String::new(),
                why: format!("{fault:?} on {} in attempt {tried}", call.endpoint),
            }));
            return self.enter_stage(now, call.request, out);
        }
        let code = match fault {
            _ if idempotent && now >= progress.arrival.deadline => code::Code::Deadline,
            traffic::Fault::Refused => code::Code::StageFailed,
            _ if !idempotent => code::Code::OutcomeLost,
            traffic::Fault::Garbled => code::Code::BadAnswer,
            _ => code::Code::StageFailed,
        };
        let run = match code {
            code::Code::OutcomeLost => Some(code::Run::Unknown),
            _ => delivered.then_some(code::Run::Yes),
        };
        self.close(call.request, &admission::Refusal::retryable(code), run, out);
    }

    /// Cancels a request whose caller closed the connection.
    ///
    /// Once a stage that is not idempotent has been dispatched, the request continues to its end,
    /// because a repeat with the same key gets its answer.
    pub(crate) fn caller_gone(&self, request: id::RequestId, out: &mut Vec<traffic::Command>) {
        if self.requests.get(request).is_some_and(|progress| !progress.must_finish) {
            self.fail(request, &admission::Refusal::permanent(code::Code::Cancelled), out);
        }
    }

    /// Ends a request whose deadline has passed.
    pub(crate) fn overdue(&self, request: id::RequestId, out: &mut Vec<traffic::Command>) {
        self.fail(request, &admission::Refusal::retryable(code::Code::Deadline), out);
    }

    /// Ends a request whose waiting call can no longer meet the deadline.
    pub(crate) fn expired(&self, request: id::RequestId, out: &mut Vec<traffic::Command>) {
        self.fail(request, &admission::Refusal::retryable(code::Code::TooSlow), out);
    }

    /// Ends a request without an answer.
    pub(crate) fn fail(
        &self,
        request: id::RequestId,
        refusal: &admission::Refusal,
        out: &mut Vec<traffic::Command>,
    ) {
        self.close(request, refusal, None, out);
    }

    /// Ends a request without an answer. `run` overrides the value inferred from its dispatches.
    pub(crate) fn close(
        &self,
        request: id::RequestId,
        refusal: &admission::Refusal,
        run: Option<code::Run>,
        out: &mut Vec<traffic::Command>,
    ) {
        let Some(progress) = self.requests.remove(request) else {
            return;
        };
        let inferred = match &progress {
            progress if progress.claim_unknown() => code::Run::Unknown,
            progress if !progress.dispatched => code::Run::No,
            progress if progress.outcome_pending() => code::Run::Unknown,
            progress if progress.ran => code::Run::Yes,
            _ => code::Run::Unknown,
        };
        self.withdraw(&progress, out);
        let code = match refusal.code {
            code::Code::TooSlow if progress.dispatched => code::Code::Deadline,
            code => code,
        };
        let refusal = admission::Refusal { code, retry_after: refusal.retry_after };
        admission::refuse(request, &refusal, run.unwrap_or(inferred), out);
    }

    /// Ends a request with an answer.
    pub(crate) fn finish(
        &self,
        request: id::RequestId,
        end: traffic::RequestEnd,
        out: &mut Vec<traffic::Command>,
    ) {
        if let Some(progress) = self.requests.remove(request) {
            self.withdraw(&progress, out);
            out.push(traffic::Command::End { request, end });
        }
    }

    /// Removes an ended request from its queue or cancels its attempt. A call to a stage that is
    /// not idempotent is not cancelled.
    fn withdraw(&self, progress: &request::Progress, out: &mut Vec<traffic::Command>) {
        match progress.state {
            request::State::Waiting => {
                if let Some(pool) = self.pool(&progress.stage().service) {
                    pool.lock().remove(progress.arrival.request);
                }
            }
            request::State::InFlight(attempt) if progress.stage().idempotent => {
                out.push(traffic::Command::Cancel(attempt));
            }
            _ => {}
        }
    }

    /// Logs that an endpoint is cold again and reports it to all peers of the region without delay.
    pub(crate) fn announce_cold(
        &self,
        digest: message::EndpointDigest,
        out: &mut Vec<traffic::Command>,
    ) {
        out.push(traffic::Command::Explain(traffic::Decision {
            request: None,
            kind: "cold",
            subject: digest.endpoint.clone(),
            candidates: 0,
            chosen: digest.limit.to_string(),
            why: format!("restarted or slowed down, generation {}", digest.generation),
        }));
        let endpoints = vec![digest];
        self.broadcast(&message::Digest { endpoints, ..Default::default() }, out);
    }
}
