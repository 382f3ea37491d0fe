//! Forms calls to stage endpoints for all hosts: executes the commands of the schedulers, and
//! reports the ends of runs to the hosts that submitted the jobs.

use std::cell;
use std::rc;
use std::time;

use sequoiacrank_adapter::stage as wire_stage;
use sequoiacrank_kernel::edge::notice;
use sequoiacrank_kernel::edge::stage;
use sequoiacrank_kernel::edge::stage::shard;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task;

use crate::client;
use crate::facts;
use crate::host;
use crate::notices;
use crate::peer;
use crate::peer::wire;

/// Time within which an endpoint has to answer a call that frees results.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Who submitted a job.
enum Owner {
    /// This host. It receives the results, or `None` if the run failed.
    Local(oneshot::Sender<Option<Vec<stage::Handle>>>),
    /// A process of another host.
    Remote(RemoteJob),
}

/// A job that a process of another host submitted.
#[derive(Clone, Debug)]
struct RemoteJob {
    sender: peer::Sender,
    /// Number by which the sender identifies the job.
    ticket: u64,
    /// Id of the request that needs the results.
    request: String,
}

/// The jobs that this host forms into calls.
#[derive(Default)]
pub struct Batcher {
    /// Schedulers with the names of their batchers. The number of a scheduler is its index.
    schedulers: cell::RefCell<Vec<(shard::Shard, stage::Scheduler)>>,
    /// Who waits for the end of each run.
    owners: cell::RefCell<map::FastMap<stage::RunId, Owner>>,
    /// Runs of other hosts, until they are released.
    tickets: cell::RefCell<map::FastMap<(peer::Sender, u64), stage::RunId>>,
    /// Notified after each poll of the schedulers, as their next time to poll may have changed.
    polled: Notify,
}

impl Batcher {
    /// Passes the current configuration and endpoints to all schedulers.
    pub fn update(&self, host: &rc::Rc<host::Host>) {
        {
            let facts = host.facts.borrow();
            for (shard, scheduler) in self.schedulers.borrow_mut().iter_mut() {
                update_scheduler(host.clock.now(), &facts, shard, scheduler);
            }
        }
        self.run_commands(host);
    }

    /// Calls `act` with the scheduler of the batcher `shard`, which is created if there is none.
    fn with_scheduler<T, F>(&self, host: &host::Host, shard: &str, act: F) -> T
    where
        F: FnOnce(&mut stage::Scheduler) -> T,
    {
        let mut schedulers = self.schedulers.borrow_mut();
        let index = match schedulers.iter().position(|(name, _)| name == shard) {
            Some(index) => index,
            None => {
                let mut scheduler = stage::Scheduler::with_number(schedulers.len() as u64);
                update_scheduler(host.clock.now(), &host.facts.borrow(), shard, &mut scheduler);
                schedulers.push((shard.to_owned(), scheduler));
                schedulers.len() - 1
            }
        };
        act(&mut schedulers[index].1)
    }

    /// Calls `act` with the scheduler to which a run or call belongs.
    fn with_scheduler_of<F>(&self, id: u64, act: F)
    where
        F: FnOnce(&mut stage::Scheduler),
    {
        let index = stage::scheduler_of(id) as usize;
        if let Some((_, scheduler)) = self.schedulers.borrow_mut().get_mut(index) {
            act(scheduler);
        }
    }

    /// Accepts or refuses a job of this host. The receiver gets its results, `None` if it fails.
    pub fn submit(
        &self,
        host: &rc::Rc<host::Host>,
        shard: &str,
        job: stage::Job,
    ) -> (stage::Admission, oneshot::Receiver<Option<Vec<stage::Handle>>>) {
        let (sender, receiver) = oneshot::channel();
        let admission = self.admit(host, shard, job);
        if let stage::Admission::Accepted { run, .. } = admission {
            self.owners.borrow_mut().insert(run, Owner::Local(sender));
        }
        self.run_commands(host);
        (admission, receiver)
    }

