//! The handling of one request of a caller: admission, stage work, sends to endpoints, answer.

mod admission;
mod answer;
mod choice;
mod error;
pub mod handover;
mod pending;
pub mod repeat;
mod send;
mod suspect;
mod work;

use std::cell;
use std::rc;
use std::sync;
use std::time;

use hyper::body;
use sequoiacrank_adapter::call;
use sequoiacrank_adapter::ingress;
use sequoiacrank_adapter::store;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::crash;
use sequoiacrank_kernel::edge::fleet;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::id;
use tokio::sync::watch;

use crate::body::Body;
use crate::client;
use crate::duties;
use crate::duties::usage::attempt;
use crate::front;
use crate::host;
use crate::in_flight;
use crate::memory::blocks;
use crate::refusal;
use crate::stages;
use crate::stop;
use crate::stream;

pub use error::SendError;

/// HTTP status of the result codes that say that a request did not run.
const NOT_RUN_STATUS: u16 = 503;
/// Shortest time until the deadline in which a request is still sent to an endpoint.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(10);
/// Initial estimate of the time that a request needs after its stages.
const DEFAULT_REQUEST_TIME: time::Duration = time::Duration::from_millis(120);
/// The newest request has the weight 1 / `REQUEST_TIME_DIVISOR` in the moving average of that time.
const REQUEST_TIME_DIVISOR: u32 = 8;
/// Number of sends that reached no endpoint, or a wrong one, after which a request fails. The
/// route's maximum number of attempts does not bound them.
pub const MAX_UNREACHED: usize = 4;

/// An admitted request.
pub struct Exchange {
    pub(crate) host: rc::Rc<host::Host>,
    pub(crate) head: ingress::Head,
    pub(crate) route: sync::Arc<catalog::Route>,
    service: id::ServiceId,
    workspace: Option<sync::Arc<catalog::Workspace>>,
    method: http::Method,
    uri: http::Uri,
    /// Headers that are forwarded to endpoints.
    forwarded: http::HeaderMap,
    body: blocks::Blocks,
    /// What identifies the request if it crashes endpoints.
    identity: crash::Request,
    pub(crate) began: id::Time,
    pub(crate) deadline: id::Time,
    /// When the route's target latency is over.
    target_time: id::Time,
    /// Priority rank; 0 is the most urgent.
    rank: u32,
    /// Version of the configuration that was in force at admission.
    version: catalog::Version,
    /// Key of its session, if the route has session affinity.
    session: Option<u64>,
    pub(crate) results: cell::RefCell<Option<stages::Results>>,
    tried: cell::RefCell<Vec<id::EndpointId>>,
    /// Endpoint that the request left because it was silent.
    left: cell::RefCell<Option<id::EndpointId>>,
    /// Endpoint that was acquired before the stage work began, and when.
    reserved: cell::RefCell<Option<(choice::Target, id::Time)>>,
    /// Number of sends so far.
    sends: watch::Sender<u32>,
    /// Form of the stream that the caller gets, once it has begun.
    form: cell::OnceCell<call::Form>,
    /// Whether an endpoint may have run it.
    maybe_ran: cell::Cell<bool>,
    /// Whether it is counted in a usage window; `None` if requests are not counted.
    pub(crate) usage: Option<rc::Rc<attempt::Attempt>>,
    _active: stop::ActiveRequest,
}

/// An endpoint's answer of which the head has arrived.
pub struct Upstream {
    pub(crate) connection: client::Connection,
    pub(crate) head: http::response::Parts,
    pub(crate) body: body::Incoming,
    pub(crate) call: in_flight::Call,
    /// What the adapter decoded from `head`.
    pub(crate) decoded: call::Answer,
}

/// Answers a request of a caller.
pub async fn serve(
    host: &rc::Rc<host::Host>,
    request: http::Request<body::Incoming>,
) -> front::Answer {
    let (parts, body) = request.into_parts();
    let pending = pending::Pending::begin(host, &parts.headers);
    let mut answer = match admission::admit(host, parts, body).await {
        Ok(exchange) => rc::Rc::new(exchange).run().await,
        Err(refusal) => refusal.answer(),
    };
    pending.end();
    if host.stop.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer
}

impl Exchange {
    /// Time until the deadline.
    pub fn time_left(&self) -> time::Duration {
        self.deadline.saturating_sub(self.host.clock.now())
    }

