//! Obtains the results of stage work: from the host that forms the calls of a batcher, or here if
//! that is this one.

use std::cell;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_kernel::edge::stage;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use tokio::sync::mpsc;

use crate::clock;
use crate::host;
use crate::peer::wire;

/// Time within which a host has to accept or refuse a job: many round trips between hosts, and
/// short compared to a call to a stage endpoint.
const ADMISSION_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Time between two checks of whether a host that accepted a job is still alive.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Time without a message after which a host that accepted a job counts as lost, although it was
/// asked with `Check`.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Maximum number of hosts to which the job of one request is submitted.
const MAX_HOSTS: usize = 3;

/// What another host answers about a job.
enum Reply {
    Taken,
    Refused(time::Duration),
    Ready(wire::Ready),
    Failed,
    Unknown,
}

/// Jobs that this host submitted to others.
#[derive(Default)]
pub struct PendingJobs {
    /// Receivers of the replies about each job, by ticket.
    waiting: cell::RefCell<map::FastMap<u64, mpsc::UnboundedSender<Reply>>>,
}

/// Why a job has no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// They would come too late; the job may be submitted again after this time.
    Late(time::Duration),
    /// The job failed, or no host answered in time.
    Failed,
}

/// Where a job runs.
enum Location {
    /// On this host.
    Local(stage::RunId),
    /// On another host, under a ticket of this one.
    Remote(net::SocketAddr, u64),
}

/// Results of a job. Dropping them releases them, or cancels the job if it has not ended.
pub struct Results {
    host: rc::Rc<host::Host>,
    location: Location,
    /// Handles by which endpoints read the results.
    pub handles: Vec<stage::Handle>,
}

impl Drop for Results {
    fn drop(&mut self) {
        match self.location {
            Location::Local(run) => self.host.batcher.release(&self.host, run),
            Location::Remote(address, ticket) => {
                self.host.pending_jobs.waiting.borrow_mut().remove(&ticket);
                let body = wire::Body::Release(wire::Ticket { ticket });
                self.host.peers.send(&self.host, address, body);
            }
        }
    }
}

impl PendingJobs {
    /// Passes a reply to the request that waits for it.
    fn deliver(&self, ticket: u64, reply: Reply) {
        match self.waiting.borrow().get(&ticket) {
            // The request may have ended; then dropping its results releases the job.
            Some(sender) => drop(sender.send(reply)),
            None => {
                // The job was cancelled, or an earlier process of this host submitted it.
                log::info!(target: "stage", ticket; "answer to nobody dropped");
            }
        }
    }

    /// Handles the message `Taken`: a host accepted a job, or still runs it.
    pub fn receive_taken(&self, taken: &wire::Ticket) {
        self.deliver(taken.ticket, Reply::Taken);
    }

    /// Handles the message `Refused`: a host refused a job.
    pub fn receive_refused(&self, refused: wire::Refused) {
        self.deliver(refused.ticket, Reply::Refused(time::Duration::from_millis(refused.after)));
    }

    /// Handles the message `Ready`: a job has results.
    pub fn receive_ready(&self, ready: wire::Ready) {
        self.deliver(ready.ticket, Reply::Ready(ready));
    }

    /// Handles the message `Unknown`: a host does not know a job, or has already reported its end.
    pub fn receive_unknown(&self, ticket: u64) {
        self.deliver(ticket, Reply::Unknown);
    }

    /// Handles the message `Failed`: a job failed.
    pub fn receive_failed(&self, ticket: u64) {
        self.deliver(ticket, Reply::Failed);
    }
}

/// Obtains the results of `job` from the host that forms the calls of the batcher `shard`.
///
/// # Errors
///
/// When the job is refused, fails or is not done by its deadline, or when none of [`MAX_HOSTS`]
/// hosts answers in time.
pub async fn obtain(
    host: &rc::Rc<host::Host>,
    shard: &str,
    job: stage::Job,
) -> Result<Results, Refusal> {
    host.peers.wait_settled(host).await;
    let mut excluded = Vec::new();
    while excluded.len() < MAX_HOSTS {
        let (now, is_leaving) = (host.clock.now(), host.stop.is_leaving());
        let other = host.peers.members().work_host(now, shard, is_leaving, &excluded);
        let Some(address) = other else { return obtain_here(host, shard, job).await };
        match obtain_from(host, shard, &job, address).await {
            Some(result) => return result,
            None => excluded.push(address),
        }
        if host.clock.now() >= job.deadline {
            return Err(Refusal::Failed);
        }
    }
    // This host must not form calls beside the one assigned to the batcher: the two would compete
    // for the slots of the endpoints, and most calls would be refused.
    Err(Refusal::Failed)
}

/// Obtains results from the batcher of this host.
async fn obtain_here(
    host: &rc::Rc<host::Host>,
    shard: &str,
    job: stage::Job,
) -> Result<Results, Refusal> {
    let left = job.deadline.saturating_sub(host.clock.now());
    let (admission, receiver) = host.batcher.submit(host, shard, job);
    match admission {
        stage::Admission::Refused { retry_after: after, .. } => Err(Refusal::Late(after)),
        stage::Admission::Accepted { run, .. } => {
            let mut results =
                Results { host: host.clone(), location: Location::Local(run), handles: Vec::new() };
            match tokio::time::timeout(left, receiver).await {
                Ok(Ok(Some(handles))) => {
                    results.handles = handles;
                    Ok(results)
                }
                Ok(Ok(None) | Err(_)) | Err(_) => Err(Refusal::Failed),
            }
        }
    }
}

