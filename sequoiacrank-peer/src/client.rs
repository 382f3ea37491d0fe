//! Sends messages to peers and follows streams of requests that run on them.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crossbeam::channel;
use parking_lot::Mutex;
use quick_error::quick_error;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use sequoiacrank_kernel::message;

use crate::delivery;
use crate::event;
use crate::runtime;
use crate::wire;

/// Options of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this host, sent with each batch.
    pub host: id::HostId,
    /// Incarnation of this host.
    pub incarnation: id::Incarnation,
    /// Maximum number of messages queued for one peer; beyond it the oldest are dropped.
    pub queue_capacity: usize,
    /// How long messages are collected before they are sent as a batch.
    pub batch_delay: time::Duration,
    /// Maximum size of a batch in bytes; a larger message is sent alone.
    pub batch_bytes: usize,
    /// Timeout of connecting to a peer.
    pub connect_timeout: time::Duration,
    /// Timeout of one delivery, and of the start of a followed stream.
    pub call_timeout: time::Duration,
    /// How long a message may be queued before it is dropped.
    pub max_age: time::Duration,
    /// Pause after the first failed delivery; it doubles up to [`Options::max_backoff`].
    pub min_backoff: time::Duration,
    /// Longest pause after failed deliveries.
    pub max_backoff: time::Duration,
    /// A connection that carries no message for this long is closed.
    pub idle_timeout: time::Duration,
}

impl Options {
    /// Default options of a host.
    pub fn new(host: id::HostId, incarnation: id::Incarnation) -> Options {
        Options {
            host,
            incarnation,
            queue_capacity: 1024,
            batch_delay: time::Duration::from_millis(2),
            batch_bytes: 1 << 20,
            connect_timeout: time::Duration::from_secs(1),
            call_timeout: time::Duration::from_secs(2),
            max_age: time::Duration::from_secs(10),
            min_backoff: time::Duration::from_millis(50),
            max_backoff: time::Duration::from_secs(2),
            idle_timeout: time::Duration::from_secs(60),
        }
    }
}

quick_error! {
    /// Why a client could not start.
    #[derive(Debug)]
    pub enum Error {
        /// The runtime could not start its thread.
        Io(error: io::Error) {
            from()
            display("can't start the peer client: {error}")
            source(error)
        }
    }
}

/// Counters since the start of a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that peers accepted.
    pub delivered: u64,
    /// Messages dropped because the queue was full, they were too old, or the peer refused them.
    pub dropped: u64,
    /// Failed deliveries; each may be of several messages.
    pub failed: u64,
    /// Peers that currently have a queue.
    pub peers: usize,
}

/// A running client; dropping it discards queued messages.
pub struct Client {
    shared: sync::Arc<Shared>,
    runtime: runtime::Runtime,
}

/// State that the client shares with the tasks of its peers.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) peers: Mutex<map::FastMap<net::SocketAddr, sync::Arc<delivery::Peer>>>,
    pub(crate) delivered: atomic::AtomicU64,
    pub(crate) dropped: atomic::AtomicU64,
    pub(crate) failed: atomic::AtomicU64,
}

impl Client {
    /// Starts a client; connections are opened on demand.
    ///
    /// # Errors
    ///
    /// [`Error`] if its thread can't be started.
    pub fn start(options: Options) -> Result<Client, Error> {
        let runtime = runtime::Runtime::new("peer-client")?;
        let shared = sync::Arc::new(Shared {
            options,
            peers: Mutex::default(),
            delivered: atomic::AtomicU64::new(0),
            dropped: atomic::AtomicU64::new(0),
            failed: atomic::AtomicU64::new(0),
        });
        Ok(Client { shared, runtime })
    }

    /// Queues a message for the peer at `to` without blocking. The message may be lost, delayed or
    /// duplicated.
    pub fn send(&self, to: net::SocketAddr, message: message::Message) {
        let mut peers = self.shared.peers.lock();
        let peer = peers.entry(to).or_insert_with(|| {
            let peer = sync::Arc::new(delivery::Peer::new(to, &self.shared.options));
            self.runtime.handle().spawn(delivery::run(self.shared.clone(), peer.clone()));
            peer
        });
        let dropped = peer.push(wire::Message::from(message));
        self.shared.dropped.fetch_add(dropped, atomic::Ordering::Relaxed);
    }

    /// Follows the stream of `request`, which runs on the host at `address`, from the event after
    /// number `after`.
    ///
    /// The last item is one of the variants of [`event::Followed`] that end the stream. If the
    /// receiver is dropped, the call ends with the next event.
    pub fn follow(
        &self,
        address: net::SocketAddr,
        request: id::RequestId,
        after: u64,
    ) -> channel::Receiver<event::Followed> {
        let (sender, receiver) = channel::bounded(delivery::FOLLOW_BUFFER);
        let shared = self.shared.clone();
        self.runtime.handle().spawn(delivery::follow(shared, address, request, after, sender));
        receiver
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        Counts {
            delivered: self.shared.delivered.load(atomic::Ordering::Relaxed),
            dropped: self.shared.dropped.load(atomic::Ordering::Relaxed),
            failed: self.shared.failed.load(atomic::Ordering::Relaxed),
            peers: self.shared.peers.lock().len(),
        }
    }
}
