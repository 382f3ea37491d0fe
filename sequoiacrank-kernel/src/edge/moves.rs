//! Moves of services to new versions, as ordered by operators.
//!
//! A new version may fail or be slow at once, later, only under load or only on one route. Until it
//! has been judged it gets a small share of the requests, however many hosts there are, and each
//! host judges it by the calls of all hosts. When one host takes a version back, all do.

use std::collections;
use std::net;
use std::time;

use crate::edge::endpoint;
use crate::edge::records::order;
use crate::id;
use crate::map;
use crate::message;
use crate::policy;
use crate::rollout::comparison;

/// Fraction of the bound on a trial that hosts use. The rest covers hosts that know only some of
/// the others, and calls that are in flight while the version is taken back.
const USED_FRACTION: f64 = 0.8;
/// Share of requests sent to the new version while the bound allows it, as a multiple of the
/// bound's share. It is above 1 so that evidence comes early.
const TRIAL_FACTOR: f64 = 2.0;
/// Fraction of a move's time for which the new version is on trial, so that late faults appear
/// while it gets few requests.
const TRIAL_FRACTION: f64 = 0.6;
/// Fraction of a move's time after which the version is taken back if there is not enough evidence.
const DECISION_FRACTION: f64 = 0.8;
/// Fraction of a move's time until which its completion waits for hosts with calls to the old
/// version.
const DRAIN_FRACTION: f64 = 0.92;

/// Bound on the requests that all hosts together send to a version that turns out bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Share of the requests for its service.
    pub share: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

/// An operator's order to move a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Version that is to get all requests.
    pub target: id::VersionId,
    /// Time within which the move must end.
    pub time: time::Duration,
    /// Position of its record, which distinguishes it from earlier orders.
    pub position: order::Position,
}

impl Order {
    /// Whether an order at another position, for this target, is the same one. After a restore of
    /// the store it is written again.
    fn is_at(&self, position: order::Position, target: &str) -> bool {
        match self.position.era == position.era {
            false if !target.is_empty() => self.target == target,
            // Hosts of earlier versions name neither an era nor a target.
            _ => self.position.offset == position.offset,
        }
    }
}

/// Progress of a move. When hosts differ, the latest phase holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It is not known yet whether the move ended before this process started.
    #[default]
    Waiting,
    /// The new version gets a small share of the requests.
    Trial,
    /// The new version gets all requests; the old one still runs and could take them back.
    Moved,
    /// The old version gets all requests.
    TakenBack,
    /// The store has the move as completed; the old version is gone.
    Completed,
}

/// Status of a move in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The move has begun.
    Active,
    /// The new version gets all requests.
    Completed,
    /// The old version gets all requests.
    Reverted,
}

/// Selects the versions to which a request may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    /// Target of a move.
    pub version: id::VersionId,
    /// Whether only the target matches; if not, all other versions do.
    pub new: bool,
    /// Whether the request fails rather than go to a version that does not match.
    pub strict: bool,
}

impl Filter {
    /// Whether requests may go to this version.
    pub fn matches(&self, version: &str) -> bool {
        (self.version == version) == self.new
    }
}

/// A host's report on a move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Service.
    pub service: id::ServiceId,
    /// Position of the order's record.
    pub position: order::Position,
    /// Target of the order.
    pub target: id::VersionId,
    /// Time since the order.
    pub age: time::Duration,
    /// Progress of the move.
    pub phase: Phase,
    /// Calls of the host in flight on other versions than the target.
    pub old_calls: u32,
    /// Cumulative results of the host's calls since its start.
    pub evidence: Vec<message::Evidence>,
}

/// A change of a move's phase, as seen by this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Service.
    pub service: id::ServiceId,
    /// Target of the move.
    pub target: id::VersionId,
    /// The new phase.
    pub phase: Phase,
    /// Reason.
    pub why: String,
}

struct Move {
    order: Order,
    /// Earliest time at which any host is known to have received the order.
    began: id::Time,
    phase: Phase,
    comparison: comparison::Comparison,
    /// Whether the order was given while this process ran. Otherwise an earlier process of the host
    /// may have used the host's share of the bound's slack.
    saw_order: bool,
    /// Requests of this host since the order, and those of them that went to the target.
    requests: u64,
    to_target: u64,
    /// From the last digest of each other host: its phase, and its calls in flight on other
    /// versions.
    reports: collections::BTreeMap<net::SocketAddr, (Phase, u32)>,
    /// Status in the store, as far as this host knows.
    stored: Option<State>,
}

impl Move {
    fn deadline(&self, fraction: f64) -> id::Time {
        self.began + self.order.time.mul_f64(fraction)
    }

