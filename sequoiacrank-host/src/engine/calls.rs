//! Starts the calls that the kernel dispatches and ends requests.

use std::sync;
use std::time;

use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::traffic;

use crate::engine;
use crate::problem;
use crate::runner;
use crate::session;

impl engine::Engine {
    /// Starts a call. A call that can't be started has reached no endpoint, so it ends with
    /// [`traffic::Fault::Refused`].
    pub(super) fn dispatch(&self, dispatch: traffic::Dispatch) {
        let (attempt, stage) = (dispatch.attempt, dispatch.stage);
        match self.prepare_call(dispatch) {
            Some((call, sink)) if call.session.begin_attempt(attempt, stage) => {
                self.runner.run(call, sink)
            }
            _ => {
                let ending =
                    traffic::Ending::Bad { fault: traffic::Fault::Refused, delivered: false };
                self.handle_traffic(traffic::Event::Ended { attempt, ending });
            }
        }
    }

    fn prepare_call(
        &self,
        dispatch: traffic::Dispatch,
    ) -> Option<(runner::Call, sync::Arc<dyn runner::Sink>)> {
        let session = self.sessions.get(dispatch.request)?;
        let plan = self.plan();
        let endpoint = plan.endpoints.get(&dispatch.endpoint)?;
        let kind = *session.kinds.get(dispatch.stage)?;
        let sink = self.weak_self.upgrade()?;
        Some((runner::Call::new(dispatch, session, endpoint, kind), sink))
    }

    /// Ends a request as the kernel decided; does nothing if its session no longer exists.
    pub(super) fn end_request(&self, request: id::RequestId, end: traffic::RequestEnd) {
        let Some(session) = self.sessions.get(request) else { return };
        let now = self.clock.now();
        let end = match end {
            traffic::RequestEnd::Completed => match session::answer(&session) {
                Some(answer) => session::End::Answer(answer.into()),
                None => session::End::Failed(failure(code::Code::BadAnswer, code::Run::Yes, None)),
            },
            traffic::RequestEnd::Repeat(answer) => session::End::Answer(answer.into()),
            traffic::RequestEnd::Failed { code, run, retry_after } => {
                session::End::Failed(failure(code, run, retry_after))
            }
        };
        self.end_session(now, &session, end);
    }

    fn end_session(&self, now: id::Time, session: &session::Session, end: session::End) {
        // Ending the session returns the state of the claim in the same step, so that no call can
        // begin after `NotRun` is reported.
        let Some(claim) = session.end(now, end.clone()) else { return };
        self.metrics.record_request(&session.request, &end, now);
        self.report_outcome(session, claim, &end);
    }

    /// Ends a request that the kernel has not ended, so that its caller does not wait forever.
    pub(super) fn end_overdue(&self, now: id::Time, session: &session::Session) {
        ::log::error!(request:% = session.request.id; "a request did not end by its deadline");
        let end = session::End::Failed(failure(code::Code::Deadline, code::Run::Unknown, None));
        self.end_session(now, session, end);
    }

    /// Reports to the owner of the idempotency key how the request that held its claim ended.
    fn report_outcome(
        &self,
        session: &session::Session,
        claim: session::Claim,
        end: &session::End,
    ) {
        let Some(key) = session.request.key.filter(|_| claim.granted) else { return };
        let end = match end {
            _ if !claim.dispatched => log::End::NotRun,
            session::End::Answer(answer) if answer.len() <= engine::MAX_KEPT_ANSWER_BYTES => {
                log::End::Answer(answer.to_string())
            }
            session::End::Answer(_) => log::End::Ran,
            session::End::Failed(problem) if problem.run == code::Run::Unknown => log::End::Unknown,
            session::End::Failed(problem) if problem.code == code::Code::OutcomeLost => {
                log::End::Unknown
            }
            session::End::Failed(_) => log::End::Ran,
        };
        let request = session.request.id;
        self.notify_agreement(agree::Event::Ended { key, request, end });
    }
}

fn failure(
    code: code::Code,
    run: code::Run,
    retry_after: Option<time::Duration>,
) -> problem::Problem {
    problem::Problem { code, detail: code.advice().to_owned(), run, retry_after }
}

impl runner::Sink for engine::Engine {
    fn first_byte(&self, call: &runner::Call) {
        self.handle_traffic(traffic::Event::FirstByte(call.dispatch.attempt));
    }

    fn ended(&self, call: &runner::Call, ending: traffic::Ending, elapsed: time::Duration) {
        self.metrics.record_call(call, &ending, elapsed);
        let attempt = call.dispatch.attempt;
        self.handle_traffic(traffic::Event::Ended { attempt, ending });
    }
}
