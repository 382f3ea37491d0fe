//! A pool of threads that grows on demand up to a bound and shrinks when idle.

use std::io;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crossbeam::channel;

/// How long a thread beyond [`SPARE_THREADS`] waits for a job before it ends.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Idle threads that are kept. A job that has to wait for a new thread is late on a busy machine,
/// since the system schedules new threads after those that were ready before.
const SPARE_THREADS: i64 = 8;

/// A job of a pool.
pub type Job = Box<dyn FnOnce() + Send>;

/// Options of a pool.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of its threads.
    pub name: String,
    /// Most threads at a time; further jobs wait.
    pub max_threads: usize,
    /// Stack size of a thread, in bytes.
    pub stack_bytes: usize,
}

/// Threads that run jobs, one at a time on each thread.
pub struct Pool {
    shared: sync::Arc<Shared>,
}

struct Shared {
    options: Options,
    sender: channel::Sender<Job>,
    receiver: channel::Receiver<Job>,
    /// Number of idle threads minus the number of waiting jobs.
    spare: atomic::AtomicI64,
    threads: atomic::AtomicUsize,
    closed: atomic::AtomicBool,
}

impl Pool {
    /// A pool with `SPARE_THREADS` threads, or fewer if the bound is lower.
    pub fn new(options: Options) -> Self {
        let (sender, receiver) = channel::unbounded();
        let (spare, threads) = (atomic::AtomicI64::new(0), atomic::AtomicUsize::new(0));
        let closed = atomic::AtomicBool::new(false);
        let shared = Shared { options, sender, receiver, spare, threads, closed };
        let pool = Pool { shared: sync::Arc::new(shared) };
        (0..SPARE_THREADS).for_each(|_| pool.grow());
        pool
    }

    /// Runs a job as soon as a thread is free.
    pub fn run<F>(&self, job: F)
    where
        F: FnOnce() + Send + 'static,
    {
        let shared = &self.shared;
        let before = shared.spare.fetch_sub(1, atomic::Ordering::AcqRel);
        // The channel can't be closed while the pool holds both of its ends.
        let _ = shared.sender.send(Box::new(job));
        if before <= SPARE_THREADS {
            self.grow();
        }
    }

    /// Number of live threads.
    pub fn threads(&self) -> usize {
        self.shared.threads.load(atomic::Ordering::Relaxed)
    }

    fn grow(&self) {
        let shared = &self.shared;
        let increment = |count: usize| (count < shared.options.max_threads).then_some(count + 1);
        let (set, get) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        if shared.threads.fetch_update(set, get, increment).is_err() {
            return;
        }
        if let Err(error) = spawn(shared) {
            shared.threads.fetch_sub(1, atomic::Ordering::AcqRel);
            log::error!(pool = shared.options.name, error:% = error; "starting a thread failed");
        }
    }
}

fn spawn(shared: &sync::Arc<Shared>) -> io::Result<()> {
    let thread_shared = sync::Arc::clone(shared);
    thread::Builder::new()
        .name(shared.options.name.clone())
        .stack_size(shared.options.stack_bytes)
        .spawn(move || run_jobs(&thread_shared))
        .map(drop)
}

/// Ends idle threads at once and busy ones after their jobs.
impl Drop for Pool {
    fn drop(&mut self) {
        self.shared.closed.store(true, atomic::Ordering::Release);
        for _ in 0..self.threads() {
            // An empty job wakes one thread, which then sees that the pool is closed.
            let _ = self.shared.sender.send(Box::new(|| ()));
        }
    }
}

/// Decrements the number of threads when its thread ends, also by a panic.
struct ThreadGuard<'a>(&'a Shared);

impl Drop for ThreadGuard<'_> {
    fn drop(&mut self) {
        self.0.threads.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

fn run_jobs(shared: &Shared) {
    let _guard = ThreadGuard(shared);
    loop {
        shared.spare.fetch_add(1, atomic::Ordering::AcqRel);
        match next_job(shared) {
            Some(job) => job(),
            None => return,
        }
        if shared.closed.load(atomic::Ordering::Acquire) && shared.receiver.is_empty() {
            return;
        }
    }
}

/// The next job, or `None` if the pool is closed or none came for [`IDLE_TIMEOUT`] and there are
/// more idle threads than [`SPARE_THREADS`].
fn next_job(shared: &Shared) -> Option<Job> {
    loop {
        if let Ok(job) = shared.receiver.recv_timeout(IDLE_TIMEOUT) {
            return Some(job);
        }
        let decrement = |spare: i64| (spare > SPARE_THREADS).then_some(spare - 1);
        let (set, get) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        let closed = shared.closed.load(atomic::Ordering::Acquire);
        if closed || shared.spare.fetch_update(set, get, decrement).is_ok() {
            return None;
        }
    }
}