    fn filter(&self, hosts: usize, bound: &Bound, draw: f64) -> Filter {
        let fixed = if self.saw_order { bound.slack / hosts.max(1) as f64 } else { 0.0 };
        let max = bound.share * self.requests as f64 + fixed;
        let within = (self.to_target + 1) as f64 <= USED_FRACTION * max;
        let new = match self.phase {
            Phase::Waiting | Phase::TakenBack => false,
            Phase::Trial => within && draw < TRIAL_FACTOR * bound.share,
            Phase::Moved | Phase::Completed => true,
        };
        let strict = self.phase == Phase::TakenBack;
        Filter { version: self.order.target.clone(), new, strict }
    }

    /// Status that the store should have, given the hosts that are alive.
    fn desired_state(&self, now: id::Time, own_in_flight: u32, alive: &[net::SocketAddr]) -> State {
        let drained = |address| self.reports.get(address) == Some(&(Phase::Moved, 0));
        match self.phase {
            Phase::TakenBack => State::Reverted,
            Phase::Completed => State::Completed,
            Phase::Moved if now >= self.deadline(DRAIN_FRACTION) => State::Completed,
            Phase::Moved
                if now >= self.deadline(DECISION_FRACTION)
                    && own_in_flight == 0
                    && alive.iter().all(drained) =>
            {
                State::Completed
            }
            Phase::Waiting | Phase::Trial | Phase::Moved => State::Active,
        }
    }
}

/// A status to write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Service.
    pub service: id::ServiceId,
    /// Target of the move.
    pub target: id::VersionId,
    /// Status that the store should have.
    pub state: State,
}

/// All moves that a host knows.
#[derive(Default)]
pub struct Moves {
    moves: collections::BTreeMap<id::ServiceId, Move>,
    changes: Vec<Change>,
}

impl Moves {
    /// Replaces the orders. `observed` tells whether this process knew the previous ones, so that
    /// it saw the new ones being given.
    pub fn set_orders(
        &mut self,
        now: id::Time,
        orders: map::FastMap<id::ServiceId, Order>,
        observed: bool,
    ) {
        self.moves.retain(|service, _| orders.contains_key(service));
        for (service, order) in orders {
            let is_known = |it: &Order| {
                it.time == order.time
                    && it.target == order.target
                    && it.is_at(order.position, &order.target)
            };
            match self.moves.get_mut(&service) {
                Some(known) if is_known(&known.order) => {
                    known.order = order;
                    continue;
                }
                _ => {}
            }
            let added = Move {
                order,
                began: now,
                phase: Phase::Waiting,
                saw_order: observed,
                comparison: comparison::Comparison::default(),
                requests: 0,
                to_target: 0,
                reports: collections::BTreeMap::new(),
                stored: None,
            };
            let target = added.order.target.clone();
            self.moves.insert(service.clone(), added);
            let why = "ordered".to_owned();
            self.changes.push(Change { service, target, phase: Phase::Waiting, why });
        }
    }

