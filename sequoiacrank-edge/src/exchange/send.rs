//! One send of a request to an endpoint, up to the head of its answer.

use std::io;
use std::net;
use std::time;

use hyper::body;
use sequoiacrank_adapter::call;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::fleet;

use crate::client;
use crate::clock;
use crate::duties::usage::attempt;
use crate::exchange;
use crate::exchange::handover;
use crate::exchange::repeat;
use crate::exchange::suspect;
use crate::host;
use crate::in_flight;
use crate::memory::blocks;

/// Fractions of the target latency after which a repeatable request without an answer goes to
/// another endpoint: for plain requests, and for streams. A stream goes earlier, as the new
/// endpoint may have to process the prompt before the first event.
const FIRST_BYTE_SHARE: (f64, f64) = (1.0, 0.6);

/// The head of an answer, or why there is none.
type Answer = Result<http::Response<body::Incoming>, client::Error>;

impl exchange::Exchange {
    /// Number of sends so far.
    pub fn send_count(&self) -> u32 {
        *self.sends.borrow()
    }

    /// Takes back the count of a send that did not reach its endpoint.
    fn uncount_send(&self) {
        self.sends.send_modify(|sends| *sends -= 1);
    }

    /// Whether an answer is an error of the endpoint.
    pub(super) fn is_failure(&self, upstream: &exchange::Upstream) -> bool {
        upstream.head.status.is_server_error()
    }

    /// Time to wait for the first byte of an answer before another endpoint is tried.
    fn first_byte_timeout(&self) -> time::Duration {
        let share = match self.route.kind {
            catalog::Kind::Stream => FIRST_BYTE_SHARE.1,
            _ => FIRST_BYTE_SHARE.0,
        };
        match self.may_repeat() {
            true => self.route.target_latency.mul_f64(share).min(self.time_left()),
            false => self.time_left(),
        }
    }

    /// Whether the head of an answer shows that the endpoint does not serve the request.
    fn is_unusable(&self, answer: &Answer) -> bool {
        let Ok(answer) = answer else { return true };
        let decoded = call::Answer::decode(answer.status(), answer.headers(), &self.head.attempt);
        decoded.refused || !decoded.matches_request || answer.status().is_server_error()
    }

    /// Whether the head of an answer shows that the endpoint has not run the request.
    fn has_not_run(&self, answer: &Answer) -> bool {
        let head = match answer {
            Ok(answer) => (answer.status(), answer.headers()),
            Err(err) => return err.is_unsent(),
        };
        let decoded = call::Answer::decode(head.0, head.1, &self.head.attempt);
        decoded.refused && decoded.matches_request
    }

    /// Waits for the head of an answer. If it does not come in time, another endpoint gets the
    /// request as well, once the budget grants the repeat; the first of the two to answer serves
    /// it.
    async fn await_head<F>(&self, pending: F, resume: Option<u64>) -> handover::Head<'_, Answer>
    where
        F: Future<Output = Answer>,
    {
        let mut pending = std::pin::pin!(pending);
        let mut handover = None;
        let mut permit: Option<repeat::Permit> = None;
        loop {
            let (began, timeout) = (self.host.clock.now(), self.first_byte_timeout());
            tokio::select! {
                biased;
                answer = &mut pending => {
                    return match handover {
                        Some(handover) if self.is_unusable(&answer) => {
                            handover::Head::Moving(handover.into_send(), Some(answer))
                        }
                        _ => handover::Head::Answer(answer),
                    };
                }
                step = handover::step(&mut handover) => match (step, handover.take()) {
                    (handover::Step::Ended(Ok(upstream)), _) if !self.is_failure(&upstream) => {
                        return handover::Head::Moved(upstream);
                    }
                    (handover::Step::Ended(result), _) => permit = self.record_not_taken(result),
                    (handover::Step::Overlapped, Some(handover)) => {
                        return handover::Head::Moving(handover.into_send(), None);
                    }
                    (handover::Step::Overlapped, None) => {}
                },
                () = tokio::time::sleep(timeout), if handover.is_none() => {
                    if !self.may_repeat() {
                        return handover::Head::Answer(Err(client::Error::Timeout));
                    }
                    // After a pause of the process the answer may have arrived but not been read
                    // yet.
                    if self.host.clock.now() > began + timeout + clock::MAX_TIMER_DELAY {
                        continue;
                    }
                    permit = permit.or_else(|| self.switch_permit("slow"));
                    handover = permit.take().map(|permit| self.hand_over(resume, permit));
                }
            }
        }
    }

    /// Sends the request to an endpoint and waits for the head of its answer. `resume` is the last
    /// event that the caller has of a stream that the endpoint is to continue.
    ///
    /// # Errors
    ///
    /// When there is no answer for the caller.
    pub async fn send(
        &self,
        endpoint: &str,
        address: net::SocketAddr,
        resume: Option<u64>,
        permit: repeat::Permit,
    ) -> Result<exchange::Upstream, exchange::SendError> {
        // Streams count with their first event.
        let counted = self.usage.clone().filter(|_| self.route.kind != catalog::Kind::Stream);
        let sent = attempt::Sent::new(counted);
        let result = self.send_counted(endpoint, address, resume, permit, &sent).await;
        sent.settle(!result.as_ref().is_err_and(|err| !err.may_have_run()));
        result
    }

