//! Scheduling of stage work: batches the pieces of all hosts into calls to stage endpoints.
//!
//! Slots of stage endpoints are the scarcest resource. A call has a long fixed time whatever it
//! holds, so if each host sent only its own pieces, nearly empty calls would use up all slots.
//! Instead one host, the batcher, collects the pieces of all hosts. Whenever a slot is free, it
//! fills one call with the pieces that are due first, so that calls grow with the load. Jobs that
//! would miss their deadline are refused on arrival, as are jobs that would only miss their target
//! time while much late work is queued: late pieces take as many slots as those in time.

mod message;
mod plan;
pub mod queue;
mod run;
pub mod shard;

use std::time;

use crate::edge::catalog;
use crate::edge::endpoint;
use crate::edge::notice;
use crate::id;
use crate::map;

pub use message::Admission;
pub use message::Command;
pub use message::Failure;
pub use message::Input;
pub use message::Item;
pub use message::Outcome;
pub use run::Job;
pub use run::Run;
pub use run::Work;

/// Handle of a piece's result at the endpoint that stores it.
pub type Handle = String;
/// Id of an accepted job at the batcher.
pub type RunId = u64;
/// Id of a call to a stage endpoint.
pub type CallId = u64;

/// Number of failed or overdue attempts of a piece at which its run fails.
const MAX_FAILURES: u32 = 3;
/// Time after the deadline at which runs that nobody released are released.
const EXPIRE_AFTER: time::Duration = time::Duration::from_secs(1);
/// Maximum time between the release of a result and the call that frees it.
const MAX_FREE_DELAY: time::Duration = time::Duration::from_secs(1);
/// Released results are freed at once when they take an endpoint's memory divided by this.
const EARLY_FREE_DIVISOR: u64 = 10;
/// Additional spare time that a job needs for each rank below the most urgent one, because more
/// urgent work that arrives later overtakes it.
const RANK_MARGIN: time::Duration = time::Duration::from_millis(200);
/// Size of results, in bytes, from which they count as large and the stages that exchange them run
/// in one zone.
const LARGE_BYTES: u64 = 500_000;

/// A call in flight.
struct SentCall {
    service: id::ServiceId,
    endpoint: id::EndpointId,
    pieces: Vec<queue::Piece>,
    sent_at: id::Time,
    expected: time::Duration,
    /// Whether its pieces were queued again because the call is overdue.
    overdue: bool,
}

/// All stage work of one batcher.
#[derive(Default)]
pub struct Scheduler {
    queues: map::FastMap<id::ServiceId, queue::Queue>,
    runs: map::FastMap<RunId, Run>,
    calls: map::FastMap<CallId, SentCall>,
    /// Id of the newest run or call.
    last_id: u64,
    commands: Vec<Command>,
}

/// Bits of an id that number the runs and calls of one scheduler; the bits above number the
/// scheduler.
const NUMBER_BITS: u32 = 40;

/// Returns the number of the scheduler to which a run or call belongs.
pub fn scheduler_of(id: u64) -> u64 {
    id >> NUMBER_BITS
}

impl Scheduler {
    /// Creates an empty scheduler whose ids differ from those of schedulers with other numbers.
    pub fn with_number(number: u64) -> Self {
        Scheduler { last_id: number << NUMBER_BITS, ..Scheduler::default() }
    }

    /// Applies the services of a configuration.
    pub fn configure(&mut self, catalog: &catalog::Catalog) {
        for service in catalog.services() {
            let Some(batch) = &service.batch else { continue };
            self.queues
                .entry(service.name.clone())
                .and_modify(|queue| queue.batch = batch.clone())
                .or_insert_with(|| queue::Queue::new(batch.clone()));
        }
    }

    /// Replaces the endpoints to which calls may go.
    pub fn set_endpoints<'a, I>(&mut self, entries: I)
    where
        I: Iterator<Item = &'a endpoint::Endpoint>,
    {
        let mut known: map::FastMap<&str, Vec<&endpoint::Endpoint>> = map::FastMap::default();
        for entry in entries {
            known.entry(&entry.service).or_default().push(entry);
        }
        for (service, queue) in &mut self.queues {
            queue.set_endpoints(known.get(service.as_str()).map_or(&[], Vec::as_slice));
        }
    }

    /// Applies the notices of endpoints, such as pauses and rate limits.
    pub fn set_notices(&mut self, now: id::Time, notices: &notice::Notices) {
        for queue in self.queues.values_mut() {
            queue.set_notices(now, notices);
        }
    }

