//! The queue of one stage service and the state of its endpoints.

mod estimate;
mod feedback;
mod state;

use std::time;

use crate::edge::catalog;
use crate::edge::endpoint;
use crate::edge::stage;
use crate::id;
use crate::map;

pub use estimate::NEVER;

/// Interval between checks for overdue calls.
pub const TICK: time::Duration = time::Duration::from_millis(25);
/// Time beyond twice the expected time after which a call is overdue.
pub const OVERDUE_EXTRA: time::Duration = time::Duration::from_millis(150);
/// Time by which the work of each rank is placed behind that of the next more urgent rank.
const RANK_STEP: time::Duration = time::Duration::from_millis(300);
/// Number of ranks that are distinguished.
pub const RANKS: usize = 4;
/// Decay time of the arrival rate: a few calls long, so that a burst shows within one call.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(400);
/// Ratio of the pieces that a call should hold to those that just keep up with the arrival rate.
const RATE_HEADROOM: f64 = 1.2;
/// Ratio of real to expected times of calls from which an endpoint counts as slow.
const SLOW_RATIO: f64 = 1.7;
/// Interval at which a slow endpoint gets a call, to test whether it is still slow.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Weight of the newest call in the smoothed number of pieces per call.
const MEAN_PIECES_WEIGHT: f64 = 0.1;
/// Backlog beyond which an idle endpoint takes work of other zones, in calls of `needed_pieces`.
const BACKLOG_CALLS: f64 = 2.5;

/// Time after which a call is cancelled.
pub fn call_timeout(expected: time::Duration) -> time::Duration {
    expected * 6 + time::Duration::from_secs(1)
}

/// Queued pieces of one stage of one run.
#[derive(Clone, Debug)]
pub struct Group {
    /// Id of the run.
    pub run: stage::RunId,
    /// Index of the stage.
    pub stage: usize,
    /// Indices of the queued pieces.
    pub pieces: std::collections::VecDeque<u32>,
    /// Whether the run is expected to miss its target time.
    pub late: bool,
    /// Latest start for the run to meet its target time, by the usual times of its stages.
    pub due: id::Time,
    /// Latest start for the run to meet its target time on idle endpoints.
    pub latest_start: id::Time,
    /// Priority rank of the run; 0 is the most urgent.
    pub rank: u32,
    /// Time at which the group was queued.
    pub queued_at: id::Time,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// Preferred availability zone, where the inputs are stored or the results will be read.
    pub zone: Option<id::ZoneId>,
}

/// What decides the place of work in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Position {
    /// Whether the run is expected to miss its target time.
    pub late: bool,
    /// Latest start for the run to meet its target time.
    pub due: id::Time,
    /// Priority rank of the run; 0 is the most urgent.
    pub rank: u32,
}

impl Position {
    fn key(&self) -> (bool, id::Time) {
        (self.late, self.due + RANK_STEP * self.rank.min(RANKS as u32))
    }
}

impl Group {
    fn key(&self) -> (bool, id::Time) {
        Position { late: self.late, due: self.due, rank: self.rank }.key()
    }

    /// Time until which the group waits for an endpoint in its zone.
    fn wait_end(&self) -> id::Time {
        self.queued_at + Queue::max_zone_wait(self.due.saturating_sub(self.queued_at))
    }
}

/// A piece in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Id of the run.
    pub run: stage::RunId,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece within the stage.
    pub number: u32,
    /// Size of its result, in bytes.
    pub bytes: u64,
}

