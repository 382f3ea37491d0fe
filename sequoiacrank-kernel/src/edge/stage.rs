//! Stage work of all hosts, formed into calls by one host.
//!
//! Answers the load that binds most: each call to a stage endpoint takes the same long time whatever it
//! holds, so hosts that each send only their own pieces use up all slots with calls that are nearly empty.
//! One host, the batcher, sees all pieces; whenever a slot is free it fills one call with the pieces that
//! are due first. Calls grow with the load by themselves. What can't be finished in time is refused when it
//! arrives, because pieces that come late cost the same slots as those that are in time.

pub mod lane;
mod run;
pub mod shard;

use std::time;

use crate::edge::catalog;
use crate::edge::endpoint;
use crate::id;
use crate::map;

pub use run::Ask;
pub use run::Run;
pub use run::Work;

/// Names a result of a piece at the endpoint that made it.
pub type Handle = String;
/// Names the stage work of one request on the batcher.
pub type RunId = u64;
/// Names a call to a stage endpoint.
pub type CallId = u64;

/// Times that a piece may be sent in all.
const TRIES: u32 = 3;
/// Time after the deadline at which results that nobody released are given up.
const FORGET: time::Duration = time::Duration::from_secs(1);
/// Longest time between the release of a result and the call that frees it.
const FREE_WITHIN: time::Duration = time::Duration::from_secs(1);
/// Part of an endpoint's memory for results that may be released before they are freed at once.
const FREE_PART: u64 = 10;
/// Time that a run of each rank must have to spare beyond that of the next more urgent one: more urgent
/// work that comes later goes before it.
const RANK_SPARE: time::Duration = time::Duration::from_millis(200);
/// Longest time after which a refused caller is asked to come back: endpoints that are lost are back, or
/// known to be gone, by then.
const LATEST_RETURN: time::Duration = time::Duration::from_secs(2);
/// Lateness up to which a refused caller comes back as soon as its work would be in time.
const SHORT: time::Duration = time::Duration::from_millis(100);
/// Part of its time left after which a caller does not come back any more.
const COMEBACK: f64 = 0.32;
/// Bytes that a stage's results bring to the next stage from which on both are done in one zone.
const LARGE: u64 = 500_000;

/// What one item of a call works on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The request's own key, for a stage that needs no other.
    Key(String),
    /// Results of the stages before.
    Results(Vec<Handle>),
}

/// One piece in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request's own id.
    pub request: String,
    /// Number of the stage.
    pub stage: usize,
    /// Number of the piece.
    pub piece: u32,
    /// Time after which the result is of no use.
    pub remaining: time::Duration,
    /// What it works on.
    pub input: Input,
}

/// How one item of a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its result lies at the endpoint.
    Made(Handle),
    /// Its time was over before its turn.
    Late,
    /// A result that it needs is gone.
    Gone,
    /// The endpoint has no memory for its result.
    Room,
    /// The endpoint failed.
    Failed,
}

/// How a call ended without an answer that names its items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint said that it is full; nothing ran.
    Full,
    /// The endpoint was not reached or broke off.
    Lost,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a call.
    Call {
        /// Names it when it ends.
        call: CallId,
        /// Endpoint that is to do it.
        endpoint: id::EndpointId,
        /// Its pieces.
        items: Vec<Item>,
        /// Time after which the call is to be broken off.
        limit: time::Duration,
    },
    /// Tell who asked that all results are made.
    Ready {
        /// The run.
        run: RunId,
        /// Results of the stages that no other stage needs.
        results: Vec<Handle>,
    },
    /// Tell who asked that it can't be done.
    Failed {
        /// The run.
        run: RunId,
    },
    /// Free results at an endpoint.
    Free {
        /// The endpoint.
        endpoint: id::EndpointId,
        /// Its results.
        results: Vec<Handle>,
    },
}

/// Whether stage work is taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It will be done.
    Taken {
        /// Names it.
        run: RunId,
        /// Time in which it is expected to be done.
        expected: time::Duration,
    },
    /// It would come too late. Nothing was done.
    Refused {
        /// Time after which there is room again.
        after: time::Duration,
        /// Time in which it would have been done.
        expected: time::Duration,
    },
}

struct Sent {
    lane: id::ServiceId,
    endpoint: id::EndpointId,
    pieces: Vec<lane::Piece>,
    at: id::Time,
    expected: time::Duration,
    /// Whether its pieces were queued again because it takes too long.
    overdue: bool,
}

