//! Executes the kernel's commands and feeds the results back to the kernel as events.

mod agreement;
mod calls;
mod gauges;
mod status;

use std::sync;
use std::sync::atomic;
use std::time;

use crossbeam::channel;
use sequoiacrank_config::settings;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::map;
use sequoiacrank_kernel::message;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

use crate::clock;
use crate::logs;
use crate::metrics;
use crate::peers;
use crate::problem;
use crate::runner;
use crate::session;

pub use agreement::Agreement;
pub use gauges::Front;
pub use status::Status;

/// Call threads beyond the bound on requests, for calls whose connection is still open after their
/// request ended.
const EXTRA_CALL_THREADS: usize = 64;
/// Time after which a streamed request without a listener is cancelled.
const ORPHAN_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time after its deadline at which a request is ended even if the kernel has not ended it.
const OVERDUE_GRACE: time::Duration = time::Duration::from_secs(10);
/// Time before the request's deadline at which waiting for its claim ends, so that the refusal can
/// still name the reason.
const CLAIM_MARGIN: time::Duration = time::Duration::from_millis(100);
/// Largest answer that is stored with the outcome of an idempotency key.
const MAX_KEPT_ANSWER_BYTES: usize = 4 * 1024;

type ApplyResult = Result<id::Revision, (code::Code, String)>;

/// A validated request, before it is admitted.
pub struct Admission {
    /// The request.
    pub request: session::Request,
    /// Estimated input tokens plus the most tokens to generate.
    pub tokens: u32,
    /// Hash of the content of the request; equal for repeats.
    pub fingerprint: id::Fingerprint,
    /// Hashes of prefixes of the prompt, shortest first.
    pub prefix: Vec<u64>,
}

/// Parts from which an [`Engine`] is made.
pub struct Parts {
    /// Settings of the host.
    pub settings: settings::Settings,
    /// Incarnation of the host, a random number drawn at each start.
    pub incarnation: id::Incarnation,
    /// Clock of the host.
    pub clock: clock::Clock,
    /// The part of the kernel that makes traffic decisions.
    pub traffic: traffic::Traffic,
    /// The other hosts.
    pub peers: sync::Arc<peers::Peers>,
    /// Requests that this host admitted.
    pub sessions: sync::Arc<session::Sessions>,
    /// Channel of events for the agreement thread.
    pub agree_sender: channel::Sender<agree::Event>,
}

/// Connects the kernel's decisions with the threads and connections of a host.
pub struct Engine {
    /// Settings of the host.
    pub settings: settings::Settings,
    /// Incarnation of the host, a random number drawn at each start.
    pub incarnation: id::Incarnation,
    /// Clock of the host.
    pub clock: clock::Clock,
    /// Requests that this host admitted.
    pub sessions: sync::Arc<session::Sessions>,
    /// The other hosts.
    pub peers: sync::Arc<peers::Peers>,
    /// Metrics of the host.
    pub metrics: metrics::Metrics,
    /// Runs calls to endpoints.
    pub runner: runner::Runner,
    traffic: traffic::Traffic,
    agree_sender: channel::Sender<agree::Event>,
    configuration: parking_lot::RwLock<Configuration>,
    /// Latches that were set.
    latches: parking_lot::Mutex<map::FastSet<log::Latch>>,
    /// Where the results of running [`Engine::apply`] calls are sent.
    pending_applies: parking_lot::Mutex<map::FastMap<id::Ticket, channel::Sender<ApplyResult>>>,
    next_ticket: atomic::AtomicU64,
    /// Streamed requests whose caller disconnected, each with the time at which it is cancelled if
    /// it has no listener by then.
    orphans: parking_lot::Mutex<Vec<(id::Time, sync::Arc<session::Session>)>>,
    /// Latest load report of each polled endpoint; `None` if it could not be polled.
    reports: parking_lot::Mutex<map::FastMap<id::EndpointId, Option<traffic::Report>>>,
    leaving: atomic::AtomicBool,
    has_left: atomic::AtomicBool,
    front: sync::OnceLock<Front>,
    /// Held while gauges are set and rendered.
    render_lock: parking_lot::Mutex<()>,
    weak_self: sync::Weak<Engine>,
}

/// The configuration in force, parsed and as text.
#[derive(Clone, Default)]
struct Configuration {
    plan: sync::Arc<plan::Plan>,
    document: sync::Arc<str>,
}