    /// Logs and counts a refusal, and makes the answer for it.
    fn refuse(&self, refusal: refusal::Refusal) -> front::Answer {
        // An earlier endpoint may have run the request even if the last one did not, so the answer
        // must not say that it did not run.
        let refusal = match self.maybe_ran.get() && refusal.code.status() == NOT_RUN_STATUS {
            true => refusal::Refusal::new(code::Code::StageFailed),
            false => refusal,
        };
        let number = refusal.code.number();
        let took = host::millis(self.host.clock.now().saturating_sub(self.began));
        let after = refusal.retry_after.map_or(0, host::millis);
        self.host
            .metrics
            .requests
            .with_label_values(&[&self.route.name, &number.to_string()])
            .inc();
        log::warn!(target: "request", id = self.head.attempt.as_str(), route = self.route.name.as_str(), code = number, version = self.version, known = self.records_age(), sends = self.send_count(), took, after; "refused");
        refusal.answer()
    }

    /// Answers the request, at the latest when the process ends.
    async fn run(self: rc::Rc<Self>) -> front::Answer {
        let answer = tokio::select! {
            biased;
            answer = self.clone().run_to_end() => Some(answer),
            () = self.host.stop.reached(stop::Phase::Ending) => None,
        };
        answer.unwrap_or_else(|| {
            self.refuse(match self.send_count() {
                0 => refusal::Refusal::leaving(),
                _ => refusal::Refusal::new(code::Code::OutcomeLost),
            })
        })
    }

    /// Runs the stages of the request, sends it and returns the answer.
    async fn run_to_end(self: rc::Rc<Self>) -> front::Answer {
        if let Err(refusal) = self.run_stages().await {
            return self.refuse(refusal);
        }
        match self.send_until_answered().await {
            Ok(upstream) => self.respond(upstream).await,
            Err(refusal) => self.refuse(refusal),
        }
    }

    /// Age of the endpoints' records from the store, in milliseconds.
    fn records_age(&self) -> Option<u64> {
        let facts = self.host.facts.borrow();
        let as_of = facts.records(store::Topic::Endpoints).current_at()?;
        Some(host::millis(self.host.clock.now().saturating_sub(as_of)))
    }

    /// Sends the request, again if needed, until an endpoint begins an answer for the caller.
    async fn send_until_answered(&self) -> Result<Upstream, refusal::Refusal> {
        if !self.identity.parts.is_empty() {
            // A host that has just started does not know yet which parts others refuse.
            self.host.peers.wait_settled(&self.host).await;
        }
        let mut unreached = 0;
        let mut permit = self.request_permit("first");
        loop {
            if self.time_left() < MIN_TIME_LEFT {
                let code = match self.send_count() {
                    0 => code::Code::TooSlow,
                    _ => code::Code::Deadline,
                };
                return Err(refusal::Refusal::new(code));
            }
            let Some(granted) = permit.take() else {
                return Err(refusal::Refusal::retry_soon(code::Code::QueueFull));
            };
            let Some((endpoint, address, _)) = self.acquire().await else {
                return Err(self.no_endpoint());
            };
            self.tried.borrow_mut().push(endpoint.clone());
            permit = match self.send(&endpoint, address, self.head.resume, granted).await {
                Ok(upstream) if self.is_failure(&upstream) && self.may_repeat() => {
                    let permit = self.request_permit("failed");
                    if permit.is_none() {
                        return Ok(upstream);
                    }
                    upstream.call.end(fleet::End::Bad);
                    self.maybe_ran.set(true);
                    permit
                }
                Ok(upstream) => return Ok(upstream),
                Err(err) => self.next_permit(err, &mut unreached).await?,
            };
        }
    }

    /// Asks for a permit for the next send after a failed one; `None` if the budget refuses it.
    /// `unreached` counts the sends that reached no endpoint or a wrong one.
    async fn next_permit(
        &self,
        err: SendError,
        unreached: &mut usize,
    ) -> Result<Option<repeat::Permit>, refusal::Refusal> {
        match err {
            SendError::Unsent(_) | SendError::Refused(http::StatusCode::MISDIRECTED_REQUEST)
                if *unreached + 1 >= MAX_UNREACHED =>
            {
                duties::record_refused(&self.host, &self.service);
                Err(refusal::Refusal::retry_soon(code::Code::NoEndpoint))
            }
            SendError::Unsent(permit) => {
                *unreached += 1;
                Ok(Some(permit))
            }
            SendError::Refused(http::StatusCode::MISDIRECTED_REQUEST) => {
                *unreached += 1;
                Ok(self.request_permit("another endpoint"))
            }
            SendError::Refused(http::StatusCode::CONFLICT) if self.results.borrow().is_some() => {
                if self.send_count() > 1 {
                    return Err(refusal::Refusal::retry_soon(code::Code::QueueFull));
                }
                // The endpoint found no stage results under the handles. They are made again, but
                // only if this was the first send.
                let permit = self.request_permit("results missing");
                self.results.borrow_mut().take();
                if permit.is_some() {
                    self.run_stages().await?;
                }
                Ok(permit)
            }
            SendError::Refused(_) if self.send_count() >= self.route.max_attempts => {
                duties::record_refused(&self.host, &self.service);
                Err(refusal::Refusal::retry_soon(code::Code::QueueFull))
            }
            SendError::Refused(_) => {
                let permit = self.request_permit("refused");
                if permit.is_none() {
                    duties::record_refused(&self.host, &self.service);
                }
                Ok(permit)
            }
            SendError::Suspect => Err(refusal::Refusal::new(code::Code::Suspect)),
            SendError::Failed(code) => {
                self.maybe_ran.set(true);
                self.retry_permit("lost").map(Some).ok_or(refusal::Refusal::new(code))
            }
        }
    }