    /// Handles the message `Ask`: accepts or refuses a job of another host.
    pub fn receive_ask(&self, host: &rc::Rc<host::Host>, from: peer::Sender, wire: wire::Ask) {
        let now = host.clock.now();
        let ticket = wire.ticket;
        let shard = wire.shard.clone();
        let job = RemoteJob { sender: from, ticket, request: wire.request.clone() };
        let admission = self.admit(host, &shard, crate::stages::decode_job(now, wire));
        let body = match admission {
            stage::Admission::Accepted { run, .. } => {
                self.owners.borrow_mut().insert(run, Owner::Remote(job));
                self.tickets.borrow_mut().insert((from, ticket), run);
                wire::Body::Taken(wire::Ticket { ticket })
            }
            stage::Admission::Refused { retry_after: after, .. } => {
                wire::Body::Refused(wire::Refused { ticket, after: host::millis(after) })
            }
        };
        host.peers.send(host, from.address, body);
        self.run_commands(host);
    }

    fn admit(&self, host: &host::Host, shard: &str, job: stage::Job) -> stage::Admission {
        let now = host.clock.now();
        let left = |time: id::Time| time.as_millis() as i64 - now.as_millis() as i64;
        let (id, rank, tail) = (job.request.clone(), job.rank, host::millis(job.request_time));
        let (aim, deadline) = (left(job.target_time), left(job.deadline));
        let (admission, runs) =
            self.with_scheduler(host, shard, |it| (it.submit(now, job), it.len()));
        if let stage::Admission::Refused { retry_after: after, expected } = admission {
            let (after, expected) = (host::millis(after), host::millis(expected));
            log::warn!(target: "stage", id = id.as_str(), shard, rank, aim, deadline, tail, expected, after, runs; "refused");
        }
        admission
    }

    /// Cancels a run, or frees its results if it has ended.
    pub fn release(&self, host: &rc::Rc<host::Host>, run: stage::RunId) {
        self.owners.borrow_mut().remove(&run);
        self.with_scheduler_of(run, |it| it.release(run));
        self.run_commands(host);
    }

    /// Handles the message `Release`: cancels a run of another host, or frees its results.
    pub fn receive_release(&self, host: &rc::Rc<host::Host>, from: peer::Sender, ticket: u64) {
        let run = self.tickets.borrow_mut().remove(&(from, ticket));
        if let Some(run) = run {
            self.release(host, run);
        }
    }

    /// Handles the message `Check`: tells another host whether its run is still in progress. If the
    /// run has ended, the message that reported it was lost.
    pub fn receive_check(&self, host: &rc::Rc<host::Host>, from: peer::Sender, ticket: u64) {
        let run = self.tickets.borrow().get(&(from, ticket)).copied();
        let running = run.is_some_and(|run| self.owners.borrow().contains_key(&run));
        let ticket = wire::Ticket { ticket };
        let body = if running { wire::Body::Taken(ticket) } else { wire::Body::Unknown(ticket) };
        host.peers.send(host, from.address, body);
    }

    /// Cancels the runs of earlier processes at the address of `current`, which replaced them.
    pub fn abandon_earlier(&self, host: &rc::Rc<host::Host>, current: peer::Sender) {
        let is_earlier =
            |it: &peer::Sender| it.address == current.address && it.process != current.process;
        self.abandon(host, "restarted", is_earlier);
    }

    /// Cancels the runs of hosts that count as ended. They are notified, as they may still receive
    /// messages from this one.
    pub fn abandon_ended(&self, host: &rc::Rc<host::Host>) {
        let now = host.clock.now();
        let has_ended = |it: &peer::Sender| host.peers.members().has_ended(now, it.address);
        for (sender, ticket) in self.abandon(host, "no message received", has_ended) {
            host.peers.send(host, sender.address, wire::Body::Failed(wire::Ticket { ticket }));
        }
    }

