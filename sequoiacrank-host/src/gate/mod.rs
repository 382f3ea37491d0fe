//! The public listener, which bounds the connections, memory and time that callers can take up
//! before their requests occupy threads.
//!
//! One thread polls all connections. It reads a complete request within bounds on size and time,
//! and only then opens a connection to the internal HTTP server, one for each request. Responses
//! are relayed through a bounded buffer; a caller that disconnects or reads too slowly is dropped.

mod buffer;
mod callers;
mod connection;
mod files;
mod head;
mod poll;
mod requests;

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use sequoiacrank_config::settings;

pub use callers::Callers;
pub use head::{GATE_HEADER, GateHeader};

/// Options of the gate.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where callers connect.
    pub listen: net::SocketAddr,
    /// Address of the internal HTTP server.
    pub internal: net::SocketAddr,
    /// Bounds on the connections, requests, sizes and waiting times of callers.
    pub bounds: settings::Bounds,
    /// Secret that authenticates the gate's requests to the internal HTTP server.
    pub secret: String,
}

/// Counters for metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Open connections.
    pub open: atomic::AtomicUsize,
    /// Requests handed to the internal HTTP server whose response is not complete yet.
    pub relayed: atomic::AtomicUsize,
    /// Connections and requests refused by the gate.
    pub refused: atomic::AtomicU64,
}

/// A running gate.
pub struct Gate {
    address: net::SocketAddr,
    callers: sync::Arc<Callers>,
    counters: sync::Arc<Counters>,
    stop: sync::Arc<atomic::AtomicBool>,
    waker: sync::Arc<mio::Waker>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts the gate.
///
/// # Errors
///
/// An error of the system if the address can't be listened on or the thread can't be started.
pub fn start(mut options: Options) -> io::Result<Gate> {
    options.bounds.connections = files::connection_limit(&options.bounds);
    let callers = sync::Arc::new(Callers::default());
    let counters = sync::Arc::new(Counters::default());
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let mut poll =
        poll::Loop::new(options, sync::Arc::clone(&callers), sync::Arc::clone(&counters))?;
    let (address, waker) = (poll.address()?, poll.waker()?);
    let stopped = sync::Arc::clone(&stop);
    let thread = thread::Builder::new().name("gate".into()).spawn(move || poll.run(&stopped))?;
    Ok(Gate {
        address,
        callers,
        counters,
        stop,
        waker: sync::Arc::new(waker),
        thread: Some(thread),
    })
}

impl Gate {
    /// Where callers connect.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Callers of running requests.
    pub fn callers(&self) -> sync::Arc<Callers> {
        sync::Arc::clone(&self.callers)
    }

    /// Counters for metrics.
    pub fn counters(&self) -> sync::Arc<Counters> {
        sync::Arc::clone(&self.counters)
    }

    /// Closes the listener and, once the responses in transfer are written or a time limit has
    /// passed, all connections.
    pub fn stop(&mut self) {
        self.stop.store(true, atomic::Ordering::Release);
        // Without a wake-up the loop sees the stop at its next sweep.
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