    /// Like [`Self::send`]; records in `sent` when the request is sent.
    async fn send_counted(
        &self,
        endpoint: &str,
        address: net::SocketAddr,
        resume: Option<u64>,
        permit: repeat::Permit,
        sent: &attempt::Sent,
    ) -> Result<exchange::Upstream, exchange::SendError> {
        let host = &self.host;
        let mut call = in_flight::Call::begin(host, endpoint);
        let connection = match self.route.is_repeatable() {
            true => host.pool.get(address).await,
            false => host.pool.connect(address).await,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(err) => return Err(self.send_error(call, &err, permit)),
        };
        if !call.is_choice_valid() {
            return Err(self.withdraw(call, permit));
        }
        // Stage work and queues come between admission and this send.
        if self.is_suspect() {
            call.end(fleet::End::Cancelled);
            return Err(exchange::SendError::Suspect);
        }
        self.sends.send_modify(|sends| *sends += 1);
        sent.begin();
        call.record_sent(&self.route.name);
        let timeout = self.first_byte_timeout();
        let session = self.session.map(|session| format!("{session:016x}"));
        log::info!(target: "request", id = self.head.attempt.as_str(), endpoint, send = self.send_count(), session, version = self.version, known = self.records_age(), left = host::millis(self.time_left()), patience = host::millis(timeout), flight = host.facts.borrow().fleet.in_flight(endpoint); "sent");
        let request = self.build_request(endpoint, resume);
        let mut head = self.await_head(connection.send(request), resume).await;
        let is_unsent = matches!(&head, handover::Head::Answer(Err(err)) if err.is_unsent());
        if is_unsent && connection.is_used() {
            // The endpoint closed the connection while it was idle.
            connection = match host.pool.connect(address).await {
                Ok(connection) => connection,
                Err(err) => {
                    self.uncount_send();
                    return Err(self.send_error(call, &err, permit));
                }
            };
            if !call.is_choice_valid() {
                self.uncount_send();
                return Err(self.withdraw(call, permit));
            }
            let request = self.build_request(endpoint, resume);
            head = self.await_head(connection.send(request), resume).await;
        }
        let answer = match head {
            handover::Head::Answer(answer) => answer,
            handover::Head::Moved(upstream) => {
                sent.settle(true);
                self.end_handed_over(call, None);
                return Ok(*upstream);
            }
            handover::Head::Moving(send, answer) => {
                // Cancels the work at this endpoint.
                drop(connection);
                sent.settle(!answer.as_ref().is_some_and(|it| self.has_not_run(it)));
                self.end_handed_over(call, answer);
                return send.await.map(|upstream| *upstream);
            }
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(err) => return Err(self.send_error(call, &err, permit)),
        };
        self.check_answer(call, connection, answer)
    }

    /// Ends a call before the request is sent, as the choice of its endpoint is no longer valid.
    fn withdraw(&self, call: in_flight::Call, permit: repeat::Permit) -> exchange::SendError {
        let (id, age) = (self.head.attempt.as_str(), host::millis(call.elapsed()));
        log::info!(target: "request", id, endpoint = call.endpoint.as_str(), age; "choice outdated");
        call.end(fleet::End::Cancelled);
        exchange::SendError::Unsent(permit)
    }

    /// Records a failed call and returns the error for it.
    fn send_error(
        &self,
        call: in_flight::Call,
        err: &client::Error,
        permit: repeat::Permit,
    ) -> exchange::SendError {
        let code = self.record_failure(call, err);
        match err.is_unsent() {
            true => exchange::SendError::Unsent(permit),
            false => exchange::SendError::Failed(code),
        }
    }

    /// Records that a call ended without a complete answer. Returns the code for the caller if the
    /// request may have run and is not sent again.
    pub(super) fn record_failure(&self, call: in_flight::Call, err: &client::Error) -> code::Code {
        let id = self.head.attempt.as_str();
        let reason = err.to_string();
        let took = host::millis(self.host.clock.now().saturating_sub(self.began));
        log::warn!(target: "request", id, endpoint = call.endpoint.as_str(), took, reason = reason.as_str(); "send failed");
        let (end, code) = match err {
            client::Error::Connect(_) => (fleet::End::Lost, code::Code::OutcomeLost),
            client::Error::Timeout if self.time_left() < exchange::MIN_TIME_LEFT => {
                (fleet::End::Bad, code::Code::Deadline)
            }
            // The endpoint is sound; this host gave its answer up.
            client::Error::NoRoom => (fleet::End::Cancelled, code::Code::OutcomeLost),
            client::Error::Timeout => (fleet::End::Silent, code::Code::StageFailed),
            client::Error::Broken(_) | client::Error::TooLarge => {
                (fleet::End::Broken, code::Code::OutcomeLost)
            }
        };
        self.record_crash(&call.endpoint, end, err);
        call.end(end);
        code
    }

    /// Records a crash of the endpoint if the error shows one.
    fn record_crash(&self, endpoint: &str, end: fleet::End, err: &client::Error) {
        match err {
            client::Error::Connect(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                suspect::record_down(&self.host, endpoint);
            }
            _ if end == fleet::End::Broken => self.record_broken(endpoint),
            _ => {}
        }
    }

    /// The request to an endpoint.
    fn build_request(&self, endpoint: &str, resume: Option<u64>) -> http::Request<blocks::Blocks> {
        let results = self.results.borrow();
        let workspace_rank = self.workspace.as_ref().and_then(|it| it.rank);
        let urgency = workspace_rank.unwrap_or(self.route.rank);
        let metadata = call::Metadata {
            endpoint,
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            budget: self.time_left(),
            results: results.as_ref().map_or(&[], |results| &results.handles),
            urgency: self.route.session_affinity.then_some(urgency),
            resume,
        };
        let mut request = http::Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = call::headers(&self.forwarded, &metadata);
        request
    }
}
