//! Admits requests and queues their calls: checks, key claims, version selection and early refusal.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::code;
use crate::id;
use crate::log;
use crate::message;
use crate::plan;
use crate::policy;
use crate::policy::Moves as _;
use crate::traffic;
use crate::traffic::pool;
use crate::traffic::request;

/// Shortest retry delay sent to callers, also used if no estimate is known.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// Longest retry delay sent to callers.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(60);

/// Why a request ends without an answer, and when its caller may retry.
pub(crate) struct Refusal {
    pub(crate) code: code::Code,
    pub(crate) retry_after: Option<time::Duration>,
}

impl Refusal {
    /// A refusal for a temporary reason; the caller may retry.
    pub(crate) fn retryable(code: code::Code) -> Refusal {
        Refusal { code, retry_after: Some(RETRY_AFTER) }
    }

    /// A refusal that a retry of the same request can't change.
    pub(crate) fn permanent(code: code::Code) -> Refusal {
        Refusal { code, retry_after: None }
    }

    /// A refusal because the request would end `shortfall` after its deadline.
    fn too_slow(shortfall: time::Duration) -> Refusal {
        let retry_after = Some(shortfall.clamp(RETRY_AFTER, MAX_RETRY_AFTER));
        Refusal { code: code::Code::TooSlow, retry_after }
    }
}

/// Least and planned time of the remaining stages of a request.
#[derive(Clone, Copy, Default)]
struct Remaining {
    least: time::Duration,
    planned: time::Duration,
}

impl traffic::Traffic {
    /// Admits an arriving request or refuses it.
    pub(crate) fn handle_arrival(
        &self,
        now: id::Time,
        arrival: traffic::Arrival,
        out: &mut Vec<traffic::Command>,
    ) {
        let request = arrival.request;
        let keyed = arrival.key.is_some();
        match self.admit(now, arrival) {
            // Only a fault of the host delivers the id of a running request a second time.
            Ok(progress) => {
                if self.requests.insert(progress) {
                    self.enter_stage(now, request, out);
                }
            }
            Err(refusal) => {
                let late = refusal.code == code::Code::TooSlow && keyed;
                let run = if late { code::Run::Unknown } else { code::Run::No };
                refuse(request, &refusal, run, out);
            }
        }
    }

    fn admit(
        &self,
        now: id::Time,
        mut arrival: traffic::Arrival,
    ) -> Result<request::Progress, Refusal> {
        let leaving = self.leaving.load(atomic::Ordering::Acquire);
        let plan = match self.plan() {
            Some(plan) if !leaving => plan,
            _ => return Err(Refusal::retryable(code::Code::NotReady)),
        };
        let route = plan
            .routes
            .get(&arrival.route)
            .filter(|route| route.workspaces.contains(&arrival.workspace))
            .ok_or(Refusal::permanent(code::Code::NoRoute))?;
        let pipeline = plan
            .pipelines
            .get(&route.pipeline)
            .filter(|pipeline| !pipeline.stages.is_empty())
            .ok_or(Refusal::permanent(code::Code::NoPipeline))?;
        if pipeline.needs_claim() && arrival.key.is_none() {
            return Err(Refusal::permanent(code::Code::NeedKey));
        }
        // Share hold times and loan terms assume that no call outlasts the pipeline's deadline.
        arrival.deadline = arrival.deadline.min(now + pipeline.deadline);
        if arrival.deadline <= now {
            return Err(Refusal::retryable(code::Code::TooSlow));
        }
        Ok(request::Progress {
            weight: plan.workspaces.get(&arrival.workspace).map_or(1, |w| w.weight),
            pipeline_id: route.pipeline.clone(),
            pipeline: sync::Arc::new(pipeline.clone()),
            arrival: sync::Arc::new(arrival),
            stage: 0,
            state: request::State::Processing,
            tried: Vec::new(),
            dispatched: false,
            ran: false,
            must_finish: false,
            claimed: false,
        })
    }

    /// Starts the current stage: claims the idempotency key if needed, else queues the call.
    pub(crate) fn enter_stage(
        &self,
        now: id::Time,
        request: id::RequestId,
        out: &mut Vec<traffic::Command>,
    ) {
        let Some(progress) = self.requests.get(request) else {
            return;
        };
        if progress.unclaimed() {
            return self.claim(&progress, out);
        }
        match self.enqueue(now, &progress) {
            Ok(pool) => {
                self.schedule(now, &pool, out);
                self.explain_wait(&progress, out);
            }
            Err(refusal) => self.fail(request, &refusal, out),
        }
    }

