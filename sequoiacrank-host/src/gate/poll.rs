//! The event loop that polls the listener and all connections.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use sequoiacrank_kernel::code;

use crate::gate;
use crate::gate::callers;
use crate::gate::connection;
use crate::problem;

const LISTENER: mio::Token = mio::Token(0);
const WAKER: mio::Token = mio::Token(1);
/// Number of tokens below those of connections.
const RESERVED_TOKENS: usize = 2;
/// Interval between checks of deadlines.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Most connections accepted in one round of the loop, so that accepting many of them leaves time
/// for the open ones.
const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// Most rounds of accepting connections before the listener closes, so that a high rate of new
/// connections does not delay a stop.
const MAX_FINAL_ACCEPT_ROUNDS: usize = 64;
/// Most turns of one connection in one round of the loop.
const MAX_TURNS_PER_ROUND: usize = 8;
/// Most events received from the system at a time.
const MAX_EVENTS_PER_POLL: usize = 1024;
/// Longest time between a stop and the end of the loop.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// During a stop, connections close once no request has been in transfer for this long. In this
/// time callers that have just connected still send a request.
const STOP_IDLE_TIME: time::Duration = time::Duration::from_millis(500);

/// A stop in progress.
struct Stop {
    /// When the loop ends even if requests are in transfer.
    deadline: time::Instant,
    /// Since when no request has been in transfer.
    idle_since: time::Instant,
}

/// The event loop with all its connections.
pub struct Loop {
    pub(super) options: gate::Options,
    pub(super) callers: sync::Arc<callers::Callers>,
    pub(super) counters: sync::Arc<gate::Counters>,
    pub(super) poll: mio::Poll,
    /// `None` once a stop has begun.
    pub(super) listener: Option<mio::net::TcpListener>,
    /// Connections by slot; `None` where a slot is free.
    pub(super) connections: Vec<Option<connection::Connection>>,
    pub(super) free_slots: Vec<usize>,
    /// Slots and stamps of connections in the order in which they began to wait for a head, with
    /// outdated entries of those that no longer wait.
    pub(super) idle_queue: collections::VecDeque<(usize, u64)>,
    /// Slots whose connections can continue without an event of a socket.
    pub(super) runnable: Vec<usize>,
    /// Whether the listener may have connections to accept.
    pub(super) accepting: bool,
    /// Number of relayed requests that run a pipeline or follow a request.
    pub(super) long_running: usize,
    /// Number of other relayed requests.
    pub(super) control_requests: usize,
    /// Bytes of larger bodies that are buffered, or announced and not yet received.
    pub(super) buffered_bytes: usize,
    /// Number of the last relayed request.
    pub(super) last_number: u64,
    pub(super) last_stamp: u64,
}

impl Loop {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// An error of the system if the address can't be listened on.
    pub fn new(
        options: gate::Options,
        callers: sync::Arc<callers::Callers>,
        counters: sync::Arc<gate::Counters>,
    ) -> io::Result<Self> {
        let poll = mio::Poll::new()?;
        let mut listener = mio::net::TcpListener::bind(options.listen)?;
        poll.registry().register(&mut listener, LISTENER, mio::Interest::READABLE)?;
        Ok(Loop {
            options,
            callers,
            counters,
            poll,
            listener: Some(listener),
            connections: Vec::new(),
            free_slots: Vec::new(),
            idle_queue: collections::VecDeque::new(),
            runnable: Vec::new(),
            accepting: false,
            long_running: 0,
            control_requests: 0,
            buffered_bytes: 0,
            last_number: 0,
            last_stamp: 0,
        })
    }