    /// Cancels the runs of all processes that `filter` selects. Returns the processes and their
    /// tickets. `why` is logged.
    fn abandon<F>(
        &self,
        host: &rc::Rc<host::Host>,
        why: &'static str,
        filter: F,
    ) -> Vec<(peer::Sender, u64)>
    where
        F: Fn(&peer::Sender) -> bool,
    {
        let abandoned: Vec<_> = {
            let mut tickets = self.tickets.borrow_mut();
            tickets.extract_if(|(sender, _), _| filter(sender)).collect()
        };
        for &((sender, ticket), run) in &abandoned {
            let other = sender.to_string();
            log::info!(target: "stage", other = other.as_str(), ticket, run, why; "work of a host given up");
            self.release(host, run);
        }
        abandoned.into_iter().map(|(job, _)| job).collect()
    }

    /// Number of runs that have not been released.
    pub fn len(&self) -> usize {
        self.schedulers.borrow().iter().map(|(_, it)| it.len()).sum()
    }

    /// Executes the commands that the schedulers have ready.
    fn run_commands(&self, host: &rc::Rc<host::Host>) {
        let now = host.clock.now();
        let poll = |(_, scheduler): &mut (shard::Shard, stage::Scheduler)| scheduler.poll(now);
        let commands: Vec<_> = self.schedulers.borrow_mut().iter_mut().flat_map(poll).collect();
        for command in commands {
            match command {
                stage::Command::Call { call, endpoint, items, timeout } => {
                    task::spawn_local(run_call(host.clone(), call, endpoint, items, timeout));
                }
                stage::Command::Free { endpoint, results } => {
                    task::spawn_local(free_results(host.clone(), endpoint, results));
                }
                stage::Command::Ready { run, results } => self.report_end(host, run, Some(results)),
                stage::Command::Failed { run } => self.report_end(host, run, None),
            }
        }
        self.polled.notify_one();
    }

    /// Reports the end of a run to its owner; `results` is `None` if the run failed.
    fn report_end(
        &self,
        host: &rc::Rc<host::Host>,
        run: stage::RunId,
        results: Option<Vec<stage::Handle>>,
    ) {
        let job = match self.owners.borrow_mut().remove(&run) {
            Some(Owner::Local(sender)) => {
                // The request may have ended; then dropping its results releases the run.
                let _ = sender.send(results);
                return;
            }
            Some(Owner::Remote(job)) => job,
            None => return,
        };
        let RemoteJob { sender, ticket, request } = job;
        let body = match results {
            Some(results) => wire::Body::Ready(wire::Ready { ticket, results, request }),
            None => {
                self.tickets.borrow_mut().remove(&(sender, ticket));
                wire::Body::Failed(wire::Ticket { ticket })
            }
        };
        host.peers.send(host, sender.address, body);
    }
}

/// Passes a scheduler the configuration, the endpoints of its batcher and their notices.
fn update_scheduler(
    now: id::Time,
    facts: &facts::Facts,
    shard: &str,
    scheduler: &mut stage::Scheduler,
) {
    let Some(catalog) = &facts.catalog else { return };
    scheduler.configure(catalog);
    scheduler.set_endpoints(facts.stage_endpoints().filter(|entry| shard::contains(shard, entry)));
    scheduler.set_notices(now, &facts.fleet.notices);
}

/// Polls the schedulers when they are due, for as long as the host runs.
pub async fn poll_schedulers(host: rc::Rc<host::Host>) {
    loop {
        let next = {
            let schedulers = host.batcher.schedulers.borrow();
            schedulers.iter().filter_map(|(_, it)| it.next_poll()).min()
        };
        match next {
            Some(pause) => {
                tokio::time::sleep(pause).await;
                host.batcher.run_commands(&host);
            }
            None => host.batcher.polled.notified().await,
        }
    }
}