impl Engine {
    /// An engine made from its parts, without a configuration.
    pub fn new(parts: Parts) -> sync::Arc<Engine> {
        let threads = parts.settings.bounds.requests + EXTRA_CALL_THREADS;
        sync::Arc::new_cyclic(|weak_self| Engine {
            settings: parts.settings,
            incarnation: parts.incarnation,
            clock: parts.clock,
            sessions: parts.sessions,
            peers: parts.peers,
            metrics: metrics::Metrics::new(),
            runner: runner::Runner::new(threads, parts.clock),
            traffic: parts.traffic,
            agree_sender: parts.agree_sender,
            configuration: parking_lot::RwLock::default(),
            latches: parking_lot::Mutex::default(),
            pending_applies: parking_lot::Mutex::default(),
            next_ticket: atomic::AtomicU64::new(1),
            orphans: parking_lot::Mutex::default(),
            reports: parking_lot::Mutex::default(),
            leaving: false.into(),
            has_left: false.into(),
            front: sync::OnceLock::new(),
            render_lock: parking_lot::Mutex::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// The declarations in force.
    pub fn plan(&self) -> sync::Arc<plan::Plan> {
        sync::Arc::clone(&self.configuration.read().plan)
    }

    /// The declarations in force as text, with their revision.
    pub fn document(&self) -> (id::Revision, sync::Arc<str>) {
        let configuration = self.configuration.read();
        (configuration.plan.revision, sync::Arc::clone(&configuration.document))
    }

    /// Whether the host accepts new requests.
    pub fn ready(&self) -> bool {
        !self.leaving() && self.plan().revision > 0
    }

    /// Whether the host is stopping.
    pub fn leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Acquire)
    }

    /// Whether all shards of claims have been handed over to other hosts.
    pub fn has_left(&self) -> bool {
        self.has_left.load(atomic::Ordering::Acquire)
    }

    /// Refuses new requests from now on and starts the handover of shards.
    pub fn leave(&self) {
        if !self.leaving.swap(true, atomic::Ordering::AcqRel) {
            self.handle_traffic(traffic::Event::Leave);
            self.notify_agreement(agree::Event::Leave);
        }
    }

    /// A new request id; its last bytes are the tag of this host.
    pub fn request_id(&self, now: id::Time) -> id::RequestId {
        let mut bytes = [0; 10];
        let random: [u8; 6] = rand::random();
        bytes[..6].copy_from_slice(&random);
        bytes[6..].copy_from_slice(&peers::tag(&self.settings.host));
        uuid::Builder::from_unix_timestamp_millis(now.as_millis() as u64, &bytes).into_uuid()
    }

    /// Admits a request if `check` accepts it under the configuration in force.
    ///
    /// # Errors
    ///
    /// The error of `check`, or a refusal if the host has no configuration, is stopping or does not
    /// know the pipeline.
    pub fn admit<F>(&self, check: F) -> Result<sync::Arc<session::Session>, problem::Problem>
    where
        F: FnOnce(&plan::Plan, id::Time) -> Result<Admission, problem::Problem>,
    {
        let now = self.clock.now();
        // Held until the kernel has the request, so that the session and the kernel's decisions use
        // the same configuration.
        let configuration = self.configuration.read();
        let plan = &configuration.plan;
        if self.leaving() || plan.revision == 0 {
            return Err(not_ready(self.leaving()));
        }
        let admission = check(plan, now)?;
        let session = self.new_session(plan, &admission)?;
        self.sessions.add(sync::Arc::clone(&session));
        let request = &admission.request;
        let commands = self.traffic.handle(
            now,
            traffic::Event::Arrive(traffic::Arrival {
                request: request.id,
                workspace: request.workspace.clone(),
                route: request.route.clone(),
                deadline: request.deadline,
                tokens: admission.tokens,
                fingerprint: admission.fingerprint,
                prefix: admission.prefix,
                key: request.key,
            }),
        );
        drop(configuration);
        self.execute(commands);
        Ok(session)
    }

    fn new_session(
        &self,
        plan: &plan::Plan,
        admission: &Admission,
    ) -> Result<sync::Arc<session::Session>, problem::Problem> {
        let name = &admission.request.pipeline;
        let pipeline = plan.pipelines.get(name).ok_or_else(|| no_pipeline(name))?;
        let kind = |stage: &plan::Stage| plan.services.get(&stage.service).map(|found| found.kind);
        let kinds: Option<Vec<plan::Kind>> = pipeline.stages.iter().map(kind).collect();
        let kinds = kinds.ok_or_else(|| no_pipeline(name))?;
        let request = admission.request.clone();
        Ok(sync::Arc::new(session::Session::new(request, pipeline.clone(), kinds)))
    }

    /// Handles the disconnect of a caller: cancels its request at once or, if the request is
    /// streamed, after `ORPHAN_TIMEOUT` unless the stream is resumed by then.
    pub fn caller_gone(&self, session: &sync::Arc<session::Session>, streams: bool) {
        match streams {
            true => {
                let due = self.clock.now() + ORPHAN_TIMEOUT;
                self.orphans.lock().push((due, sync::Arc::clone(session)));
            }
            false => self.handle_traffic(traffic::Event::CallerGone(session.request.id)),
        }
    }

    /// Applies declarations made against revision `base` and waits for the result.
    ///
    /// # Errors
    ///
    /// A code and its detail; [`code::Code::ApplyUnknown`] if there is no result one second after
    /// `wait`.
    pub fn apply(&self, base: id::Revision, document: String, wait: time::Duration) -> ApplyResult {
        let ticket = self.next_ticket.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = channel::bounded(1);
        self.pending_applies.lock().insert(ticket, sender);
        let deadline = self.clock.now() + wait;
        self.notify_agreement(agree::Event::Apply { ticket, base, document, deadline });
        let result = receiver.recv_timeout(wait + time::Duration::from_secs(1));
        self.pending_applies.lock().remove(&ticket);
        result.unwrap_or_else(|_| Err((code::Code::ApplyUnknown, "no verdict in time".into())))
    }

    /// Passes an event to the traffic decisions of the kernel and executes the resulting commands.
    pub fn handle_traffic(&self, event: traffic::Event) {
        let commands = self.traffic.handle(self.clock.now(), event);
        self.execute(commands);
    }

    /// Sends an event to the agreement thread.
    pub fn notify_agreement(&self, event: agree::Event) {
        // Fails only after the thread has ended with the host.
        let _ = self.agree_sender.send(event);
    }

    /// Records the load report of an endpoint, or `None` if the endpoint could not be polled.
    pub fn record_report(&self, endpoint: id::EndpointId, report: Option<traffic::Report>) {
        self.reports.lock().insert(endpoint.clone(), report);
        self.handle_traffic(traffic::Event::Report { endpoint, report });
    }

    /// Handles a message of a peer.
    pub fn receive(&self, from: id::HostId, message: message::Message) {
        match message {
            message::Message::Digest(_)
            | message::Message::AskLoan { .. }
            | message::Message::Lend { .. }
            | message::Message::Return { .. } => {
                self.handle_traffic(traffic::Event::Peer { from, message });
            }
            message::Message::Leaving => {
                self.handle_traffic(traffic::Event::Peer {
                    from: from.clone(),
                    message: message.clone(),
                });
                self.notify_agreement(agree::Event::Peer { from, message });
            }
            _ => self.notify_agreement(agree::Event::Peer { from, message }),
        }
    }

    /// Lets time-dependent decisions run and cancels orphaned requests.
    pub fn tick(&self) {
        self.handle_traffic(traffic::Event::Tick);
        self.cancel_orphans();
    }

    /// Drops expired state and ends overdue requests that the kernel has not ended.
    pub fn expire(&self) {
        let now = self.clock.now();
        for session in self.sessions.overdue(now.saturating_sub(OVERDUE_GRACE)) {
            self.end_overdue(now, &session);
        }
        self.sessions.expire(now);
        self.runner.expire(now);
    }

    fn cancel_orphans(&self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        self.orphans.lock().retain(|(due, session)| {
            let is_orphan = session.ended().is_none() && !session.has_listeners();
            if is_orphan && *due <= now {
                expired.push(session.request.id);
            }
            is_orphan && *due > now
        });
        for request in expired {
            self.handle_traffic(traffic::Event::CallerGone(request));
        }
    }

    fn execute(&self, commands: Vec<traffic::Command>) {
        for command in commands {
            match command {
                traffic::Command::Claim { request, key, fingerprint, deadline } => {
                    self.notify_agreement(agree::Event::Claim(message::Claim {
                        key,
                        fingerprint,
                        request,
                        holder: self.settings.host.clone(),
                        incarnation: self.incarnation,
                        deadline: deadline.saturating_sub(CLAIM_MARGIN),
                    }));
                }
                traffic::Command::Dispatch(dispatch) => self.dispatch(dispatch),
                traffic::Command::Cancel(attempt) => self.runner.cancel(attempt),
                traffic::Command::End { request, end } => self.end_request(request, end),
                traffic::Command::Latch(latch) => self.notify_agreement(agree::Event::Latch(latch)),
                traffic::Command::Send { to, message } => self.peers.send(&to, message),
                traffic::Command::Explain(decision) => {
                    logs::decision(&self.settings.host, &decision);
                }
            }
        }
    }

    /// A view of the host's state for operators.
    pub fn status(&self) -> Status<'_> {
        Status::new(self)
    }
}

/// The error for a request to a pipeline that is not declared.
pub fn no_pipeline(name: &str) -> problem::Problem {
    let detail = format!("the pipeline {name} is not declared");
    problem::Problem::refused(code::Code::NoPipeline, detail)
}

fn not_ready(leaving: bool) -> problem::Problem {
    let detail = match leaving {
        true => "the host is leaving",
        false => "the host has no configuration yet",
    };
    problem::Problem::refused(code::Code::NotReady, detail)
}
