//! Runs all timed work of a stand-in on one thread, so that a stream needs no thread of its own.

use std::cmp;
use std::collections;
use std::io;
use std::thread;
use std::time;

use crossbeam::channel;

const IDLE_WAIT: time::Duration = time::Duration::from_secs(3600);

/// Work that is done in steps at given times.
pub(crate) trait Task: Send {
    /// Runs one step. Returns when the next one is due, or `None` when the work is done.
    fn step(&mut self, now: time::Instant) -> Option<time::Instant>;
}

/// A task of a single step.
pub(crate) struct Once<F>(Option<F>);

impl<F> Once<F>
where
    F: FnOnce() + Send,
{
    pub(crate) fn new(work: F) -> Once<F> {
        Once(Some(work))
    }
}

impl<F> Task for Once<F>
where
    F: FnOnce() + Send,
{
    fn step(&mut self, _now: time::Instant) -> Option<time::Instant> {
        if let Some(work) = self.0.take() {
            work();
        }
        None
    }
}

enum Command {
    Add(time::Instant, Box<dyn Task>),
    Clear(channel::Sender<()>),
    Stop,
}

/// Handle to the timer thread.
#[derive(Clone)]
pub(crate) struct Timer(channel::Sender<Command>);

impl Timer {
    /// Starts the timer thread, which runs until [`Timer::stop`].
    ///
    /// Fails if the thread cannot be started.
    pub(crate) fn start(name: &str) -> io::Result<(Timer, thread::JoinHandle<()>)> {
        let (sender, commands) = channel::unbounded();
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || run(&commands))?;
        Ok((Timer(sender), thread))
    }

    /// Runs the first step of `task` at `due`.
    pub(crate) fn schedule(&self, due: time::Instant, task: Box<dyn Task>) {
        // The send fails only after the thread has stopped, when no more work is to run.
        let _ = self.0.send(Command::Add(due, task));
    }

    /// Runs `work` after `delay`.
    pub(crate) fn run_after<F>(&self, delay: time::Duration, work: F)
    where
        F: FnOnce() + Send + 'static,
    {
        self.schedule(time::Instant::now() + delay, Box::new(Once::new(work)));
    }

    /// Drops all scheduled tasks and returns once they are dropped.
    pub(crate) fn clear(&self) {
        let (sender, done) = channel::bounded(1);
        if self.0.send(Command::Clear(sender)).is_ok() {
            // An error means that the thread has ended, which drops all tasks as well.
            let _ = done.recv();
        }
    }

    /// Ends the thread; tasks that are still scheduled are dropped.
    pub(crate) fn stop(&self) {
        let _ = self.0.send(Command::Stop);
    }
}

/// A scheduled task. The heap yields the earliest first, and equal times in order of arrival.
struct Entry {
    at: time::Instant,
    sequence: u64,
    task: Box<dyn Task>,
}

impl Entry {
    fn key(&self) -> cmp::Reverse<(time::Instant, u64)> {
        cmp::Reverse((self.at, self.sequence))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

fn run(commands: &channel::Receiver<Command>) {
    let mut heap = collections::BinaryHeap::new();
    let mut sequence = 0;
    loop {
        let now = time::Instant::now();
        while heap.peek().is_some_and(|entry: &Entry| entry.at <= now) {
            let rescheduled = heap.pop().and_then(|entry| step(entry, now));
            heap.extend(rescheduled);
        }
        let next = heap.peek().map_or(now + IDLE_WAIT, |entry| entry.at);
        match commands.recv_deadline(next) {
            Ok(Command::Add(at, task)) => {
                sequence += 1;
                heap.push(Entry { at, sequence, task });
            }
            Ok(Command::Clear(done)) => {
                heap.clear();
                let _ = done.send(());
            }
            Err(channel::RecvTimeoutError::Timeout) => {}
            Ok(Command::Stop) | Err(channel::RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn step(mut entry: Entry, now: time::Instant) -> Option<Entry> {
    entry.at = entry.task.step(now)?;
    Some(entry)
}