    fn explain_wait(&self, progress: &request::Progress, out: &mut Vec<traffic::Command>) {
        let request = progress.arrival.request;
        let waits = |live: &mut request::Progress| live.state == request::State::Waiting;
        if self.requests.update(request, waits) == Some(true) {
            out.push(traffic::Command::Explain(traffic::Decision {
                request: Some(request),
                kind: "wait",
                subject: format!("{}/{}", progress.pipeline_id, progress.stage),
                candidates: 0,
                chosen: String::new(),
                why: format!("no slot of {} is free", progress.stage().service),
            }));
        }
    }

    fn claim(&self, progress: &request::Progress, out: &mut Vec<traffic::Command>) {
        let arrival = &progress.arrival;
        let Some(key) = arrival.key else {
            return self.fail(arrival.request, &Refusal::permanent(code::Code::NeedKey), out);
        };
        let claiming = self.requests.update(arrival.request, |progress| {
            progress.state = request::State::Claiming;
        });
        if claiming.is_some() {
            out.push(traffic::Command::Claim {
                request: arrival.request,
                key,
                fingerprint: arrival.fingerprint,
                deadline: arrival.deadline,
            });
        }
    }

    /// Handles the answer to the claim of a request's key.
    pub(crate) fn handle_claim(
        &self,
        now: id::Time,
        request: id::RequestId,
        answer: message::ClaimAnswer,
        out: &mut Vec<traffic::Command>,
    ) {
        let granted = answer == message::ClaimAnswer::Granted;
        let current = self.requests.update(request, |progress| {
            let current = progress.state == request::State::Claiming;
            if current {
                progress.state = request::State::Processing;
                progress.claimed = granted;
            }
            current
        });
        if current != Some(true) {
            return;
        }
        match answer {
            message::ClaimAnswer::Granted => self.enter_stage(now, request, out),
            message::ClaimAnswer::Known(log::End::Answer(answer)) => {
                self.finish(request, traffic::RequestEnd::Repeat(answer), out);
            }
            message::ClaimAnswer::Known(log::End::Ran) => {
                let refusal = Refusal::permanent(code::Code::StageFailed);
                self.close(request, &refusal, Some(code::Run::Yes), out);
            }
            message::ClaimAnswer::Known(log::End::Unknown) => {
                let refusal = Refusal::permanent(code::Code::OutcomeLost);
                self.close(request, &refusal, Some(code::Run::Unknown), out);
            }
            message::ClaimAnswer::Known(log::End::NotRun) | message::ClaimAnswer::NotOwner => {
                self.fail(request, &Refusal::retryable(code::Code::LogDown), out);
            }
            message::ClaimAnswer::Refused { code, run } => {
                self.claim_refused(request, code, run, out);
            }
        }
    }

    /// Ends a request whose claim was refused by the owner of the key's shard. `run` says whether
    /// any request with this key ran, so `Run::No` doesn't hold if this one has dispatched a call.
    fn claim_refused(
        &self,
        request: id::RequestId,
        code: code::Code,
        run: code::Run,
        out: &mut Vec<traffic::Command>,
    ) {
        let dispatched = self.requests.update(request, |progress| progress.dispatched);
        let run = match run {
            code::Run::No if dispatched == Some(true) => None,
            run => Some(run),
        };
        self.close(request, &Refusal::retryable(code), run, out);
    }

    /// Selects the version that runs the current stage. While a move is under way, retries go to
    /// the old version, and so do all calls if no endpoint of the new version is in service.
    fn version(&self, now: id::Time, progress: &request::Progress) -> Option<id::VersionId> {
        let moves = self.moves.lock();
        let service = &progress.stage().service;
        let version = moves.version(now, service, progress.arrival.request)?;
        let fallback = moves.fallback(service, &version);
        drop(moves);
        let served = self.pool(service).is_some_and(|pool| pool.lock().serves(&version));
        match fallback {
            Some(old) if !served || !progress.tried.is_empty() => Some(old),
            _ => Some(version),
        }
    }

