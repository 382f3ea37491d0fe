//! The endpoints that a host knows, their observed health, and the choice of one for a request.
//!
//! A session may come back through any host and should reach the endpoint that has its prompt
//! cached. All hosts choose by the same hash and therefore agree without communication. An endpoint
//! may also fail while its registration still lists it as usable, so a host's own observations take
//! precedence over the registration. A failed endpoint gets one request at a time until it answers
//! again.

use std::collections;
use std::time;

use crate::edge::endpoint;
use crate::edge::moves;
use crate::edge::notice;
use crate::edge::pace;
use crate::id;
use crate::map;

/// Shortest time for which a failed endpoint is avoided.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// Longest time for which a failed endpoint is avoided. It bounds how late a recovery is noticed.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);
/// Weight of the latest result in an endpoint's moving share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time in which a failure share decays to 1/e: about the length of a transient fault.
const FAILURE_DECAY: time::Duration = time::Duration::from_secs(4);
/// Share of failures above which other endpoints are preferred.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// Multiple of the usual latency after which an endpoint that has not answered counts as silent.
const SILENT_FACTOR: u32 = 4;
/// Shortest time without an answer after which an endpoint counts as silent.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(400);
/// Time for which other endpoints are preferred to one that was silent, unless it answers.
const SILENCE_TIME: time::Duration = time::Duration::from_secs(1);
/// Two connections that break within this time count as a crash of the endpoint. A single one may
/// be a lost answer, and avoiding the endpoint for it would make others process its sessions'
/// prompts again. If the endpoint did crash, the next connection fails at once.
const BREAK_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Fraction that a host uses of a rate below one request per second, as hosts time their requests
/// independently of each other.
const LOW_RATE_FACTOR: f64 = 0.8;
/// Time within which an endpoint that is new, or whose availability zone is back, reports whether
/// it is cold.
const COLD_REPORT_TIME: time::Duration = time::Duration::from_secs(5);
/// Number of further calls for which a brittle endpoint that served one seems to have room.
const ROOM_STEP: f64 = 0.25;
/// A session goes to another endpoint if its own has more calls than twice the mean of all
/// candidates plus this number.
const CROWDED_MARGIN: usize = 6;

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It answered.
    Good,
    /// It runs, but answered that it is full, or refused the request.
    Full,
    /// It answered with an error.
    Bad,
    /// The connection broke after the request was sent: the endpoint crashed, or only this answer
    /// was lost.
    Broken,
    /// It could not be reached.
    Lost,
    /// It was silent until another endpoint took the request over. It may be sound and go on.
    Silent,
    /// Another endpoint answered at its address.
    Replaced,
    /// The host cancelled the call, which says nothing about the endpoint.
    Cancelled,
}

/// A registered endpoint and the host's observations of it.
#[derive(Clone, Debug)]
struct State {
    entry: endpoint::Endpoint,
    /// Delay of the first request to it while it is cold, as a fraction of the interval between two
    /// requests, for intervals of more than a second. It is random for each host, so that hosts do
    /// not all send their first request at once.
    first_offset: f64,
    /// When it was first registered, or its availability zone came back into service.
    known_since: id::Time,
    /// Calls of this host in flight: when each began, and whether its answer has begun.
    calls: map::FastMap<u64, (id::Time, bool)>,
    /// Moving share of failures as of `last_result`.
    failure_share: f64,
    /// When a call last ended with a result.
    last_result: id::Time,
    /// Consecutive failures to reach it.
    failures: u32,
    /// Time until which it is avoided.
    backoff_until: id::Time,
    /// Time until which it counts as silent.
    silent_until: id::Time,
    /// Whether another endpoint has answered at its address since it was last registered.
    replaced: bool,
    /// When a connection to it last broke, if it has not answered since.
    last_break: Option<id::Time>,
    /// Moving average of the time to the first byte of its answers.
    usual_latency: Option<time::Duration>,
    pace: pace::Pace,
    /// Number of calls of this host that it seems to have room for, since it last refused one.
    room: Option<f64>,
}

