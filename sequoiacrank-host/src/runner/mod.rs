//! Runs calls of stages to endpoints, each on a thread of a bounded pool.

mod answer;
mod body;
mod call;
mod stream;

use std::net;
use std::panic;
use std::sync;
use std::sync::atomic;
use std::time;

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

use crate::clock;
use crate::pool;
use crate::session;

/// Stack of a thread that runs a call.
const STACK_BYTES: usize = 256 * 1024;
/// How long a cancellation is kept for a call that has not started yet.
const EARLY_CANCEL_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Receives the progress of calls.
pub trait Sink: Send + Sync {
    /// The first byte of a streamed answer arrived, or another answer was read completely.
    fn first_byte(&self, call: &Call);
    /// A call ended, `elapsed` after it was handed to the runner.
    fn ended(&self, call: &Call, ending: traffic::Ending, elapsed: time::Duration);
}

/// One call of a stage on an endpoint.
pub struct Call {
    /// The command of the kernel.
    pub dispatch: traffic::Dispatch,
    /// Session of its request.
    pub session: sync::Arc<session::Session>,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Kind of the endpoint's service.
    pub kind: plan::Kind,
    /// Version of the endpoint.
    pub version: id::VersionId,
    cancelled: atomic::AtomicBool,
}

impl Call {
    /// A call that is not cancelled.
    pub fn new(
        dispatch: traffic::Dispatch,
        session: sync::Arc<session::Session>,
        endpoint: &plan::Endpoint,
        kind: plan::Kind,
    ) -> Self {
        let (address, version) = (endpoint.address, endpoint.version.clone());
        Call { dispatch, session, address, kind, version, cancelled: false.into() }
    }

    /// The declaration of the stage.
    pub fn stage(&self) -> Option<&plan::Stage> {
        self.session.pipeline.stages.get(self.dispatch.stage)
    }

    /// Whether this is the last stage, whose output goes to the caller.
    pub fn is_last_stage(&self) -> bool {
        self.dispatch.stage + 1 == self.session.pipeline.stages.len()
    }

    fn cancelled(&self) -> bool {
        self.cancelled.load(atomic::Ordering::Acquire)
    }
}

/// Runs calls on a pool of threads.
pub struct Runner {
    pool: pool::Pool,
    calls: sync::Arc<parking_lot::Mutex<Calls>>,
    clock: clock::Clock,
}

#[derive(Default)]
struct Calls {
    running: map::FastMap<id::AttemptId, sync::Arc<Call>>,
    /// Attempts cancelled before their call started, since commands of two threads may be
    /// reordered.
    early_cancels: map::FastMap<id::AttemptId, id::Time>,
}

impl Runner {
    /// A runner of at most `max_threads` concurrent calls.
    pub fn new(max_threads: usize, clock: clock::Clock) -> Self {
        let options = pool::Options { name: "call".into(), max_threads, stack_bytes: STACK_BYTES };
        Runner { pool: pool::Pool::new(options), calls: sync::Arc::default(), clock }
    }

    /// Starts a call; its session must have begun the attempt.
    pub fn run(&self, call: Call, sink: sync::Arc<dyn Sink>) {
        let call = sync::Arc::new(call);
        let attempt = call.dispatch.attempt;
        {
            let mut calls = self.calls.lock();
            let cancelled = calls.early_cancels.remove(&attempt).is_some();
            call.cancelled.store(cancelled, atomic::Ordering::Release);
            calls.running.insert(attempt, sync::Arc::clone(&call));
        }
        let (calls, clock, since) = (sync::Arc::clone(&self.calls), self.clock, self.clock.now());
        self.pool.run(move || {
            let run = panic::AssertUnwindSafe(|| call::run(&call, &clock, &*sink));
            // A panic on what an endpoint sends must neither leave a call open nor end the thread.
            let fault = traffic::Fault::Garbled;
            let ending = panic::catch_unwind(run)
                .unwrap_or(traffic::Ending::Bad { fault, delivered: false });
            calls.lock().running.remove(&attempt);
            sink.ended(&call, ending, clock.now().saturating_sub(since));
        });
    }

    /// Cancels a call. Its connection closes when the next bytes of a streamed answer arrive, when
    /// any other answer is complete, or at the read timeout, since the client library can't
    /// interrupt a read.
    pub fn cancel(&self, attempt: id::AttemptId) {
        let mut calls = self.calls.lock();
        match calls.running.get(&attempt) {
            Some(call) => call.cancelled.store(true, atomic::Ordering::Release),
            None => {
                calls.early_cancels.insert(attempt, self.clock.now());
            }
        }
    }

    /// Drops cancellations of calls that never started.
    pub fn expire(&self, now: id::Time) {
        self.calls.lock().early_cancels.retain(|_, at| *at + EARLY_CANCEL_RETENTION > now);
    }

    /// Number of calls in flight.
    pub fn running(&self) -> usize {
        self.calls.lock().running.len()
    }

    /// Number of live threads.
    pub fn threads(&self) -> usize {
        self.pool.threads()
    }
}