    /// Accepts a job, or refuses it if it would end too late.
    pub fn submit(&mut self, now: id::Time, job: Job) -> Admission {
        let expected = self.estimate(now, &job);
        let end = now + expected + job.request_time;
        let late = end + RANK_MARGIN * job.rank.min(queue::RANKS as u32) > job.target_time;
        let refused = match late {
            _ if end > job.deadline => true,
            true => !self.has_room_for_late(&job),
            false => false,
        };
        if refused {
            let retry_after = self.retry_after(now, &job, end);
            return Admission::Refused { retry_after, expected };
        }
        self.last_id += 1;
        let id = self.last_id;
        let run = Run::new(job, late);
        for (stage, work) in run.job.stages.iter().enumerate() {
            if let Some(queue) = self.queues.get_mut(&work.service) {
                queue.add_upcoming(run.job.rank, run.count(stage));
            }
        }
        self.runs.insert(id, run);
        self.advance(now, id);
        Admission::Accepted { run: id, expected }
    }

    /// Starts the stages whose inputs are complete, and reports the results once all stages are.
    fn advance(&mut self, now: id::Time, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        for stage in run.take_startable() {
            self.start_stage(now, id, stage);
        }
        let Some(run) = self.runs.get_mut(&id) else { return };
        if run.is_done() && !run.reported {
            run.reported = true;
            self.commands.push(Command::Ready { run: id, results: run.results() });
        }
        self.release_used(id);
    }

    /// Queues the pieces of a stage.
    fn start_stage(&mut self, now: id::Time, id: RunId, stage: usize) {
        let Some(run) = self.runs.get(&id) else { return };
        let zone = self.pick_zone(now, run, stage);
        let service = run.job.stages[stage].service.clone();
        let stages = &run.job.stages;
        let rest = run::critical_path(stages, stage, |work| self.usual_time(work));
        let due = run.job.target_time.saturating_sub(run.job.request_time + rest);
        let min_rest = run::critical_path(stages, stage, |work| self.min_time(work));
        let latest_start = run.job.target_time.saturating_sub(run.job.request_time + min_rest);
        let zone_wait = queue::Queue::max_zone_wait(due.saturating_sub(now));
        let (count, bytes, rank, late) =
            (run.count(stage), run.job.stages[stage].bytes, run.job.rank, run.late);
        let Some(queue) = self.queues.get_mut(&service) else { return };
        queue.remove_upcoming(rank, count);
        let position = queue::Position { late, due, rank };
        let expected = queue.estimate(now, time::Duration::ZERO, position, count);
        let pieces = (0..count).collect();
        let queued_at = now;
        // Large results stay in their zone unless the wait there is too long.
        let is_soon =
            |zone: &id::ZoneId| queue.zone_wait(now, zone).is_some_and(|it| it <= zone_wait);
        let zone = zone.filter(|zone| bytes < LARGE_BYTES || is_soon(zone));
        queue.push(queue::Group {
            run: id,
            stage,
            pieces,
            late,
            due,
            latest_start,
            rank,
            queued_at,
            bytes,
            zone: zone.clone(),
        });
        let Some(run) = self.runs.get_mut(&id) else { return };
        run.mark_queued(stage, now, expected);
        if !run.is_leaf(stage) {
            run.home_zone = run.home_zone.take().or(zone);
        }
    }