impl State {
    /// Whether one of its calls has been without an answer for too long.
    fn is_silent(&self, now: id::Time) -> bool {
        let usual = self.usual_latency.unwrap_or(MIN_SILENCE).max(MIN_SILENCE / SILENT_FACTOR);
        let bound = (usual * SILENT_FACTOR).max(MIN_SILENCE);
        self.calls.values().any(|&(at, answered)| !answered && now > at + bound)
    }

    /// Share of failures, decayed to now. It decays because an endpoint that others are preferred
    /// to gets no requests that would show its recovery.
    fn decayed_share(&self, now: id::Time) -> f64 {
        let age = now.saturating_sub(self.last_result).as_secs_f64() / FAILURE_DECAY.as_secs_f64();
        self.failure_share * libm::exp(-age)
    }

    /// Whether `rate` allows one more request to it.
    fn has_capacity(&self, now: id::Time, rate: &pace::Rate) -> bool {
        let cold = !self.entry.cold.is_zero();
        match cold || now < self.known_since + COLD_REPORT_TIME {
            _ if cold && rate.defer_cold => false,
            false => self.pace.allows(now, rate.warm.max(rate.cold)),
            true if rate.cold >= 1.0 => self.pace.allows(now, rate.cold),
            true => {
                let rate = rate.cold * LOW_RATE_FACTOR;
                let first = self.pace.last().is_none_or(|at| at < self.known_since);
                let earliest = self.known_since + pace::interval(rate).mul_f64(self.first_offset);
                (!first || now >= earliest) && self.pace.allows(now, rate)
            }
        }
    }

    /// Whether it has room for one more call of this host, if it may not be asked in vain. `hosts`
    /// is the number of hosts that share it.
    fn has_room(&self, hosts: usize) -> bool {
        let share = f64::from(self.entry.slots) / hosts.max(1) as f64;
        (self.calls.len() as f64) < self.room.unwrap_or(share).max(1.0)
    }

    /// Order of preference; lower is better, 3 is the last resort.
    fn preference(&self, now: id::Time) -> u8 {
        match () {
            () if now < self.backoff_until => 3,
            () if self.failures > 0 && !self.calls.is_empty() => 3,
            () if self.is_silent(now) || now < self.silent_until => 2,
            () if self.decayed_share(now) > MAX_FAILURE_SHARE => 1,
            () => 0,
        }
    }
}

/// What a request requires of its endpoint.
#[derive(Clone, Debug, Default)]
pub struct Criteria<'a> {
    /// Hash of the session, the same on all hosts.
    pub session: Option<u64>,
    /// Endpoints that were tried already.
    pub excluded: &'a [id::EndpointId],
    /// Availability zone that is preferred among otherwise equal endpoints.
    pub zone: Option<&'a str>,
    /// Requests per second that this host may send to an endpoint; `None` means any number.
    pub rate: Option<pace::Rate>,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Whether endpoints with a limit are left out.
    pub unlimited: bool,
    /// Number of hosts that send requests to the endpoints.
    pub hosts: usize,
    /// Versions to which it may go; `None` means any.
    pub versions: Option<moves::Filter>,
}

/// All endpoints that a host knows.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    endpoints: collections::BTreeMap<id::EndpointId, State>,
    out_zones: map::FastSet<id::ZoneId>,
    next_call: u64,
    /// Random for each host; determines `State::first_offset`.
    seed: u64,
    /// Notices that endpoints sent in their answers.
    pub notices: notice::Notices,
}

/// Identifies a call from its start to its end.
pub type Call = u64;

impl Fleet {
    /// Creates a fleet without endpoints; `seed` is uniformly random.
    pub fn with_seed(seed: u64) -> Self {
        Fleet { seed, ..Fleet::default() }
    }