/// Calls a stage endpoint and passes the outcome to the scheduler.
async fn run_call(
    host: rc::Rc<host::Host>,
    call: stage::CallId,
    endpoint: id::EndpointId,
    items: Vec<stage::Item>,
    timeout: time::Duration,
) {
    let start = host.clock.now();
    let result = send_call(&host, &endpoint, &items, timeout).await;
    let now = host.clock.now();
    let took = host::millis(now.saturating_sub(start));
    let pieces = items.len();
    let requests = request_ids(&items);
    let requests = requests.as_str();
    host.metrics.stage_calls.inc();
    host.metrics.stage_pieces.inc_by(pieces as u64);
    match result {
        Ok(outcomes) => {
            let made = outcomes.iter().filter(|it| matches!(it, stage::Outcome::Stored(_))).count();
            log::info!(target: "stage", endpoint = endpoint.as_str(), call, pieces, made, took, requests; "call done");
            host.batcher.with_scheduler_of(call, |it| it.call_answered(now, call, outcomes));
        }
        Err(failure) => {
            log::warn!(target: "stage", endpoint = endpoint.as_str(), call, pieces, took, requests, failure = format!("{failure:?}").as_str(); "call failed");
            host.batcher.with_scheduler_of(call, |it| it.call_failed(now, call, failure));
        }
    }
    host.batcher.run_commands(&host);
}

/// Joins the ids of the requests of a call, without adjacent duplicates.
fn request_ids(items: &[stage::Item]) -> String {
    let mut ids: Vec<&str> = items.iter().map(|item| item.request.as_str()).collect();
    ids.dedup();
    ids.join(",")
}

async fn send_call(
    host: &rc::Rc<host::Host>,
    endpoint: &str,
    items: &[stage::Item],
    timeout: time::Duration,
) -> Result<Vec<stage::Outcome>, stage::Failure> {
    let entry =
        host.facts.borrow().fleet.get(endpoint).map(|entry| (entry.address, entry.started_at));
    let (address, started_at) = entry.ok_or(stage::Failure::Lost)?;
    let sent = host.clock.now();
    let lost = |err: String| {
        log::info!(target: "stage", endpoint, err = err.as_str(); "no usable answer");
        stage::Failure::Lost
    };
    let request = wire_stage::run(endpoint, items).map_err(|err| lost(err.to_string()))?;
    let answer = host.pool.call_on_new(address, request, timeout).await;
    let answer = answer.map_err(|err: client::Error| lost(err.to_string()))?;
    apply_notice(host, (endpoint, started_at), sent, &answer);
    match answer.status {
        http::StatusCode::OK => {
            wire_stage::decode_outcomes(&answer.body).map_err(|err| lost(err.to_string()))
        }
        http::StatusCode::SERVICE_UNAVAILABLE => {
            notices::record_full(host, (endpoint, started_at));
            Err(stage::Failure::Full)
        }
        other => Err(lost(format!("status {other}"))),
    }
}

/// Tells an endpoint that results are not needed any more.
async fn free_results(
    host: rc::Rc<host::Host>,
    endpoint: id::EndpointId,
    results: Vec<stage::Handle>,
) {
    let entry =
        host.facts.borrow().fleet.get(&endpoint).map(|entry| (entry.address, entry.started_at));
    let Some((address, started_at)) = entry else { return };
    let request = match wire_stage::free(&endpoint, &results) {
        Ok(request) => request,
        Err(err) => {
            log::error!(target: "stage", err = err.to_string().as_str(); "free request cannot be encoded");
            return;
        }
    };
    let sent = host.clock.now();
    match host.pool.call(address, request, FREE_TIMEOUT).await {
        Ok(answer) => apply_notice(&host, (&endpoint, started_at), sent, &answer),
        Err(err) => {
            // The endpoint drops the results later on its own.
            let (count, err) = (results.len(), err.to_string());
            log::info!(target: "stage", endpoint = endpoint.as_str(), count, err = err.as_str(); "results not freed");
        }
    }
}

/// Applies the notice in an answer to its endpoint.
fn apply_notice(
    host: &rc::Rc<host::Host>,
    instance: notice::Instance<'_>,
    sent: id::Time,
    answer: &client::Answer,
) {
    let accepted = answer.certain && answer.status == http::StatusCode::OK;
    notices::apply(host, instance, &answer.notice, notice::Answer { sent, accepted });
}