/// All stage work of one batcher.
#[derive(Default)]
pub struct Board {
    lanes: map::FastMap<id::ServiceId, lane::Lane>,
    runs: map::FastMap<RunId, Run>,
    calls: map::FastMap<CallId, Sent>,
    next: u64,
    commands: Vec<Command>,
}

/// Bits of an id that tell the runs and calls of one board; those above tell the boards.
const BOARD_BITS: u32 = 40;

/// Number of the board to which a run or call belongs.
pub fn board_of(id: u64) -> u64 {
    id >> BOARD_BITS
}

impl Board {
    /// An empty board whose ids differ from those of boards with other numbers.
    pub fn numbered(number: u64) -> Self {
        Board { next: number << BOARD_BITS, ..Board::default() }
    }

    /// Takes over the services of a configuration.
    pub fn configure(&mut self, catalog: &catalog::Catalog) {
        for service in catalog.services() {
            let Some(batch) = &service.batch else { continue };
            self.lanes
                .entry(service.name.clone())
                .and_modify(|lane| lane.batch = batch.clone())
                .or_insert_with(|| lane::Lane::new(batch.clone()));
        }
    }

    /// Takes over the endpoints to which work may go.
    pub fn endpoints<'a, I>(&mut self, entries: I)
    where
        I: Iterator<Item = &'a endpoint::Endpoint>,
    {
        let mut known: map::FastMap<&str, Vec<&endpoint::Endpoint>> = map::FastMap::default();
        for entry in entries {
            known.entry(&entry.service).or_default().push(entry);
        }
        for (service, lane) in &mut self.lanes {
            lane.set_endpoints(known.get(service.as_str()).map_or(&[], Vec::as_slice));
        }
    }

    /// Takes work on, or refuses it if it can't be in time.
    pub fn ask(&mut self, now: id::Time, ask: Ask) -> Verdict {
        let expected = self.estimate(now, &ask);
        let end = now + expected + ask.tail;
        let late = end + RANK_SPARE * ask.rank.min(lane::RANKS as u32) > ask.aim;
        let refused = match late {
            _ if end > ask.deadline => true,
            true => !self.has_room_for_late(&ask),
            false => false,
        };
        if refused {
            let after = self.comeback(now, &ask, end);
            return Verdict::Refused { after, expected };
        }
        self.next += 1;
        let id = self.next;
        let run = Run::new(ask, late);
        for (stage, work) in run.ask.stages.iter().enumerate() {
            if let Some(lane) = self.lanes.get_mut(&work.service) {
                lane.expect(run.ask.rank, run.count(stage));
            }
        }
        self.runs.insert(id, run);
        self.advance(now, id);
        Verdict::Taken { run: id, expected }
    }

