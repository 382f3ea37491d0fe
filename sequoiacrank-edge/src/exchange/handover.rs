//! Handover of a request from a silent endpoint to another one.
//!
//! A silent endpoint may be sound and go on. It keeps the request until the other one has begun to
//! answer it, so that a refusal or a failure there costs the caller nothing.

use std::future;
use std::pin;
use std::time;

use hyper::body;
use sequoiacrank_adapter::call;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::fleet;
use tokio::sync::watch;

use crate::client;
use crate::exchange;
use crate::exchange::repeat;
use crate::host;
use crate::in_flight;
use crate::notices;

/// Time for which two endpoints may work on the same stream. An endpoint that is full refuses well
/// within it.
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(250);

/// A send whose answer has not begun.
pub type Send<'a> =
    pin::Pin<Box<dyn Future<Output = Result<Box<exchange::Upstream>, exchange::SendError>> + 'a>>;

/// The head of an answer, or that of another endpoint.
pub(super) enum Head<'a, A> {
    /// The endpoint answered, or the send failed.
    Answer(A),
    /// Another endpoint has begun to answer.
    Moved(Box<exchange::Upstream>),
    /// The request is left to a send to another endpoint, as the first one failed with the given
    /// result or is silent.
    Moving(Send<'a>, Option<A>),
}

/// What happened to a handover.
pub enum Step {
    /// The other endpoint has begun its answer, or the send failed.
    Ended(Result<Box<exchange::Upstream>, exchange::SendError>),
    /// The other endpoint has had the request for [`MAX_OVERLAP`] without refusing it.
    Overlapped,
}

/// A handover in progress. Dropping it cancels the send.
pub struct Handover<'a> {
    send: Send<'a>,
    /// Number of sends of the request so far.
    sends: watch::Receiver<u32>,
    max_overlap: Option<time::Duration>,
    /// When the overlap is over, once the request is sent.
    due: Option<tokio::time::Instant>,
}

impl<'a> Handover<'a> {
    async fn step(&mut self) -> Step {
        loop {
            let due = self.due;
            let overlap = async {
                match due {
                    Some(due) => tokio::time::sleep_until(due).await,
                    None => future::pending().await,
                }
            };
            tokio::select! {
                biased;
                result = &mut self.send => return Step::Ended(result),
                () = overlap => return Step::Overlapped,
                Ok(()) = self.sends.changed(), if self.max_overlap.is_some() => {
                    let overlap = self.max_overlap.take().unwrap_or_default();
                    self.due = Some(tokio::time::Instant::now() + overlap);
                }
            }
        }
    }

    /// Leaves the request to the other endpoint.
    pub fn into_send(self) -> Send<'a> {
        self.send
    }
}

/// The next step of a handover; pending for ever if there is none.
pub async fn step(handover: &mut Option<Handover<'_>>) -> Step {
    match handover {
        Some(handover) => handover.step().await,
        None => future::pending().await,
    }
}

impl exchange::Exchange {
    /// Begins to send the request to another endpoint. `resume` is the last event that the caller
    /// has of a stream.
    pub fn hand_over(&self, resume: Option<u64>, permit: repeat::Permit) -> Handover<'_> {
        let is_stream = self.route.kind == catalog::Kind::Stream;
        Handover {
            sends: self.sends.subscribe(),
            send: Box::pin(async move { self.send_elsewhere(resume, permit).await.map(Box::new) }),
            max_overlap: is_stream.then_some(MAX_OVERLAP),
            due: None,
        }
    }

    /// Remembers that the request left an endpoint because it was silent.
    pub fn record_left(&self, endpoint: &str) {
        *self.left.borrow_mut() = Some(endpoint.to_owned());
    }

    /// Begins to send the request back to the endpoint that it left because it was silent, once.
    /// That endpoint does not count as one more attempt. `None` if it takes no requests, or the
    /// budget does not grant the repeat.
    pub fn send_back(&self, resume: Option<u64>) -> Option<Send<'_>> {
        let endpoint = self.left.borrow_mut().take()?;
        let address = {
            let (now, facts) = (self.host.clock.now(), self.host.facts.borrow());
            let entry = facts.fleet.usable().find(|it| it.id == endpoint)?;
            facts.fleet.notices.accepts(now, entry.instance()).then_some(entry.address)?
        };
        if !self.route.is_repeatable() || self.time_left() <= exchange::MIN_TIME_LEFT {
            return None;
        }
        let permit = self.request_permit("back to a silent endpoint")?;
        Some(Box::pin(async move {
            if self.results.borrow().is_none() && self.run_stages().await.is_err() {
                return Err(exchange::SendError::Unsent(permit));
            }
            if !notices::acquire(&self.host, &endpoint, &self.head.attempt, self.rank).await {
                return Err(exchange::SendError::Unsent(permit));
            }
            self.send(&endpoint, address, resume, permit).await.map(Box::new)
        }))
    }

    /// Records a handover that ended without an answer for the caller. Returns its permit if
    /// nothing was sent.
    pub fn record_not_taken(
        &self,
        result: Result<Box<exchange::Upstream>, exchange::SendError>,
    ) -> Option<repeat::Permit> {
        let id = self.head.attempt.as_str();
        let (reason, permit) = match result {
            Ok(upstream) => {
                self.maybe_ran.set(true);
                let status = upstream.head.status.as_u16();
                upstream.call.end(fleet::End::Bad);
                (format!("answered with status {status}"), None)
            }
            Err(err) => {
                self.maybe_ran.set(self.maybe_ran.get() || err.may_have_run());
                (err.to_string(), err.into_permit())
            }
        };
        log::info!(target: "request", id, reason = reason.as_str(); "not taken over");
        permit
    }

    /// Ends the call to an endpoint whose request another one continues; `answer` is what came of
    /// it, `None` if it is silent.
    pub(super) fn end_handed_over(
        &self,
        call: in_flight::Call,
        answer: Option<Result<http::Response<body::Incoming>, client::Error>>,
    ) {
        let answer = match answer {
            Some(Ok(answer)) => answer,
            None => {
                self.maybe_ran.set(true);
                return self.end_silent(call);
            }
            Some(Err(err)) => {
                self.maybe_ran.set(self.maybe_ran.get() || !err.is_unsent());
                self.record_failure(call, &err);
                return;
            }
        };
        let decoded = call::Answer::decode(answer.status(), answer.headers(), &self.head.attempt);
        let refused = decoded.refused && decoded.matches_request;
        // On a connection that carried other requests, the refusal may belong to an earlier one.
        self.maybe_ran.set(true);
        call.apply_notice(&decoded.notice, false);
        call.end(match refused {
            true if decoded.misdirected => fleet::End::Replaced,
            true => fleet::End::Full,
            false => fleet::End::Bad,
        });
    }

    /// Ends the call to a silent endpoint.
    pub fn end_silent(&self, call: in_flight::Call) {
        let (id, took) = (self.head.attempt.as_str(), host::millis(call.elapsed()));
        log::info!(target: "request", id, endpoint = call.endpoint.as_str(), took; "taken over");
        self.record_left(&call.endpoint);
        call.end(fleet::End::Silent);
    }
}