    /// Whether a phase has changed since the last call of [`Self::tick`].
    pub fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Whether there are no moves.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty()
    }

    /// The versions to which the next request for `service` may go; `None` if it is not being
    /// moved. `draw` is uniform between 0 and 1.
    pub fn filter(&self, service: &str, hosts: usize, bound: &Bound, draw: f64) -> Option<Filter> {
        self.moves.get(service).map(|it| it.filter(hosts, bound, draw))
    }

    /// Whether an endpoint of a service for stage work gets no work. A call of stage work combines
    /// pieces of many requests, so versions are not tried with such calls.
    pub fn excludes(&self, entry: &endpoint::Endpoint) -> bool {
        self.moves.get(&entry.service).is_some_and(|it| match it.phase {
            Phase::Waiting | Phase::Trial | Phase::TakenBack => entry.version == it.order.target,
            Phase::Moved | Phase::Completed => entry.version != it.order.target,
        })
    }

    /// Counts a request sent to an endpoint of `version`.
    pub fn record_sent(&mut self, service: &str, version: &str) {
        if let Some(it) = self.moves.get_mut(service) {
            it.requests += 1;
            it.to_target += u64::from(version == it.order.target);
        }
    }

    /// Counts the result of a call, and takes the target back if the evidence is against it.
    pub fn record_end(&mut self, call: &policy::Call<'_>, judge: &dyn policy::Judge) {
        let Some(it) = self.moves.get_mut(call.service) else { return };
        if !matches!(it.phase, Phase::Trial | Phase::Moved) {
            return;
        }
        let moved = it.phase == Phase::Moved;
        if !it.comparison.record(call.version == it.order.target, call) {
            return;
        }
        let fault = it.comparison.fault(Some(call.route), judge, moved);
        if let Some(why) = fault.or_else(|| it.comparison.fault(None, judge, moved)) {
            self.advance(call.service, Phase::TakenBack, &why);
        }
    }

    /// This host's reports on its moves. `old` counts its calls in flight to a service on other
    /// versions than the target.
    pub fn digests<F>(&self, now: id::Time, old: F) -> Vec<Digest>
    where
        F: Fn(&str, &str) -> u32,
    {
        let digests = self.moves.iter().map(|(service, it)| Digest {
            service: service.clone(),
            position: it.order.position,
            target: it.order.target.clone(),
            age: now.saturating_sub(it.began),
            phase: it.phase,
            old_calls: old(service, &it.order.target),
            evidence: it.comparison.evidence(service),
        });
        digests.collect()
    }

    /// Merges the report of another host. `process` identifies the reporting process, as each
    /// counts its calls from zero.
    pub fn merge(&mut self, now: id::Time, from: net::SocketAddr, process: &str, digest: &Digest) {
        let Some(it) = self.moves.get_mut(&digest.service) else { return };
        if !it.order.is_at(digest.position, &digest.target) {
            return;
        }
        it.began = it.began.min(now.saturating_sub(digest.age));
        it.reports.insert(from, (digest.phase, digest.old_calls));
        for evidence in &digest.evidence {
            it.comparison.learn(process, evidence);
        }
        self.advance(&digest.service, digest.phase, "reported by another host");
    }

    /// Applies a status from the store, which takes precedence over everything else.
    pub fn apply_stored(&mut self, service: &str, target: &str, state: State) {
        let Some(it) = self.moves.get_mut(service) else { return };
        if it.order.target != target {
            return;
        }
        it.stored = Some(state);
        let phase = match state {
            State::Active => Phase::Trial,
            State::Completed => Phase::Completed,
            State::Reverted => Phase::TakenBack,
        };
        self.advance(service, phase, "status in the store");
    }

    /// Records that the store may have lost the statuses.
    pub fn forget_stored(&mut self) {
        self.moves.values_mut().for_each(|it| it.stored = None);
    }

    /// Advances a move to a later phase; earlier ones are ignored.
    fn advance(&mut self, service: &str, phase: Phase, why: &str) {
        let Some(it) = self.moves.get_mut(service) else { return };
        if phase > it.phase {
            it.phase = phase;
            let (service, target) = (service.to_owned(), it.order.target.clone());
            self.changes.push(Change { service, target, phase, why: why.to_owned() });
        }
    }

    /// Takes versions back that the evidence is against. If `decides` is set, which needs the
    /// evidence of all hosts, it also ends trials whose time has come. Returns what changed since
    /// the last call.
    pub fn tick(&mut self, now: id::Time, judge: &dyn policy::Judge, decides: bool) -> Vec<Change> {
        let mut ends = Vec::new();
        for (service, it) in &mut self.moves {
            if !matches!(it.phase, Phase::Trial | Phase::Moved) {
                continue;
            }
            if it.comparison.take_changed(now)
                && let Some(why) = it.comparison.changed_fault(judge, it.phase == Phase::Moved)
            {
                ends.push((service.clone(), Phase::TakenBack, why));
                continue;
            }
            if !decides || it.phase != Phase::Trial || now < it.deadline(TRIAL_FRACTION) {
                continue;
            }
            match it.comparison.check_step(judge) {
                Ok(()) if now < it.deadline(DECISION_FRACTION) => {
                    let (_, calls) = it.comparison.calls();
                    ends.push((service.clone(), Phase::Moved, format!("good over {calls} calls")));
                }
                Err(why) if now >= it.deadline(DECISION_FRACTION) => {
                    let why = format!("not enough evidence in time: {why}");
                    ends.push((service.clone(), Phase::TakenBack, why));
                }
                _ => {}
            }
        }
        for (service, phase, why) in ends {
            self.advance(&service, phase, &why);
        }
        std::mem::take(&mut self.changes)
    }

    /// Statuses that the store lacks, for the one host that writes them. `old` is as for
    /// [`Self::digests`].
    pub fn updates<F>(&self, now: id::Time, old: F, alive: &[net::SocketAddr]) -> Vec<Update>
    where
        F: Fn(&str, &str) -> u32,
    {
        let updates = self.moves.iter().filter_map(|(service, it)| {
            let state = it.desired_state(now, old(service, &it.order.target), alive);
            let (service, target) = (service.clone(), it.order.target.clone());
            (it.stored != Some(state)).then_some(Update { service, target, state })
        });
        updates.collect()
    }
}