    /// Where callers connect.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        let listener = self.listener.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        listener.local_addr()
    }

    /// A waker of the loop.
    pub fn waker(&self) -> io::Result<mio::Waker> {
        mio::Waker::new(self.poll.registry(), WAKER)
    }

    /// Runs until `stop` is set and either the responses in transfer are written or
    /// [`STOP_TIMEOUT`] has passed.
    pub fn run(&mut self, stop: &atomic::AtomicBool) {
        let mut events = mio::Events::with_capacity(MAX_EVENTS_PER_POLL);
        let mut last_sweep = time::Instant::now();
        let mut stopping = None;
        while !self.is_stopped(stop, &mut stopping) {
            let busy = self.accepting || !self.runnable.is_empty();
            let wait = if busy { time::Duration::ZERO } else { SWEEP_INTERVAL };
            match self.poll.poll(&mut events, Some(wait)) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::error!(error:% = error; "polling the connections of the gate failed");
                    return;
                }
            }
            self.handle_events(&events);
            if last_sweep.elapsed() >= SWEEP_INTERVAL {
                last_sweep = time::Instant::now();
                self.sweep(last_sweep);
            }
        }
    }

    /// Accepts the connections that the system has queued and closes the listener. The system
    /// refuses further connections, so that callers know that their request was not received.
    fn close_listener(&mut self) {
        self.accepting = self.listener.is_some();
        for _ in 0..MAX_FINAL_ACCEPT_ROUNDS {
            if self.accepting {
                self.accept();
            }
        }
        self.listener = None;
    }

    fn is_stopped(&mut self, stop: &atomic::AtomicBool, stopping: &mut Option<Stop>) -> bool {
        if !stop.load(atomic::Ordering::Acquire) {
            return false;
        }
        self.close_listener();
        let now = time::Instant::now();
        let stopping =
            stopping.get_or_insert(Stop { deadline: now + STOP_TIMEOUT, idle_since: now });
        if self.connections.iter().flatten().any(connection::Connection::is_busy) {
            stopping.idle_since = now;
        }
        now >= stopping.deadline || now >= stopping.idle_since + STOP_IDLE_TIME
    }

    fn handle_events(&mut self, events: &mio::Events) {
        let mut ready = std::mem::take(&mut self.runnable);
        for event in events {
            match event.token() {
                LISTENER => self.accepting = true,
                WAKER => {}
                token => ready.push((token.0 - RESERVED_TOKENS) / 2),
            }
        }
        ready.sort_unstable();
        ready.dedup();
        for slot in ready {
            self.run_turns(slot);
        }
        if self.accepting {
            self.accept();
        }
    }

    fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            let Some(listener) = &self.listener else {
                self.accepting = false;
                return;
            };
            match listener.accept() {
                Ok((caller, _)) => self.admit(caller),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.accepting = false;
                    return;
                }
                Err(error) => {
                    log::warn!(error:% = error; "accepting a connection failed");
                    self.accepting = false;
                    return;
                }
            }
        }
    }

    /// Adds a connection; at the bound, the one that has waited longest for a head is closed first.
    fn admit(&mut self, mut caller: mio::net::TcpStream) {
        let open = self.connections.len() - self.free_slots.len();
        if open >= self.options.bounds.connections && !self.evict() {
            let full =
                problem::Problem::refused(code::Code::QueueFull, "too many connections are open");
            // The connection is closed whether the refusal can be written or not.
            let _ = io::Write::write(&mut caller, &full.response());
            self.counters.refused.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        // Avoids delays of small writes; the connection works without it.
        let _ = caller.set_nodelay(true);
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        if self.register(&mut caller, slot, 0).is_err() {
            self.free_slots.push(slot);
            return;
        }
        let deadline = time::Instant::now() + self.options.bounds.idle;
        let mut connection = connection::Connection::new(caller, deadline);
        connection.stamp = self.next_stamp();
        self.idle_queue.push_back((slot, connection.stamp));
        self.connections[slot] = Some(connection);
        self.counters.open.fetch_add(1, atomic::Ordering::Relaxed);
        self.run_turns(slot);
    }

    pub(super) fn next_stamp(&mut self) -> u64 {
        self.last_stamp += 1;
        self.last_stamp
    }

    /// Registers a socket of the connection in a slot; `side` is 0 for the caller's socket and 1 for
    /// the internal one.
    pub(super) fn register(
        &self,
        stream: &mut mio::net::TcpStream,
        slot: usize,
        side: usize,
    ) -> io::Result<()> {
        let token = mio::Token(RESERVED_TOKENS + 2 * slot + side);
        let interest = mio::Interest::READABLE | mio::Interest::WRITABLE;
        self.poll.registry().register(stream, token, interest)
    }

    /// Closes the connection that has waited longest for a head; returns whether there was one.
    fn evict(&mut self) -> bool {
        while let Some((slot, stamp)) = self.idle_queue.pop_front() {
            let found = self.connections[slot].as_ref();
            let idle = found.is_some_and(|found| {
                found.stamp == stamp && matches!(found.phase, connection::Phase::Head)
            });
            if idle {
                self.close(slot);
                return true;
            }
        }
        false
    }

    fn run_turns(&mut self, slot: usize) {
        for _ in 0..MAX_TURNS_PER_ROUND {
            if !self.turn(slot) {
                return;
            }
        }
        self.runnable.push(slot);
    }

    /// Runs one turn of a connection; returns whether another one can follow at once.
    fn turn(&mut self, slot: usize) -> bool {
        let now = time::Instant::now();
        let Some(connection) = self.connections[slot].as_mut() else { return false };
        let limit = match &connection.phase {
            connection::Phase::Body(head) => head.body_bytes,
            _ => self.options.bounds.head_bytes,
        };
        match connection.turn(limit, now) {
            Ok(connection::Turn::Blocked) => self.advance(slot, now),
            Ok(connection::Turn::Again) => {
                self.advance(slot, now);
                true
            }
            Ok(connection::Turn::Served) => {
                self.response_sent(slot, now);
                true
            }
            Ok(connection::Turn::Close) => {
                self.end_request(slot, true);
                self.update(slot, |connection| connection.start_closing(now));
                true
            }
            Ok(connection::Turn::Disconnected) | Err(_) => {
                self.close(slot);
                false
            }
        }
    }

    pub(super) fn update<F>(&mut self, slot: usize, change: F)
    where
        F: FnOnce(&mut connection::Connection),
    {
        if let Some(connection) = self.connections[slot].as_mut() {
            change(connection);
        }
    }

    fn sweep(&mut self, now: time::Instant) {
        for slot in 0..self.connections.len() {
            let Some(connection) = &self.connections[slot] else { continue };
            match connection.deadline {
                Some(deadline) if deadline <= now => self.deadline_passed(slot, now),
                _ => {}
            }
        }
    }

    fn deadline_passed(&mut self, slot: usize, now: time::Instant) {
        let Some(connection) = &self.connections[slot] else { return };
        let started = match &connection.phase {
            connection::Phase::Head => !connection.input.is_empty(),
            connection::Phase::Body(_) => true,
            _ => false,
        };
        if !started {
            return self.close(slot);
        }
        let too_late = problem::Problem::refused(
            code::Code::BadRequest,
            "the request did not arrive whole in time",
        );
        self.refuse(slot, &too_late, now);
        self.runnable.push(slot);
    }
}