    /// Sends the request to another endpoint. `resume` is the last event that the caller has of a
    /// stream that is to be continued.
    ///
    /// # Errors
    ///
    /// When no endpoint is available or the send fails.
    pub async fn send_elsewhere(
        &self,
        resume: Option<u64>,
        permit: repeat::Permit,
    ) -> Result<Upstream, SendError> {
        if self.results.borrow().is_none() && self.run_stages().await.is_err() {
            return Err(SendError::Unsent(permit));
        }
        let Some((endpoint, address, _)) = self.acquire().await else {
            return Err(SendError::Unsent(permit));
        };
        self.tried.borrow_mut().push(endpoint.clone());
        self.send(&endpoint, address, resume, permit).await
    }

    /// Makes the answer to the caller from that of an endpoint.
    async fn respond(self: rc::Rc<Self>, upstream: Upstream) -> front::Answer {
        let took = self.host.clock.now().saturating_sub(self.began);
        let route = self.route.name.as_str();
        self.host.metrics.latency.with_label_values(&[route]).observe(took.as_secs_f64());
        let is_stream =
            self.route.kind == catalog::Kind::Stream && upstream.head.status.is_success();
        let mut answer = http::Response::new(Body::empty());
        *answer.status_mut() = upstream.head.status;
        *answer.headers_mut() = ingress::end_to_end(&upstream.head.headers);
        if is_stream {
            self.form.get_or_init(|| call::Form::decode(&upstream.head));
            self.record_request_time(&upstream);
            *answer.body_mut() = stream::start(self, upstream);
            return answer;
        }
        let Upstream { connection, body, call, decoded, head } = upstream;
        let left = self.time_left();
        let result = tokio::time::timeout(
            left,
            client::read_body(&self.host.memory, account::Class::Answer, body),
        )
        .await;
        let body = match result.unwrap_or(Err(client::Error::Timeout)) {
            Ok(body) => body,
            Err(err) => {
                let code = self.record_failure(call, &err);
                return self.refuse(refusal::Refusal::new(code));
            }
        };
        if !decoded.framed && self.has_crashed(&call).await {
            self.record_broken(&call.endpoint);
            call.end(fleet::End::Broken);
            return self.refuse(refusal::Refusal::new(code::Code::OutcomeLost));
        }
        let failed = head.status.is_server_error();
        call.end(if failed { fleet::End::Bad } else { fleet::End::Good });
        if let Some(keep_alive) = decoded.keep_alive.filter(|_| self.route.is_repeatable()) {
            self.host.pool.put(connection, keep_alive);
        }
        self.record_answered(head.status, took);
        *answer.body_mut() = Body::full(body);
        answer
    }

    /// Records that an endpoint's answer is complete; `first` is the time to its first byte.
    pub fn record_answered(&self, status: http::StatusCode, first: time::Duration) {
        if status.is_success() {
            self.record_served();
        }
        let (id, route) = (self.head.attempt.as_str(), self.route.name.as_str());
        let first = host::millis(first);
        let took = host::millis(self.host.clock.now().saturating_sub(self.began));
        self.host.metrics.requests.with_label_values(&[route, "0"]).inc();
        log::info!(target: "request", id, route, status = status.as_u16(), sends = self.send_count(), first, took; "answered");
    }

    /// Updates the estimate of the time that requests of the route need after their stages.
    fn record_request_time(&self, upstream: &Upstream) {
        let took = upstream.call.elapsed();
        let mut times = self.host.request_times.borrow_mut();
        let time = times.entry(self.route.name.clone()).or_insert(DEFAULT_REQUEST_TIME);
        *time = (*time * (REQUEST_TIME_DIVISOR - 1) + took) / REQUEST_TIME_DIVISOR;
    }
}