/// Selects groups by zone for a call to an endpoint. Groups without a zone match every filter.
enum ZoneFilter<'a> {
    /// Groups of the endpoint's zone, given here, and groups of other zones that are due.
    Own(&'a str),
    /// Like `Own`, and groups that have waited long enough or whose zone has no serving endpoint.
    Waited(&'a str),
    /// All groups.
    Any,
}

/// A call under construction.
struct Call {
    pieces: Vec<Piece>,
    /// Memory of the endpoint taken by results, including those of this call, in bytes.
    held: u64,
    /// Memory of the endpoint for results, in bytes.
    memory: u64,
    /// Latest end for the pieces that are due first.
    end_by: id::Time,
}

/// The queue of one stage service.
pub struct Queue {
    /// Batching parameters of the service.
    pub batch: catalog::Batch,
    /// Pieces that will be queued once their preceding stages complete, by rank.
    upcoming: [usize; RANKS],
    /// Exponentially decaying count of queued pieces, and the time of its last update.
    arrivals: (f64, id::Time),
    endpoints: map::FastMap<id::EndpointId, state::State>,
    /// Groups in the order of their keys.
    groups: Vec<Group>,
    queued_pieces: usize,
    /// Smoothed number of pieces per call.
    mean_pieces: f64,
    /// Smoothed ratio of the real to the declared time of a piece; the latter is approximate.
    piece_scale: f64,
    /// Smoothed ratio of real to expected times of stages.
    time_bias: f64,
}

impl Queue {
    /// Creates an empty queue without endpoints.
    pub fn new(batch: catalog::Batch) -> Self {
        Queue {
            batch,
            upcoming: [0; RANKS],
            arrivals: (0.0, id::Time::ZERO),
            endpoints: map::FastMap::default(),
            groups: Vec::new(),
            queued_pieces: 0,
            mean_pieces: 1.0,
            piece_scale: 1.0,
            time_bias: 1.0,
        }
    }

    /// Replaces the set of endpoints. Restarted endpoints get a new state, the others keep theirs.
    pub fn set_endpoints(&mut self, entries: &[&endpoint::Endpoint]) {
        let known = |id: &str, started_at: u64| {
            entries.iter().any(|e| e.id == id && e.started_at == started_at)
        };
        self.endpoints.retain(|id, state| known(id, state.started_at));
        for entry in entries {
            self.endpoints.entry(entry.id.clone()).or_insert_with(|| state::State::new(entry));
        }
    }

    /// Counts pieces that will be queued later.
    pub fn add_upcoming(&mut self, rank: u32, pieces: u32) {
        self.upcoming[(rank as usize).min(RANKS - 1)] += pieces as usize;
    }

    /// Uncounts pieces that are now queued or were cancelled.
    pub fn remove_upcoming(&mut self, rank: u32, pieces: u32) {
        let upcoming = &mut self.upcoming[(rank as usize).min(RANKS - 1)];
        *upcoming = upcoming.saturating_sub(pieces as usize);
    }

    /// Inserts a group by its due time and rank, behind the others if it is late.
    pub fn push(&mut self, group: Group) {
        if group.pieces.is_empty() {
            return;
        }
        let key = group.key();
        let at = self.groups.partition_point(|other| other.key() <= key);
        self.queued_pieces += group.pieces.len();
        self.arrivals =
            (self.arrivals_at(group.queued_at) + group.pieces.len() as f64, group.queued_at);
        self.groups.insert(at, group);
    }

    fn arrivals_at(&self, now: id::Time) -> f64 {
        let age = now.saturating_sub(self.arrivals.1).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.arrivals.0 * libm::exp(-age)
    }

    /// Number of pieces per call at which the endpoints keep up with the arrival rate.
    fn needed_pieces(&self, now: id::Time) -> usize {
        let rate = self.arrivals_at(now) / RATE_WINDOW.as_secs_f64();
        let slots = self.serving_endpoints(now) * f64::from(self.batch.slots);
        let left = slots - rate * self.piece_scale * self.batch.piece_time.as_secs_f64();
        let needed = rate * self.batch.call_time.as_secs_f64() / left;
        match left > 0.0 && needed.is_finite() {
            true => ((needed * RATE_HEADROOM).ceil() as usize).min(self.batch.max_pieces),
            false => self.batch.max_pieces,
        }
    }

    /// Queues pieces again, in the existing group of their run and stage if there is one.
    pub fn requeue(&mut self, group: Group) {
        let same = |other: &&mut Group| other.run == group.run && other.stage == group.stage;
        match self.groups.iter_mut().find(same) {
            Some(other) => {
                self.queued_pieces += group.pieces.len();
                other.pieces.extend(group.pieces);
            }
            None => self.push(group),
        }
    }

    /// Removes all pieces of a run.
    pub fn drop_run(&mut self, run: stage::RunId) {
        self.groups.retain(|group| group.run != run);
        self.queued_pieces = self.groups.iter().map(|group| group.pieces.len()).sum();
    }

    /// Removes one piece, if it is queued.
    pub fn drop_piece(&mut self, run: stage::RunId, stage: usize, piece: u32) {
        let mut dropped = 0;
        for group in self.groups.iter_mut().filter(|it| it.run == run && it.stage == stage) {
            let before = group.pieces.len();
            group.pieces.retain(|&other| other != piece);
            dropped += before - group.pieces.len();
        }
        self.queued_pieces -= dropped;
        if dropped > 0 {
            self.groups.retain(|group| !group.pieces.is_empty());
        }
    }

    /// Moves groups that can't meet their target time behind the others. Returns their runs.
    pub fn demote(&mut self, now: id::Time) -> Vec<stage::RunId> {
        let missed = |group: &Group| !group.late && now > group.latest_start;
        let runs: Vec<_> = self.groups.iter().filter(|it| missed(it)).map(|it| it.run).collect();
        if !runs.is_empty() {
            for group in &mut self.groups {
                group.late |= missed(group);
            }
            self.groups.sort_by_key(Group::key);
        }
        runs
    }

    /// Whether to send work to an endpoint: it is not slow, it is due for a probe, no endpoint
    /// serves, or it would complete a call before the others work off the queue.
    fn is_useful(&self, now: id::Time, state: &state::State) -> bool {
        if state.slowdown < SLOW_RATIO {
            return true;
        }
        if now > state.last_sent + PROBE_INTERVAL {
            return true;
        }
        if self.serving_endpoints(now) == 0.0 {
            return true;
        }
        let calls = self.queued_pieces.div_ceil(self.batch.max_pieces.max(1)) as u32;
        self.mean_time().mul_f64(state.slowdown) < self.mean_time() + self.slot_gap(now) * calls
    }

    fn is_free(&self, now: id::Time, state: &state::State) -> bool {
        let max = match state.failures {
            0 => self.batch.slots,
            _ => 1,
        };
        state.available_in(now).is_zero() && state.in_flight < max && self.is_useful(now, state)
    }

    /// Forms a call for the best free endpoint; `None` if no endpoint is free or no work fits.
    pub fn next_call(&mut self, now: id::Time) -> Option<(id::EndpointId, Vec<Piece>)> {
        if self.groups.is_empty() {
            return None;
        }
        let mut free: Vec<(&id::EndpointId, &state::State)> =
            self.endpoints.iter().filter(|(_, state)| self.is_free(now, state)).collect();
        free.sort_by(|(a, x), (b, y)| {
            (x.failures, x.slowdown > SLOW_RATIO, x.held_bytes, *a)
                .partial_cmp(&(y.failures, y.slowdown > SLOW_RATIO, y.held_bytes, *b))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let free: Vec<id::EndpointId> = free.into_iter().map(|(id, _)| id.clone()).collect();
        for id in free {
            let pieces = self.fill_call(now, &id);
            if !pieces.is_empty() {
                return Some((id, pieces));
            }
        }
        None
    }

    fn matches(&self, now: id::Time, group: &Group, filter: &ZoneFilter<'_>) -> bool {
        let Some(wanted) = group.zone.as_deref() else { return true };
        let local = |state: &state::State| state.zone == wanted && state.serves(now);
        match filter {
            ZoneFilter::Any => true,
            ZoneFilter::Own(zone) | ZoneFilter::Waited(zone) if wanted == *zone => true,
            ZoneFilter::Own(_) => now >= group.due,
            ZoneFilter::Waited(_) => now >= group.wait_end() || !self.endpoints.values().any(local),
        }
    }

    fn fill_call(&mut self, now: id::Time, id: &str) -> Vec<Piece> {
        let Some(state) = self.endpoints.get(id) else { return Vec::new() };
        let needed = self.needed_pieces(now);
        // A small call is enough to show whether a lost or slow endpoint has recovered.
        let max = match state.failures > 0 || state.slowdown > SLOW_RATIO {
            true => self.batch.max_pieces.div_ceil(4),
            false => self.batch.max_pieces,
        };
        let zone = state.zone.clone();
        let memory = match state.memory_cap {
            Some((memory, until)) if now < until => memory,
            _ => self.batch.memory,
        };
        let mut call =
            Call { pieces: Vec::new(), held: state.held_bytes, memory, end_by: id::Time::MAX };
        let backlogged = self.queued_pieces as f64 > BACKLOG_CALLS * needed as f64;
        self.collect(now, &mut call, needed, max, &ZoneFilter::Own(&zone));
        self.collect(now, &mut call, needed, needed.min(max), &ZoneFilter::Waited(&zone));
        if backlogged {
            self.collect(now, &mut call, needed, needed.min(max), &ZoneFilter::Any);
        }
        let Call { pieces, held, .. } = call;
        self.queued_pieces -= pieces.len();
        if pieces.is_empty() {
            return pieces;
        }
        self.mean_pieces += MEAN_PIECES_WEIGHT * (pieces.len() as f64 - self.mean_pieces);
        let took = self.call_time(pieces.len());
        if let Some(state) = self.endpoints.get_mut(id) {
            state.in_flight += 1;
            state.held_bytes = held;
            state.last_sent = now;
            if let Some((_, grants)) = &mut state.rate_limit {
                grants.record(now);
            }
            state.call_end = now + took.mul_f64(state.slowdown.max(1.0));
        }
        pieces
    }

    /// Moves pieces of the groups that match `filter` into a call, up to `max` pieces in all.
    fn collect(
        &mut self,
        now: id::Time,
        call: &mut Call,
        needed: usize,
        max: usize,
        filter: &ZoneFilter<'_>,
    ) {
        let mut index = 0;
        while index < self.groups.len() && call.pieces.len() < max {
            if !self.matches(now, &self.groups[index], filter) {
                index += 1;
                continue;
            }
            let due = self.groups[index].due + self.usual_time();
            let duration = self.call_time(call.pieces.len() + self.groups[index].pieces.len());
            // More pieces would make the call too long for the pieces that are due first.
            let overruns = now + duration > call.end_by && call.end_by > now + self.batch.call_time;
            if overruns && call.pieces.len() >= needed.max(1) {
                return;
            }
            call.end_by = call.end_by.min(due);
            let group = &mut self.groups[index];
            while call.pieces.len() < max && call.held + group.bytes <= call.memory {
                let Some(number) = group.pieces.pop_front() else { break };
                call.held += group.bytes;
                let (run, stage, bytes) = (group.run, group.stage, group.bytes);
                call.pieces.push(Piece { run, stage, number, bytes });
            }
            match group.pieces.is_empty() {
                true => drop(self.groups.remove(index)),
                false => index += 1,
            }
        }
    }
}

fn ratio(took: time::Duration, expected: time::Duration) -> f64 {
    took.as_secs_f64() / expected.as_secs_f64().max(0.001)
}
