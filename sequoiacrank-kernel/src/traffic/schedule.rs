//! Assigns the free slots of a service to its waiting calls and borrows slots from peers.

use rand::Rng as _;

use crate::id;
use crate::policy;
use crate::traffic;
use crate::traffic::attempt;
use crate::traffic::loan;
use crate::traffic::pool;

/// Maximum number of unanswered loan requests per service.
const MAX_LOAN_REQUESTS: usize = 4;
/// Maximum number of slots per loan request.
const MAX_LOAN_SLOTS: u32 = 2;
/// Shortest time between two loan requests for the same endpoint.
const LOAN_REQUEST_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
/// Slots are reserved for urgent calls only if the mean time until any slot is freed exceeds this;
/// below it an urgent call loses little by waiting.
const RESERVE_WAIT: std::time::Duration = std::time::Duration::from_millis(200);
/// Number of slots below which none is reserved for urgent calls.
const MIN_RESERVE_SLOTS: u32 = 4;

/// A call that was assigned a slot.
pub(crate) struct Placed {
    pub(crate) attempt: id::AttemptId,
    pub(crate) deadline: id::Time,
    pub(crate) call: attempt::Attempt,
    pub(crate) decision: traffic::Decision,
}

/// A loan to request from a peer.
pub(crate) struct LoanRequest {
    pub(crate) lender: id::HostId,
    pub(crate) endpoint: id::EndpointId,
    pub(crate) ticket: id::Ticket,
    pub(crate) count: u32,
}

/// Result of a scheduling round.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) placed: Vec<Placed>,
    pub(crate) expired: Vec<id::RequestId>,
    pub(crate) loan_requests: Vec<LoanRequest>,
    pub(crate) returns: Vec<loan::ReturnedLoan>,
}

/// Inputs of a scheduling round from outside the pool.
pub(crate) struct Context<'a> {
    pub(crate) now: id::Time,
    /// Whether the host's own slots may be used.
    pub(crate) view_valid: bool,
    /// Returns a new loan ticket.
    pub(crate) ticket: &'a dyn Fn() -> id::Ticket,
}

/// An endpoint with a free slot, the host's own or a borrowed one.
struct FreeSlot {
    endpoint: id::EndpointId,
    loan: Option<id::Ticket>,
}

impl pool::Pool {
    /// Assigns free slots to waiting calls, requests loans for the rest and returns unused loans.
    pub(crate) fn schedule(&mut self, context: &Context<'_>) -> Outcome {
        let mut outcome = Outcome::default();
        self.expire(context.now, &mut outcome);
        self.retry_parked(context, &mut outcome);
        let versions: Vec<id::VersionId> = self.queues.keys().cloned().collect();
        for version in versions {
            self.place_queued(context, &version, &mut outcome);
            self.request_loans(context, &version, &mut outcome);
        }
        let idle = self.queued.is_empty();
        outcome.returns = self.borrowed.take_unused(context.now, idle);
        outcome
    }

    /// Removes the calls that can no longer meet their deadline.
    fn expire(&mut self, now: id::Time, outcome: &mut Outcome) {
        for queue in self.queues.values_mut() {
            outcome.expired.extend(queue.expired(now).into_iter().map(|call| call.request));
        }
        let parked = self.parked.extract_if(.., |(_, call)| call.due < now);
        outcome.expired.extend(parked.map(|(_, call)| call.request));
        for request in &outcome.expired {
            self.queued.remove(request);
        }
    }

    /// Tries to place the parked calls.
    fn retry_parked(&mut self, context: &Context<'_>, outcome: &mut Outcome) {
        for (version, call) in std::mem::take(&mut self.parked) {
            match self.place_call(context, &version, &call) {
                Some(placed) => outcome.placed.push(placed),
                None => self.parked.push((version, call)),
            }
        }
    }