/// Obtains results from another host; `None` if it does not answer in time.
async fn obtain_from(
    host: &rc::Rc<host::Host>,
    shard: &str,
    job: &stage::Job,
    address: net::SocketAddr,
) -> Option<Result<Results, Refusal>> {
    let ticket = rand::random();
    let (sender, mut replies) = mpsc::unbounded_channel();
    host.pending_jobs.waiting.borrow_mut().insert(ticket, sender);
    let location = Location::Remote(address, ticket);
    let mut results = Results { host: host.clone(), location, handles: Vec::new() };
    let wire = encode_job(host.clock.now(), ticket, shard, job);
    host.peers.send(host, address, wire::Body::Ask(wire));
    let mut taken = None;
    let mut checked = false;
    // When this process last resumed after a pause. Messages that arrived during the pause may
    // still be unread.
    let mut resumed = host.clock.now();
    loop {
        let timeout = if taken.is_some() { CHECK_INTERVAL } else { ADMISSION_TIMEOUT };
        let due = host.clock.now() + timeout;
        match tokio::time::timeout(timeout, replies.recv()).await {
            Ok(Some(Reply::Taken)) => taken = host.peers.members().process(address),
            Ok(Some(Reply::Refused(after))) => return Some(Err(Refusal::Late(after))),
            Ok(Some(Reply::Failed)) => return Some(Err(Refusal::Failed)),
            Ok(Some(Reply::Ready(ready))) if ready.request == job.request => {
                results.handles = ready.results;
                return Some(Ok(results));
            }
            Ok(Some(Reply::Ready(ready))) => {
                let (id, other) = (job.request.as_str(), ready.request.as_str());
                log::error!(target: "stage", id, ticket, other; "results of another request dropped");
                return Some(Err(Refusal::Failed));
            }
            Ok(Some(Reply::Unknown)) if !checked => {}
            Ok(None) => return None,
            Err(_) if host.clock.now() >= job.deadline => return Some(Err(Refusal::Failed)),
            Err(_) if host.clock.now() > due + clock::MAX_TIMER_DELAY => {
                resumed = host.clock.now();
                checked |= taken.is_some() && send_check(host, address, ticket);
            }
            Err(_) if taken.is_some() && is_alive(host, address, taken, resumed) => {
                checked |= send_check(host, address, ticket);
            }
            Ok(Some(Reply::Unknown)) | Err(_) => {
                let (other, taken) = (address.to_string(), taken.is_some());
                log::info!(target: "stage", id = job.request.as_str(), other = other.as_str(), taken; "batcher silent");
                host.peers.back_off(host.clock.now(), address);
                return None;
            }
        }
    }
}

/// Time since the last message of a host.
fn silence(host: &host::Host, address: net::SocketAddr) -> time::Duration {
    let silence = host.peers.members().silence(host.clock.now(), address);
    silence.unwrap_or(time::Duration::MAX)
}

/// Whether `process` of a host, which accepted a job, still counts as alive: no other process has
/// replaced it, and its last message or the time at which this process `resumed` is less than
/// [`SILENCE_TIMEOUT`] ago.
fn is_alive(
    host: &host::Host,
    address: net::SocketAddr,
    process: Option<id::Incarnation>,
    resumed: id::Time,
) -> bool {
    let silence = silence(host, address).min(host.clock.now().saturating_sub(resumed));
    silence < SILENCE_TIMEOUT && host.peers.members().process(address) == process
}

/// Asks a host whether it still runs a job, if it sent no message for [`CHECK_INTERVAL`]. Returns
/// whether it was asked.
fn send_check(host: &host::Host, address: net::SocketAddr, ticket: u64) -> bool {
    let due = silence(host, address) >= CHECK_INTERVAL;
    if due {
        host.peers.send(host, address, wire::Body::Check(wire::Ticket { ticket }));
    }
    due
}

/// Encodes a job as a message to another host, with times relative to `now`.
fn encode_job(now: id::Time, ticket: u64, shard: &str, job: &stage::Job) -> wire::Ask {
    let work = |work: &stage::Work| wire::Work {
        service: work.service.clone(),
        after: work.after.iter().map(|&stage| stage as u32).collect(),
        bytes: work.bytes,
        pieces: work.pieces,
    };
    wire::Ask {
        ticket,
        shard: shard.to_owned(),
        request: job.request.clone(),
        key: job.key.clone(),
        stages: job.stages.iter().map(work).collect(),
        aim: job.target_time.as_millis() as i64 - now.as_millis() as i64,
        deadline: host::millis(job.deadline.saturating_sub(now)),
        rank: job.rank,
        tail: host::millis(job.request_time),
        zone: job.zone.clone(),
    }
}

/// Decodes a job that another host submits.
pub fn decode_job(now: id::Time, wire: wire::Ask) -> stage::Job {
    let work = |work: wire::Work| stage::Work {
        service: work.service,
        after: work.after.into_iter().map(|stage| stage as usize).collect(),
        bytes: work.bytes,
        pieces: work.pieces,
    };
    let aim = time::Duration::from_millis(wire.aim.unsigned_abs());
    stage::Job {
        request: wire.request,
        key: wire.key,
        stages: wire.stages.into_iter().map(work).collect(),
        target_time: if wire.aim < 0 { now.saturating_sub(aim) } else { now + aim },
        deadline: now + time::Duration::from_millis(wire.deadline),
        rank: wire.rank,
        request_time: time::Duration::from_millis(wire.tail),
        zone: wire.zone,
    }
}