    /// Adds or updates a registration. Returns whether the endpoint is new or has restarted.
    pub fn register(&mut self, now: id::Time, entry: endpoint::Endpoint) -> bool {
        match self.endpoints.get_mut(&entry.id) {
            Some(state) if state.entry.started_at == entry.started_at => {
                state.entry = entry;
                state.replaced = false;
                false
            }
            _ => {
                let state = State {
                    entry: entry.clone(),
                    first_offset: rendezvous_hash(self.seed, &entry.id) as f64 / u64::MAX as f64,
                    known_since: now,
                    calls: map::FastMap::default(),
                    failure_share: 0.0,
                    last_result: id::Time::ZERO,
                    failures: 0,
                    backoff_until: id::Time::ZERO,
                    silent_until: id::Time::ZERO,
                    replaced: false,
                    last_break: None,
                    usual_latency: None,
                    pace: pace::Pace::default(),
                    room: None,
                };
                self.endpoints.insert(entry.id, state);
                true
            }
        }
    }

    /// Removes an endpoint. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.endpoints.remove(id).is_some()
    }

    /// Sets the availability zones that are out of service, to which nothing may be sent.
    pub fn set_out_zones(&mut self, now: id::Time, zones: map::FastSet<id::ZoneId>) {
        let old = std::mem::replace(&mut self.out_zones, zones);
        for state in self.endpoints.values_mut() {
            let zone = &state.entry.zone;
            if old.contains(zone) && !self.out_zones.contains(zone) {
                state.known_since = now;
            }
        }
    }

    /// The registration of an endpoint.
    pub fn get(&self, id: &str) -> Option<&endpoint::Endpoint> {
        self.endpoints.get(id).map(|state| &state.entry)
    }

    /// All registrations.
    pub fn entries(&self) -> impl Iterator<Item = &endpoint::Endpoint> {
        self.endpoints.values().map(|state| &state.entry)
    }

    /// Registrations to which new work may go.
    pub fn usable(&self) -> impl Iterator<Item = &endpoint::Endpoint> {
        self.available().map(|state| &state.entry)
    }

    /// Endpoints that are not leaving and whose availability zone is in service.
    fn available(&self) -> impl Iterator<Item = &State> {
        let leaves = |it: &State| it.entry.leaving || self.notices.is_leaving(it.entry.instance());
        let open = move |it: &&State| !leaves(it) && !self.out_zones.contains(&it.entry.zone);
        self.endpoints.values().filter(open)
    }

    /// Whether an endpoint's notices allow the request.
    fn admits(&self, now: id::Time, state: &State, criteria: &Criteria<'_>) -> bool {
        let instance = state.entry.instance();
        let open = self.notices.wait(now, instance, criteria.rank).is_zero();
        let has_room = self.notices.brittle(instance).is_none() || state.has_room(criteria.hosts);
        open && has_room && !(criteria.unlimited && self.notices.limit(instance).is_some())
    }

    /// Available endpoints of `service` that still own their address.
    fn candidates(&self, service: &str) -> impl Iterator<Item = &State> {
        self.available().filter(move |it| it.entry.service == service && !it.replaced)
    }

    /// Time until an endpoint of `service` takes requests of `rank` from this host, if the notices
    /// of all of them rule it out now.
    pub fn wait(&self, now: id::Time, service: &str, rank: u32) -> Option<time::Duration> {
        let wait = |it: &State| self.notices.wait(now, it.entry.instance(), rank);
        let wait = self.candidates(service).map(wait).min()?;
        (!wait.is_zero()).then_some(wait)
    }

    /// Whether no endpoint of `service` takes requests without a limit now.
    pub fn all_limited(&self, now: id::Time, service: &str) -> bool {
        let free = |it: &State| {
            let instance = it.entry.instance();
            self.notices.limit(instance).is_none() && self.notices.accepts(now, instance)
        };
        !self.candidates(service).any(free)
    }

    /// The best endpoint of `service` for `criteria`. `draw` is random and breaks ties for requests
    /// without a session.
    pub fn choose(
        &self,
        now: id::Time,
        service: &str,
        criteria: &Criteria<'_>,
        draw: u64,
    ) -> Option<&endpoint::Endpoint> {
        let all: Vec<&State> = self
            .candidates(service)
            .filter(|state| !criteria.excluded.contains(&state.entry.id))
            .filter(|state| self.admits(now, state, criteria))
            .filter(|state| criteria.rate.is_none_or(|rate| state.has_capacity(now, &rate)))
            .collect();
        let all = match &criteria.versions {
            Some(filter) => matching(all, filter),
            None => all,
        };
        let mean = all.iter().map(|state| state.calls.len()).sum::<usize>() / all.len().max(1);
        let key = |state: &State| {
            let preference = state.preference(now);
            let hash = rendezvous_hash(criteria.session.unwrap_or(draw), &state.entry.id);
            match criteria.session {
                Some(_) => {
                    let crowded = state.calls.len() > 2 * mean + CROWDED_MARGIN;
                    (preference, u64::from(crowded), 0, hash)
                }
                None => {
                    let far = criteria.zone.is_some_and(|zone| zone != state.entry.zone);
                    (preference, state.calls.len() as u64, u64::from(far), hash)
                }
            }
        };
        all.into_iter().min_by_key(|state| key(state)).map(|state| &state.entry)
    }

    /// Records the start of a call to an endpoint.
    pub fn begin(&mut self, now: id::Time, id: &str) -> Call {
        self.next_call += 1;
        let call = self.next_call;
        if let Some(state) = self.endpoints.get_mut(id) {
            state.calls.insert(call, (now, false));
            state.pace.record(now);
        }
        call
    }

    /// Records the first byte of the answer to a call.
    pub fn answered(&mut self, now: id::Time, id: &str, call: Call) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        let Some(progress) = state.calls.get_mut(&call) else { return };
        progress.1 = true;
        let took = now.saturating_sub(progress.0);
        state.usual_latency =
            Some(state.usual_latency.map_or(took, |usual| (usual * 7 + took) / 8));
        state.failures = 0;
        state.silent_until = id::Time::ZERO;
        state.last_break = None;
    }

    /// Records the end of a call.
    pub fn end(&mut self, now: id::Time, id: &str, call: Call, end: End) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        if state.calls.remove(&call).is_none() {
            return;
        }
        let in_flight = state.calls.len() as f64;
        state.room = match end {
            End::Full => Some((in_flight / 2.0).max(1.0)),
            End::Good => state.room.map(|room| room + ROOM_STEP),
            _ => state.room,
        };
        let failed = match end {
            End::Good | End::Full => 0.0,
            End::Bad | End::Broken | End::Lost | End::Silent | End::Replaced => 1.0,
            End::Cancelled => return,
        };
        let share = state.decayed_share(now);
        state.failure_share = share + FAILURE_WEIGHT * (failed - share);
        state.last_result = now;
        let first = state.last_break.is_none_or(|at| now >= at + BREAK_WINDOW);
        state.replaced |= end == End::Replaced;
        match end {
            End::Broken if first => state.last_break = Some(now),
            End::Broken | End::Lost | End::Replaced => {
                state.failures = state.failures.saturating_add(1);
                let backoff = MIN_BACKOFF * (1 << state.failures.min(4).saturating_sub(1));
                state.backoff_until = state.backoff_until.max(now + backoff.min(MAX_BACKOFF));
            }
            End::Silent => state.silent_until = now + SILENCE_TIME,
            _ => state.failures = 0,
        }
    }

    /// Calls of this host in flight on endpoints of `service` with another version than `version`.
    pub fn in_flight_except(&self, service: &str, version: &str) -> u32 {
        let others = self
            .endpoints
            .values()
            .filter(|it| it.entry.service == service && it.entry.version != version);
        others.map(|it| it.calls.len() as u32).sum()
    }

    /// Calls of this host in flight on an endpoint.
    pub fn in_flight(&self, id: &str) -> usize {
        self.endpoints.get(id).map_or(0, |state| state.calls.len())
    }
}

/// The endpoints whose version matches the filter; all if none does and the filter is not strict.
fn matching<'a>(all: Vec<&'a State>, filter: &moves::Filter) -> Vec<&'a State> {
    let (matching, others): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|state| filter.matches(&state.entry.version));
    match matching.is_empty() && !filter.strict {
        true => others,
        false => matching,
    }
}

/// Rendezvous hash of an endpoint for a session; all hosts compute the same.
fn rendezvous_hash(session: u64, id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), session)
}