    /// Time in which the stages would be done.
    fn estimate(&self, now: id::Time, ask: &Ask) -> time::Duration {
        let mut ends: Vec<time::Duration> = Vec::with_capacity(ask.stages.len());
        for (stage, work) in ask.stages.iter().enumerate() {
            let start = work.after.iter().filter_map(|&s| ends.get(s)).max().copied();
            let start = start.unwrap_or_default();
            let rest = run::downstream(&ask.stages, stage, |work| self.usual(work));
            let due = ask.aim.saturating_sub(ask.tail + rest);
            let took = match self.lanes.get(&work.service) {
                _ if work.pieces == 0 => time::Duration::ZERO,
                Some(lane) => lane.time(
                    now,
                    start,
                    lane::Place { late: false, due, rank: ask.rank },
                    work.pieces,
                ),
                None => lane::NEVER,
            };
            ends.push(start.saturating_add(took));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Time that a stage usually takes.
    fn usual(&self, work: &Work) -> time::Duration {
        self.lanes.get(&work.service).map_or(time::Duration::ZERO, lane::Lane::usual)
    }

    /// Time that a stage takes if nothing else is to do.
    fn fastest(&self, work: &Work) -> time::Duration {
        let lane = self.lanes.get(&work.service);
        lane.map_or(time::Duration::ZERO, |lane| lane.least(work.pieces as usize))
    }

    /// The availability zone for stages of a run whose results are large together: the one where their
    /// services have least to do.
    fn home(&self, now: id::Time, services: &[&str]) -> Option<id::ZoneId> {
        let lanes: Vec<_> = services.iter().filter_map(|it| self.lanes.get(*it)).collect();
        let load = |zone: &str| -> Option<f64> {
            lanes.iter().map(|lane| lane.load(now, zone)).sum::<Option<f64>>()
        };
        let zones = lanes.first()?.zones();
        let loads = zones.into_iter().filter_map(|zone| Some((load(&zone)?, zone)));
        let first = loads.min_by(|(a, _), (b, _)| a.total_cmp(b));
        first.map(|(_, zone)| zone)
    }

    /// The availability zone in which a stage is best done.
    fn zone(&self, now: id::Time, run: &Run, stage: usize) -> Option<id::ZoneId> {
        let work = &run.ask.stages[stage];
        let next: Vec<usize> = run::followers(&run.ask.stages, stage).collect();
        let read: u64 = next.iter().map(|&next| u64::from(run.count(next))).sum();
        let given = work.bytes * u64::from(work.pieces) * read;
        let mut services: Vec<&str> = vec![&work.service];
        services.extend(next.iter().map(|&next| run.ask.stages[next].service.as_str()));
        match &run.home {
            _ if next.is_empty() && work.bytes >= LARGE => run.ask.zone.clone(),
            Some(home) => Some(home.clone()),
            None if given >= LARGE => self.home(now, &services),
            None => None,
        }
    }

    /// Time after which a refused caller is asked to come back. One that was refused by little may still be
    /// in time; others are spread over the time in which they come back at all, so that the burst does not
    /// come back as one.
    fn comeback(&self, now: id::Time, ask: &Ask, end: id::Time) -> time::Duration {
        let short = end.saturating_sub(ask.aim).max(lane::TICK * 4);
        let most = ask.deadline.saturating_sub(now).mul_f64(COMEBACK).min(LATEST_RETURN);
        if short <= SHORT || most <= SHORT {
            return short.min(most);
        }
        let draw = xxhash_rust::xxh3::xxh3_64(ask.request.as_bytes()) as f64 / u64::MAX as f64;
        SHORT + (most - SHORT).mul_f64(draw)
    }

    /// Whether the work of runs that can't be in time any more is little enough for one more.
    fn has_room_for_late(&self, ask: &Ask) -> bool {
        let lanes = ask.stages.iter().filter(|work| work.pieces > 0);
        lanes.filter_map(|work| self.lanes.get(&work.service)).all(lane::Lane::has_room_for_late)
    }

    /// Queues the pieces of stages whose inputs are all there; ends the run if all are done.
    fn advance(&mut self, now: id::Time, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        for stage in run.startable() {
            self.start(now, id, stage);
        }
        let Some(run) = self.runs.get_mut(&id) else { return };
        if run.done() && !run.told {
            run.told = true;
            self.commands.push(Command::Ready { run: id, results: run.results() });
        }
        self.give_back(id);
    }

    fn start(&mut self, now: id::Time, id: RunId, stage: usize) {
        let Some(run) = self.runs.get(&id) else { return };
        let zone = self.zone(now, run, stage);
        let service = run.ask.stages[stage].service.clone();
        let stages = &run.ask.stages;
        let rest = run::downstream(stages, stage, |work| self.usual(work));
        let due = run.ask.aim.saturating_sub(run.ask.tail + rest);
        let least = run::downstream(stages, stage, |work| self.fastest(work));
        let last = run.ask.aim.saturating_sub(run.ask.tail + least);
        let patience = lane::Lane::patience(due.saturating_sub(now));
        let (count, bytes, rank, late) =
            (run.count(stage), run.ask.stages[stage].bytes, run.ask.rank, run.late);
        let Some(lane) = self.lanes.get_mut(&service) else { return };
        lane.arrived(rank, count);
        let place = lane::Place { late, due, rank };
        let expected = lane.time(now, time::Duration::ZERO, place, count);
        let pieces = (0..count).collect();
        let since = now;
        // A zone in which it would wait too long is as good as any other.
        let soon = |zone: &id::ZoneId| lane.zone_wait(now, zone).is_some_and(|it| it <= patience);
        let zone = zone.filter(|zone| bytes < LARGE || soon(zone));
        lane.queue(lane::Group {
            run: id,
            stage,
            pieces,
            late,
            due,
            last,
            rank,
            since,
            bytes,
            zone: zone.clone(),
        });
        let Some(run) = self.runs.get_mut(&id) else { return };
        run.begun(stage, now, expected);
        if !run.is_leaf(stage) {
            run.home = run.home.take().or(zone);
        }
    }

    /// Releases results that all later stages have used.
    fn give_back(&mut self, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        for (service, endpoint, handle, bytes) in run.used() {
            if let Some(lane) = self.lanes.get_mut(&service) {
                lane.release(&endpoint, handle, bytes);
            }
        }
    }

    /// Gives a run up, or releases its results after they were used.
    pub fn release(&mut self, id: RunId) {
        let Some(mut run) = self.runs.remove(&id) else { return };
        for (stage, work) in run.ask.stages.iter().enumerate() {
            let Some(lane) = self.lanes.get_mut(&work.service) else { continue };
            match run.started(stage) {
                true => lane.drop_run(id),
                false => lane.arrived(run.ask.rank, run.count(stage)),
            }
        }
        for (service, endpoint, handle, bytes) in run.all() {
            if let Some(lane) = self.lanes.get_mut(&service) {
                lane.release(&endpoint, handle, bytes);
            }
        }
    }

    /// Takes over the answer to a call.
    pub fn done(&mut self, now: id::Time, call: CallId, outcomes: Vec<Outcome>) {
        let Some(sent) = self.calls.remove(&call) else { return };
        let Some(lane) = self.lanes.get_mut(&sent.lane) else { return };
        lane.answered(&sent.endpoint, now.saturating_sub(sent.at), sent.pieces.len());
        let mut touched = Vec::new();
        let mut outcomes = outcomes.into_iter();
        for &piece in &sent.pieces {
            // A call that names fewer items than were sent has failed for the rest.
            let outcome = outcomes.next().unwrap_or(Outcome::Failed);
            self.item(now, &sent, piece, outcome);
            if touched.last() != Some(&piece.run) {
                touched.push(piece.run);
            }
        }
        for id in touched {
            self.advance(now, id);
        }
    }

    fn item(&mut self, now: id::Time, sent: &Sent, piece: lane::Piece, outcome: Outcome) {
        let Some(lane) = self.lanes.get_mut(&sent.lane) else { return };
        let lane::Piece { run: id, stage, number, bytes } = piece;
        match (outcome, self.runs.get_mut(&id)) {
            (Outcome::Made(handle), Some(run)) if run.is_missing(stage, number) => {
                run.made(stage, number, sent.endpoint.clone(), handle);
                if let Some((took, expected)) = run.took(stage, now).filter(|_| !run.late) {
                    lane.compare(took, expected);
                }
                // A second copy that waits for its turn is of no use any more.
                lane.drop_piece(id, stage, number);
                return;
            }
            (Outcome::Made(handle), _) => return lane.release(&sent.endpoint, handle, bytes),
            (Outcome::Room, _) => {
                lane.forget(&sent.endpoint, bytes);
                lane.tight(now, &sent.endpoint);
                return self.requeue(now, id, stage, number);
            }
            (Outcome::Failed, _) => lane.failed(now, &sent.endpoint),
            (Outcome::Late | Outcome::Gone, _) => {
                lane.forget(&sent.endpoint, bytes);
                return self.fail(id);
            }
        }
        lane.forget(&sent.endpoint, bytes);
        self.again(now, id, stage, number, sent.overdue);
    }

    /// Queues a piece once more unless that was done already or too often.
    fn again(&mut self, now: id::Time, id: RunId, stage: usize, piece: u32, queued: bool) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        match () {
            () if queued || !run.is_missing(stage, piece) => {}
            () if run.vain(stage, piece) >= TRIES => self.fail(id),
            () => self.requeue(now, id, stage, piece),
        }
    }

    fn requeue(&mut self, now: id::Time, id: RunId, stage: usize, piece: u32) {
        let missing = |run: &&Run| run.is_missing(stage, piece);
        let Some(run) = self.runs.get(&id).filter(missing) else { return };
        let work = &run.ask.stages[stage];
        let group = lane::Group {
            run: id,
            stage,
            pieces: [piece].into(),
            late: run.late,
            due: now,
            last: run.ask.aim,
            rank: run.ask.rank,
            since: now,
            bytes: work.bytes,
            zone: None,
        };
        let service = work.service.clone();
        if let Some(lane) = self.lanes.get_mut(&service) {
            lane.queue_again(group);
        }
    }

    fn fail(&mut self, id: RunId) {
        if self.runs.contains_key(&id) {
            self.commands.push(Command::Failed { run: id });
            self.release(id);
        }
    }

    /// Takes over that a call ended without an answer.
    pub fn failed(&mut self, now: id::Time, call: CallId, failure: Failure) {
        let Some(sent) = self.calls.remove(&call) else { return };
        let Some(lane) = self.lanes.get_mut(&sent.lane) else { return };
        lane.ended(&sent.endpoint);
        match failure {
            Failure::Full => lane.full(now, &sent.endpoint),
            Failure::Lost => lane.lost(now, &sent.endpoint),
        }
        for piece in &sent.pieces {
            if let Some(lane) = self.lanes.get_mut(&sent.lane) {
                lane.forget(&sent.endpoint, piece.bytes);
            }
            match failure {
                Failure::Full if !sent.overdue => {
                    self.requeue(now, piece.run, piece.stage, piece.number);
                }
                _ => self.again(now, piece.run, piece.stage, piece.number, sent.overdue),
            }
        }
    }

    /// Forms calls for free slots, notices calls that take too long, and frees results.
    pub fn poll(&mut self, now: id::Time) -> Vec<Command> {
        self.expire(now);
        self.overdue(now);
        self.demote(now);
        let services: Vec<id::ServiceId> = self.lanes.keys().cloned().collect();
        for service in services {
            while self.dispatch(now, &service) {}
        }
        for lane in self.lanes.values_mut() {
            for (endpoint, results) in lane.frees(now) {
                self.commands.push(Command::Free { endpoint, results });
            }
        }
        std::mem::take(&mut self.commands)
    }

    fn expire(&mut self, now: id::Time) {
        let old = |run: &Run| now > run.ask.deadline + FORGET;
        let old: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| old(run)).map(|(&id, _)| id).collect();
        for id in old {
            self.release(id);
        }
        let hopeless =
            |run: &Run| run.late && !run.told && now + self.least(run) > run.ask.deadline;
        let hopeless: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| hopeless(run)).map(|(&id, _)| id).collect();
        for id in hopeless {
            self.fail(id);
        }
    }

    /// Least time that a run still needs.
    fn least(&self, run: &Run) -> time::Duration {
        let call = |work: &Work| self.lanes.get(&work.service).map(|lane| lane.batch.call);
        let open = run.open().filter_map(|stage| call(&run.ask.stages[stage]));
        open.max().unwrap_or_default() + run.ask.tail
    }

    /// Queues the pieces of calls that take far too long once more; the first result counts.
    fn overdue(&mut self, now: id::Time) {
        let late = |sent: &&mut Sent| {
            !sent.overdue && now > sent.at + sent.expected * 2 + lane::OVERDUE_EXTRA
        };
        let mut again = Vec::new();
        for sent in self.calls.values_mut().filter(late) {
            sent.overdue = true;
            if let Some(lane) = self.lanes.get_mut(&sent.lane) {
                lane.slow(now, &sent.endpoint, now.saturating_sub(sent.at), sent.expected);
            }
            again.extend(sent.pieces.iter().copied());
        }
        for piece in again {
            self.again(now, piece.run, piece.stage, piece.number, false);
        }
    }

    /// Puts runs that can't be in time any more behind those that can.
    fn demote(&mut self, now: id::Time) {
        for lane in self.lanes.values_mut() {
            for run in lane.demote(now) {
                if let Some(run) = self.runs.get_mut(&run) {
                    run.late = true;
                }
            }
        }
    }

    fn dispatch(&mut self, now: id::Time, service: &str) -> bool {
        let Some(lane) = self.lanes.get_mut(service) else { return false };
        let Some((endpoint, pieces)) = lane.fill(now) else { return false };
        let mut items = Vec::with_capacity(pieces.len());
        for piece in &pieces {
            let Some(run) = self.runs.get(&piece.run) else { continue };
            let stage = piece.stage;
            items.push(Item {
                request: run.ask.request.clone(),
                stage,
                piece: piece.number,
                remaining: run.ask.deadline.saturating_sub(now),
                input: run.input(stage),
            });
        }
        self.next += 1;
        let call = self.next;
        let expected = lane.expected(pieces.len());
        let limit = lane::limit(expected);
        let (lane, name) = (service.to_owned(), endpoint.clone());
        let sent = Sent { lane, endpoint: name, pieces, at: now, expected, overdue: false };
        self.calls.insert(call, sent);
        self.commands.push(Command::Call { call, endpoint, items, limit });
        true
    }

    /// Number of runs that have not been released.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there is no run.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// When `poll` has something to do by itself, if there is any work.
    pub fn next_poll(&self) -> Option<time::Duration> {
        match self.runs.is_empty() && self.calls.is_empty() {
            true => None,
            false => Some(lane::TICK),
        }
    }
}
