//! Graceful shutdown: the host first fails the load balancer's health checks, then closes its
//! connections, waits for its requests to end, and exits. Requests that still run at the end of the
//! grace period are ended.

use std::cell;
use std::future;
use std::io;
use std::rc;
use std::time;

use sequoiacrank_kernel::edge::exit;
use sequoiacrank_kernel::id;
use tokio::signal::unix;
use tokio::sync::watch;

use crate::duties;
use crate::host;

/// Time for which new requests are still served. The load balancer stops sending after two failed
/// checks, one a second, and requests that it sent before may still arrive.
const ACCEPT_TIME: time::Duration = time::Duration::from_millis(2600);
/// Time between two checks whether all requests have ended.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Number of such intervals for which requests that are ended may take to end.
const MAX_ENDING_CHECKS: u32 = 4;

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown has begun.
    Serving,
    /// The health checks of the load balancer fail; new requests are still served if they end before
    /// the process does.
    Leaving,
    /// New requests are refused; each connection closes after the answer to its current request.
    Closing,
    /// Requests that still run are ended.
    Ending,
}

/// State of the shutdown, and the number of requests that it waits for.
pub struct Stop {
    phase: watch::Sender<Phase>,
    exit: cell::Cell<exit::Exit>,
    active: cell::Cell<usize>,
    /// Number of connections on which bytes wait to be written.
    blocked: cell::Cell<usize>,
}

impl Default for Stop {
    fn default() -> Self {
        Stop {
            phase: watch::Sender::new(Phase::Serving),
            exit: cell::Cell::default(),
            active: cell::Cell::new(0),
            blocked: cell::Cell::new(0),
        }
    }
}

/// Counts a request as active until it is dropped.
pub struct ActiveRequest(rc::Rc<host::Host>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let active = &self.0.stop.active;
        active.set(active.get().saturating_sub(1));
    }
}

impl Stop {
    /// Whether a shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Whether new requests are refused.
    pub fn is_closing(&self) -> bool {
        *self.phase.borrow() >= Phase::Closing
    }

    /// Whether a request with this deadline may be taken.
    pub fn allows(&self, deadline: id::Time) -> bool {
        self.exit.get().allows(deadline)
    }

    /// Waits until a phase has begun.
    pub async fn reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        if phases.wait_for(|current| *current >= phase).await.is_err() {
            // The sender is a field of this value.
            future::pending::<()>().await;
        }
    }

    /// Counts a request as active until the returned value is dropped.
    pub fn begin_request(host: &rc::Rc<host::Host>) -> ActiveRequest {
        host.stop.active.set(host.stop.active.get() + 1);
        ActiveRequest(host.clone())
    }

    /// Counts a connection on which bytes begin or cease to wait to be written.
    pub fn count_blocked(&self, blocked: bool) {
        let count = self.blocked.get();
        self.blocked.set(if blocked { count + 1 } else { count.saturating_sub(1) });
    }

    /// Number of active requests.
    pub fn active_requests(&self) -> usize {
        self.active.get()
    }
}

/// Waits for SIGTERM or SIGINT, then for the end of all requests and stage work, but not beyond the
/// grace period. SIGHUP reloads the settings.
///
/// # Errors
///
/// When a signal handler can't be installed.
pub async fn wait(host: &rc::Rc<host::Host>) -> io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut reload = unix::signal(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => host.reload("SIGHUP"),
        }
    }
    let exit = exit::Exit::plan(host.clock.now(), host.reloadable.borrow().grace);
    host.stop.exit.set(exit);
    host.stop.phase.send_replace(Phase::Leaving);
    host.peers.send_heartbeats(host);
    log::info!(target: "process", requests = host.stop.active_requests(); "stopping");
    tokio::time::sleep(ACCEPT_TIME).await;
    host.stop.phase.send_replace(Phase::Closing);
    let is_serving = || host.stop.active_requests() > 0 || host.stop.blocked.get() > 0;
    while !exit.is_due(host.clock.now()) && (is_serving() || host.batcher.len() > 0) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    if host.stop.active_requests() > 0 {
        log::warn!(target: "process", requests = host.stop.active_requests(); "ending requests in flight");
    }
    host.stop.phase.send_replace(Phase::Ending);
    for _ in 1..MAX_ENDING_CHECKS {
        if !is_serving() {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    duties::usage::send_final(host);
    // Lets the connections write the answers that they were given.
    tokio::time::sleep(CHECK_INTERVAL).await;
    Ok(())
}