    /// Places calls from the queue of `version` until slots run out or the rest is reserved.
    fn place_queued(&mut self, context: &Context<'_>, version: &str, outcome: &mut Outcome) {
        loop {
            if self.queues.get(version).is_none_or(|queue| queue.is_empty()) {
                return;
            }
            let (free, all) = self.free_slots(context, version);
            let Some(queue) = self.queues.get_mut(version) else {
                return;
            };
            let long_wait = self.mixed_classes && self.latency > RESERVE_WAIT * all;
            if free == 0 || (long_wait && reserved(queue.as_ref(), free, all)) {
                return;
            }
            let Some(call) = queue.pop(context.now) else {
                return;
            };
            match self.place_call(context, version, &call) {
                Some(placed) => outcome.placed.push(placed),
                None => self.parked.push((version.into(), call)),
            }
        }
    }

    /// Number of free slots and of all slots for calls to `version`.
    fn free_slots(&self, context: &Context<'_>, version: &str) -> (u32, u32) {
        let (mut free, mut all) = (0_u32, 0_u32);
        if context.view_valid {
            for state in self.endpoints.values().filter(|state| state.conf.version == version) {
                free = free.saturating_add(state.free(context.now));
                all = all.saturating_add(state.slots());
            }
        }
        let borrowed = self
            .borrowed
            .usable(context.now, context.now)
            .filter(|(_, held)| self.loan_usable(held, version))
            .map(|(_, held)| held.count - held.in_flight)
            .sum::<u32>();
        (free.saturating_add(borrowed), all.saturating_add(borrowed))
    }

    /// Whether calls to `version` may use a loan.
    fn loan_usable(&self, held: &loan::HeldLoan, version: &str) -> bool {
        self.endpoints.get(&held.endpoint).is_some_and(|state| {
            state.usable && state.conf.version == version && held.generation >= state.generation
        })
    }

    /// Endpoints of `version` with a free slot for a call that ends by `deadline`.
    fn free_endpoints(
        &self,
        context: &Context<'_>,
        version: &str,
        deadline: id::Time,
    ) -> Vec<FreeSlot> {
        let mut free: Vec<FreeSlot> = Vec::new();
        if context.view_valid {
            let own = |(_, state): &(&id::EndpointId, &traffic::endpoint::Endpoint)| {
                state.conf.version == version && state.free(context.now) > 0
            };
            let slots = self.endpoints.iter().filter(own);
            free.extend(slots.map(|(name, _)| FreeSlot { endpoint: name.clone(), loan: None }));
        }
        for (ticket, held) in self.borrowed.usable(context.now, deadline) {
            let duplicate = free.iter().any(|f| f.endpoint == held.endpoint);
            if !duplicate && self.loan_usable(held, version) {
                free.push(FreeSlot { endpoint: held.endpoint.clone(), loan: Some(ticket) });
            }
        }
        free
    }

    /// Chooses an endpoint for a call and takes a slot there.
    fn place_call(
        &mut self,
        context: &Context<'_>,
        version: &str,
        call: &policy::Waiting,
    ) -> Option<Placed> {
        let queued = self.queued.get(&call.request)?;
        let mut free = self.free_endpoints(context, version, queued.deadline);
        if self.has_untried(version, queued) {
            free.retain(|f| !queued.tried.contains(&f.endpoint));
        }
        let candidates: Vec<policy::Candidate> = free
            .iter()
            .filter_map(|f| {
                let state = self.endpoints.get(&f.endpoint)?;
                Some(state.candidate(context.now, &f.endpoint, &queued.prefix, self.latency))
            })
            .collect();
        let random = self.rng.next_u64();
        let (index, why) = self.placement.choose(&candidates, random)?;
        let chosen = free.get(index)?;
        let (endpoint, loan) = (chosen.endpoint.clone(), chosen.loan);
        let queued = self.queued.remove(&call.request)?;
        Some(self.start(context.now, call, queued, endpoint, loan, (candidates.len(), why)))
    }

    /// Whether `version` has an endpoint in service that the call has not tried.
    fn has_untried(&self, version: &str, queued: &pool::Queued) -> bool {
        !queued.tried.is_empty()
            && self.endpoints.iter().any(|(name, state)| {
                state.usable && state.conf.version == version && !queued.tried.contains(name)
            })
    }