    /// Releases results that all later stages have used.
    fn release_used(&mut self, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        for (service, endpoint, handle, bytes) in run.take_used() {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.add_free(&endpoint, handle, bytes);
            }
        }
    }

    /// Cancels a run, or releases its results after they were used.
    pub fn release(&mut self, id: RunId) {
        let Some(mut run) = self.runs.remove(&id) else { return };
        for (stage, work) in run.job.stages.iter().enumerate() {
            let Some(queue) = self.queues.get_mut(&work.service) else { continue };
            match run.is_started(stage) {
                true => queue.drop_run(id),
                false => queue.remove_upcoming(run.job.rank, run.count(stage)),
            }
        }
        for (service, endpoint, handle, bytes) in run.take_all() {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.add_free(&endpoint, handle, bytes);
            }
        }
    }

    /// Processes the answer to a call, with one outcome per item in the order sent.
    pub fn call_answered(&mut self, now: id::Time, call: CallId, outcomes: Vec<Outcome>) {
        let Some(sent) = self.calls.remove(&call) else { return };
        let Some(queue) = self.queues.get_mut(&sent.service) else { return };
        queue.record_answer(&sent.endpoint, now.saturating_sub(sent.sent_at), sent.pieces.len());
        let mut touched = Vec::new();
        let mut outcomes = outcomes.into_iter();
        for &piece in &sent.pieces {
            // Items without an outcome in the answer count as failed.
            let outcome = outcomes.next().unwrap_or(Outcome::Failed);
            self.apply_outcome(now, &sent, piece, outcome);
            if touched.last() != Some(&piece.run) {
                touched.push(piece.run);
            }
        }
        for id in touched {
            self.advance(now, id);
        }
    }

    /// Applies the outcome of one item of a call.
    fn apply_outcome(
        &mut self,
        now: id::Time,
        sent: &SentCall,
        piece: queue::Piece,
        outcome: Outcome,
    ) {
        let Some(queue) = self.queues.get_mut(&sent.service) else { return };
        let queue::Piece { run: id, stage, number, bytes } = piece;
        match (outcome, self.runs.get_mut(&id)) {
            (Outcome::Stored(handle), Some(run)) if run.is_missing(stage, number) => {
                run.set_result(stage, number, sent.endpoint.clone(), handle);
                if let Some((took, expected)) = run.stage_time(stage, now).filter(|_| !run.late) {
                    queue.record_stage_time(took, expected);
                }
                // A duplicate that is still queued is no longer needed.
                queue.drop_piece(id, stage, number);
                return;
            }
            (Outcome::Stored(handle), _) => return queue.add_free(&sent.endpoint, handle, bytes),
            (Outcome::NoMemory, _) => {
                queue.release_memory(&sent.endpoint, bytes);
                queue.record_no_memory(now, &sent.endpoint);
                return self.requeue(now, id, stage, number);
            }
            (Outcome::Failed, _) => queue.record_failure(now, &sent.endpoint),
            (Outcome::Late | Outcome::NoInput, _) => {
                queue.release_memory(&sent.endpoint, bytes);
                return self.fail_run(id);
            }
        }
        queue.release_memory(&sent.endpoint, bytes);
        self.retry(now, id, stage, number, sent.overdue);
    }

    /// Queues a piece again unless it has a result or `queued` says that it already is. Fails the
    /// run if the piece failed too often.
    fn retry(&mut self, now: id::Time, id: RunId, stage: usize, piece: u32, queued: bool) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        match () {
            () if queued || !run.is_missing(stage, piece) => {}
            () if run.count_failure(stage, piece) >= MAX_FAILURES => self.fail_run(id),
            () => self.requeue(now, id, stage, piece),
        }
    }

    fn requeue(&mut self, now: id::Time, id: RunId, stage: usize, piece: u32) {
        let missing = |run: &&Run| run.is_missing(stage, piece);
        let Some(run) = self.runs.get(&id).filter(missing) else { return };
        let work = &run.job.stages[stage];
        let group = queue::Group {
            run: id,
            stage,
            pieces: [piece].into(),
            late: run.late,
            due: now,
            latest_start: run.job.target_time,
            rank: run.job.rank,
            queued_at: now,
            bytes: work.bytes,
            zone: None,
        };
        let service = work.service.clone();
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.requeue(group);
        }
    }

    fn fail_run(&mut self, id: RunId) {
        if self.runs.contains_key(&id) {
            self.commands.push(Command::Failed { run: id });
            self.release(id);
        }
    }

    /// Processes the end of a call without outcomes.
    pub fn call_failed(&mut self, now: id::Time, call: CallId, failure: Failure) {
        let Some(sent) = self.calls.remove(&call) else { return };
        let Some(queue) = self.queues.get_mut(&sent.service) else { return };
        queue.record_end(&sent.endpoint);
        match failure {
            Failure::Full => queue.record_full(now, &sent.endpoint),
            Failure::Lost => queue.record_loss(now, &sent.endpoint),
        }
        for piece in &sent.pieces {
            if let Some(queue) = self.queues.get_mut(&sent.service) {
                queue.release_memory(&sent.endpoint, piece.bytes);
            }
            match failure {
                Failure::Full if !sent.overdue => {
                    self.requeue(now, piece.run, piece.stage, piece.number);
                }
                _ => self.retry(now, piece.run, piece.stage, piece.number, sent.overdue),
            }
        }
    }

    /// Forms calls for free slots, retries overdue calls and frees results.
    pub fn poll(&mut self, now: id::Time) -> Vec<Command> {
        self.expire(now);
        self.retry_overdue(now);
        self.demote(now);
        let services: Vec<id::ServiceId> = self.queues.keys().cloned().collect();
        for service in services {
            while self.dispatch(now, &service) {}
        }
        for queue in self.queues.values_mut() {
            for (endpoint, results) in queue.due_frees(now) {
                self.commands.push(Command::Free { endpoint, results });
            }
        }
        std::mem::take(&mut self.commands)
    }

    /// Releases runs long past their deadline, and fails late runs that can't meet it any more.
    fn expire(&mut self, now: id::Time) {
        let is_expired = |run: &Run| now > run.job.deadline + EXPIRE_AFTER;
        let expired: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| is_expired(run)).map(|(&id, _)| id).collect();
        for id in expired {
            self.release(id);
        }
        let is_too_late = |run: &Run| {
            run.late && !run.reported && now + self.min_remaining(now, run) > run.job.deadline
        };
        let too_late: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| is_too_late(run)).map(|(&id, _)| id).collect();
        for id in too_late {
            self.fail_run(id);
        }
    }

    /// Minimum time that a run still needs.
    fn min_remaining(&self, now: id::Time, run: &Run) -> time::Duration {
        let time = |queue: &queue::Queue| queue.shortest_pause(now) + queue.batch.call_time;
        let call = |work: &Work| self.queues.get(&work.service).map(time);
        let open = run.incomplete().filter_map(|stage| call(&run.job.stages[stage]));
        open.max().unwrap_or_default() + run.job.request_time
    }

    /// Queues the pieces of overdue calls again; the first result of a piece counts.
    fn retry_overdue(&mut self, now: id::Time) {
        let is_overdue = |sent: &&mut SentCall| {
            !sent.overdue && now > sent.sent_at + sent.expected * 2 + queue::OVERDUE_EXTRA
        };
        let mut again = Vec::new();
        for sent in self.calls.values_mut().filter(is_overdue) {
            sent.overdue = true;
            if let Some(queue) = self.queues.get_mut(&sent.service) {
                queue.record_slow(&sent.endpoint, now.saturating_sub(sent.sent_at), sent.expected);
            }
            again.extend(sent.pieces.iter().copied());
        }
        for piece in again {
            self.retry(now, piece.run, piece.stage, piece.number, false);
        }
    }

    /// Marks runs that can't meet their target time any more as late; they come after the others.
    fn demote(&mut self, now: id::Time) {
        for queue in self.queues.values_mut() {
            for run in queue.demote(now) {
                if let Some(run) = self.runs.get_mut(&run) {
                    run.late = true;
                }
            }
        }
    }

    /// Sends one call of a service. Returns whether there was a call to send.
    fn dispatch(&mut self, now: id::Time, service: &str) -> bool {
        let Some(queue) = self.queues.get_mut(service) else { return false };
        let Some((endpoint, pieces)) = queue.next_call(now) else { return false };
        // Outcomes come in the order of the items, so pieces and items must correspond one to one.
        let item = |piece: queue::Piece| {
            let run = self.runs.get(&piece.run)?;
            let item = Item {
                request: run.job.request.clone(),
                stage: piece.stage,
                piece: piece.number,
                remaining: run.job.deadline.saturating_sub(now),
                input: run.input(piece.stage),
            };
            Some((piece, item))
        };
        let (pieces, items): (Vec<_>, Vec<_>) = pieces.into_iter().filter_map(item).unzip();
        self.last_id += 1;
        let call = self.last_id;
        let expected = queue.call_time(pieces.len());
        let timeout = queue::call_timeout(expected);
        let (service, name) = (service.to_owned(), endpoint.clone());
        let sent =
            SentCall { service, endpoint: name, pieces, sent_at: now, expected, overdue: false };
        self.calls.insert(call, sent);
        self.commands.push(Command::Call { call, endpoint, items, timeout });
        true
    }

    /// Number of runs that have not been released.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Time until `poll` has to be called again; `None` if there is no work.
    pub fn next_poll(&self) -> Option<time::Duration> {
        match self.runs.is_empty() && self.calls.is_empty() {
            true => None,
            false => Some(queue::TICK),
        }
    }
}