    /// Queues the call of a request's current stage.
    fn enqueue(
        &self,
        now: id::Time,
        progress: &request::Progress,
    ) -> Result<sync::Arc<parking_lot::Mutex<pool::Pool>>, Refusal> {
        let arrival = &progress.arrival;
        let service = &progress.stage().service;
        if self.suspects.lock().is_refused(now, arrival.fingerprint) {
            return Err(Refusal::permanent(code::Code::Crashing));
        }
        let (Some(version), Some(pool)) = (self.version(now, progress), self.pool(service)) else {
            return Err(Refusal::retryable(code::Code::NoEndpoint));
        };
        let remaining = self.remaining_time(now, progress);
        let left = arrival.deadline.saturating_sub(now);
        if left.is_zero() || remaining.least > left {
            return Err(Refusal::too_slow(remaining.least.saturating_sub(left)));
        }
        let call = entry(now, progress, remaining);
        let entered = self.requests.update(arrival.request, |live| {
            live.state = request::State::Waiting;
        });
        if entered.is_none() {
            return Ok(pool);
        }
        if progress.stage == 0 {
            self.check_later_stages(now, progress, &call, remaining)?;
        }
        self.push_call(now, progress, &pool, &version, call, remaining)?;
        Ok(pool)
    }

    /// Refuses a request before its first stage if the queue of a later stage is full or too long
    /// to meet the deadline, so that no work is spent on an answer that would be late.
    fn check_later_stages(
        &self,
        now: id::Time,
        progress: &request::Progress,
        call: &policy::Waiting,
        remaining: Remaining,
    ) -> Result<(), Refusal> {
        let left = progress.arrival.deadline.saturating_sub(now);
        for stage in progress.pipeline.stages.iter().skip(1) {
            let Some(pool) = self.pool(&stage.service) else {
                return Err(Refusal::retryable(code::Code::NoEndpoint));
            };
            let pool = pool.lock();
            if pool.full(call.class) {
                return Err(Refusal::retryable(code::Code::QueueFull));
            }
            let needed = pool.longest_wait(call) + remaining.least;
            if needed > left {
                return Err(Refusal::too_slow(needed - left));
            }
        }
        Ok(())
    }

    fn push_call(
        &self,
        now: id::Time,
        progress: &request::Progress,
        pool: &parking_lot::Mutex<pool::Pool>,
        version: &str,
        call: policy::Waiting,
        remaining: Remaining,
    ) -> Result<(), Refusal> {
        let arrival = &progress.arrival;
        let mut pool = pool.lock();
        if !pool.serves(version) {
            return Err(Refusal::retryable(code::Code::NoEndpoint));
        }
        let needed = pool.expected_wait(version, &call) + remaining.least;
        let left = arrival.deadline.saturating_sub(now);
        if progress.stage == 0 && needed > left {
            return Err(Refusal::too_slow(needed - left));
        }
        let queued = pool::Queued {
            pipeline: progress.pipeline_id.clone(),
            stage: progress.stage,
            route: arrival.route.clone(),
            fingerprint: arrival.fingerprint,
            deadline: arrival.deadline,
            prefix: arrival.prefix.clone(),
            tried: progress.tried.clone(),
        };
        match pool.push(version, call, queued) {
            true => Ok(()),
            false => Err(Refusal::retryable(code::Code::QueueFull)),
        }
    }

    fn remaining_time(&self, now: id::Time, progress: &request::Progress) -> Remaining {
        let mut sum = Remaining::default();
        for (index, stage) in progress.pipeline.stages.iter().enumerate().skip(progress.stage) {
            if let Some(pool) = self.pool(&stage.service) {
                let (least, planned) = pool.lock().times(now, &progress.pipeline_id, index);
                sum.least += least;
                sum.planned += planned;
            }
        }
        sum
    }
}

/// Builds the queue entry of a call. It is due early enough for the planned time of the remaining
/// stages, or for their least time if the planned time no longer fits.
fn entry(now: id::Time, progress: &request::Progress, remaining: Remaining) -> policy::Waiting {
    let arrival = &progress.arrival;
    let planned = arrival.deadline.saturating_sub(remaining.planned);
    let due = match planned {
        due if due > now => due,
        _ => arrival.deadline.saturating_sub(remaining.least),
    };
    policy::Waiting {
        request: arrival.request,
        workspace: arrival.workspace.clone(),
        weight: progress.weight,
        class: class(progress),
        due,
        since: now,
        tokens: arrival.tokens,
    }
}

fn class(progress: &request::Progress) -> plan::Class {
    progress.pipeline.class
}

/// Reports the end of a request that was refused or failed.
pub(crate) fn refuse(
    request: id::RequestId,
    refusal: &Refusal,
    run: code::Run,
    out: &mut Vec<traffic::Command>,
) {
    out.push(traffic::Command::Explain(traffic::Decision {
        request: Some(request),
        kind: "refuse",
        subject: format!("{}", refusal.code.number()),
        candidates: 0,
        chosen: String::new(),
        why: refusal.code.title().into(),
    }));
    let end =
        traffic::RequestEnd::Failed { code: refusal.code, run, retry_after: refusal.retry_after };
    out.push(traffic::Command::End { request, end });
}