    fn start(
        &mut self,
        now: id::Time,
        waiting: &policy::Waiting,
        queued: pool::Queued,
        endpoint: id::EndpointId,
        loan: Option<id::Ticket>,
        (candidates, why): (usize, &'static str),
    ) -> Placed {
        let mut version = id::VersionId::new();
        let mut in_flight = 1;
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.in_flight += u32::from(loan.is_none());
            state.prefixes.add(&queued.prefix);
            version = state.conf.version.clone();
            in_flight = state.in_flight.max(1);
        }
        if let Some(loan) = loan {
            self.borrowed.start(loan);
        }
        let slot_kind = if loan.is_some() { "borrowed slot" } else { "own slot" };
        let decision = traffic::Decision {
            request: Some(waiting.request),
            kind: "place",
            subject: format!("{}/{}", queued.pipeline, queued.stage),
            candidates: candidates as u32,
            chosen: endpoint.clone(),
            why: format!("{why}, {slot_kind}"),
        };
        let call = attempt::Attempt {
            request: waiting.request,
            fingerprint: queued.fingerprint,
            route: queued.route,
            pipeline: queued.pipeline,
            stage: queued.stage,
            service: self.service.clone(),
            version,
            endpoint,
            loan,
            started: now,
            deadline: queued.deadline,
            in_flight,
            tokens: waiting.tokens,
        };
        let attempt = self.attempt_id(now);
        Placed { attempt, deadline: queued.deadline, call, decision }
    }

    fn attempt_id(&mut self, now: id::Time) -> id::AttemptId {
        let mut random = [0; 10];
        self.rng.fill_bytes(&mut random);
        uuid::Builder::from_unix_timestamp_millis(now.as_millis() as u64, &random).into_uuid()
    }

    /// Requests loans from peers while calls to `version` wait.
    fn request_loans(&mut self, context: &Context<'_>, version: &str, outcome: &mut Outcome) {
        let waiting = self.queues.get(version).map_or(0, |queue| queue.len());
        if waiting == 0 {
            return;
        }
        let pending = self.borrowed.pending(context.now);
        let shared: Vec<id::EndpointId> = self
            .endpoints
            .iter()
            .filter(|(name, state)| {
                state.usable
                    && context.now >= state.blocked_until
                    && state.conf.version == version
                    && !state.serving.is_empty()
                    && context.now >= state.loans_after
                    && !self.borrowed.is_requested(name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let wanted = MAX_LOAN_REQUESTS.saturating_sub(pending).min(waiting).min(shared.len());
        let offset = if shared.is_empty() { 0 } else { self.random(shared.len()) };
        for i in 0..wanted {
            let endpoint = &shared[(offset + i) % shared.len()];
            let Some(lender) = self.lender(endpoint) else {
                continue;
            };
            let ticket = (context.ticket)();
            self.borrowed.request(context.now, endpoint, &lender, ticket);
            let count = MAX_LOAN_SLOTS.min(waiting as u32);
            outcome.loan_requests.push(LoanRequest {
                lender,
                endpoint: endpoint.clone(),
                ticket,
                count,
            });
            if let Some(state) = self.endpoints.get_mut(endpoint) {
                state.loans_after = context.now + LOAN_REQUEST_PAUSE;
            }
        }
    }

    /// Chooses a random host that shares the endpoint.
    fn lender(&mut self, endpoint: &str) -> Option<id::HostId> {
        let count = self.endpoints.get(endpoint)?.serving.len();
        let random = self.random(count);
        self.endpoints.get(endpoint)?.serving.get(random).cloned()
    }

    fn random(&mut self, below: usize) -> usize {
        (self.rng.next_u64() % below.max(1) as u64) as usize
    }
}

/// Whether the free slots are reserved for urgent calls.
fn reserved(queue: &dyn policy::Queue, free: u32, all: u32) -> bool {
    match queue.urgent_reserve() {
        every if every == 0 || all < MIN_RESERVE_SLOTS || queue.has_urgent() => false,
        every => free <= (all / every).max(1),
    }
}
