//! Starts the parts of a host, connects them and stops them in order.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crossbeam::channel;
use quick_error::quick_error;
use sequoiacrank_config::settings;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::traffic;
use sequoiacrank_peer::client;
use sequoiacrank_peer::server;
use sequoiacrank_platform::hosts;

use crate::clock;
use crate::engine;
use crate::follower;
use crate::front;
use crate::peers;
use crate::platform;
use crate::poller;
use crate::roster;

/// Interval between ticks of the traffic decisions.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Ticks between removals of expired state.
const SWEEP_TICKS: u32 = 20;
/// Most messages of peers that are queued; further ones are dropped.
const INBOUND_CAPACITY: usize = 16 * 1024;
/// Interval between checks for requests in flight during a stop.
const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Longest wait for the handover of shards after all requests have ended.
const HANDOVER_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const STACK_BYTES: usize = 1024 * 1024;

quick_error! {
    /// Why a host could not start.
    #[derive(Debug)]
    pub enum Error {
        /// A thread can't be started.
        Io(error: io::Error) {
            from()
            display("can't start a thread: {error}")
            source(error)
        }
        /// The HTTP interface could not start.
        Front(error: front::Error) {
            from()
            display("{error}")
            source(error)
        }
        /// The server for peers could not start.
        Server(error: server::Error) {
            from()
            display("{error}")
            source(error)
        }
        /// The client for peers could not start.
        Client(error: client::Error) {
            from()
            display("{error}")
            source(error)
        }
    }
}

/// How a host stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All requests had ended.
    Clean,
    /// Requests were in flight when the grace period ended or a second stop was requested.
    Cut,
}

/// A running host. Dropping it stops it at once.
pub struct Running {
    address: net::SocketAddr,
    peer: net::SocketAddr,
    engine: sync::Arc<engine::Engine>,
    stop_count: sync::Arc<atomic::AtomicU32>,
    stop_thread: parking_lot::Mutex<Option<thread::JoinHandle<Outcome>>>,
    stop_requests: channel::Sender<()>,
}

impl Running {
    /// Address for callers and operators.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Address for peers.
    pub fn peer(&self) -> net::SocketAddr {
        self.peer
    }

    /// Whether the host accepts new requests.
    pub fn ready(&self) -> bool {
        self.engine.ready()
    }

    /// Begins a graceful stop; a second call ends the host at once.
    pub fn stop(&self) {
        self.stop_count.fetch_add(1, atomic::Ordering::AcqRel);
        self.engine.leave();
        // The channel is full if a stop was requested before.
        let _ = self.stop_requests.try_send(());
    }

    /// Waits until the host has stopped, which requires a call of [`Running::stop`].
    pub fn wait(&self) -> Outcome {
        let stop_thread = self.stop_thread.lock().take();
        stop_thread.and_then(|stop_thread| stop_thread.join().ok()).unwrap_or(Outcome::Cut)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.stop_thread.lock().is_some() {
            self.stop();
            self.stop();
            self.wait();
        }
    }
}

/// The parts of a host, which are stopped in this order.
struct Parts {
    engine: sync::Arc<engine::Engine>,
    front: front::Front,
    server: server::Server,
    /// Dropping it closes the channel, which ends the threads.
    stop: channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
    stop_count: sync::Arc<atomic::AtomicU32>,
}

/// Starts a host.
///
/// # Errors
///
/// [`Error`] if a part could not start.
pub fn start(settings: settings::Settings) -> Result<Running, Error> {
    let services = platform::connect(&settings.platform);
    start_with(settings, services)
}

/// Starts a host that uses the given services of the platform.
///
/// # Errors
///
/// [`Error`] if a part could not start.
pub fn start_with(
    settings: settings::Settings,
    services: platform::Services,
) -> Result<Running, Error> {
    let (agree_sender, agree_events) = channel::unbounded();
    let (stop, stopped) = channel::bounded(0);
    let engine = engine(settings, agree_sender.clone())?;
    let (server, messages) = server(&engine)?;
    let follower = follower::start(services.log, agree_sender, &engine.peers, &stopped)?;
    let agreement = engine::Agreement::new(sync::Arc::clone(&engine), follower);
    let front = front::start(sync::Arc::clone(&engine))?;
    let own_entry = own_entry(&engine, front.address(), server.address());
    let threads = vec![
        spawn("agree", &stopped, move |stop| agreement.run(&agree_events, stop))?,
        spawn_with_engine(&engine, "inbound", &stopped, move |engine, stop| {
            handle_messages(engine, &messages, stop)
        })?,
        spawn_with_engine(&engine, "ticks", &stopped, tick)?,
        spawn_with_engine(&engine, "poller", &stopped, poller::run)?,
        spawn_with_engine(&engine, "roster", &stopped, move |engine, stop| {
            roster::run(&*services.roster, engine, own_entry, stop);
        })?,
    ];
    let (address, peer) = (front.address(), server.address());
    let stop_count = sync::Arc::new(atomic::AtomicU32::new(0));
    let (stop_requests, stop_requested) = channel::bounded(1);
    let parts = Parts {
        engine: sync::Arc::clone(&engine),
        front,
        server,
        stop,
        threads,
        stop_count: sync::Arc::clone(&stop_count),
    };
    let wait = move || wait_and_stop(parts, &stop_requested);
    let stop_thread = thread::Builder::new().name("stop".into()).spawn(wait)?;
    log::info!(host = engine.settings.host, address:% = address, peer:% = peer; "host started");
    let stop_thread = parking_lot::Mutex::new(Some(stop_thread));
    Ok(Running { address, peer, engine, stop_count, stop_thread, stop_requests })
}

fn engine(
    settings: settings::Settings,
    agree_sender: channel::Sender<agree::Event>,
) -> Result<sync::Arc<engine::Engine>, Error> {
    // 31 bits, since the tickets of loans are counted from the incarnation shifted by 32 bits.
    let incarnation = u64::from(rand::random::<u32>() >> 1);
    let options = client::Options::new(settings.host.clone(), incarnation);
    let client = client::Client::start(options)?;
    Ok(engine::Engine::new(engine::Parts {
        traffic: traffic::Traffic::new(traffic_options(&settings, incarnation)),
        incarnation,
        clock: clock::Clock::new(),
        peers: sync::Arc::new(peers::Peers::new(settings.host.clone(), client)),
        sessions: sync::Arc::default(),
        agree_sender,
        settings,
    }))
}

fn server(
    engine: &engine::Engine,
) -> Result<(server::Server, channel::Receiver<server::Inbound>), Error> {
    let streams = sync::Arc::new(peers::Streams(sync::Arc::clone(&engine.sessions)));
    let (inbound, messages) = channel::bounded(INBOUND_CAPACITY);
    let options = server::Options { listen: engine.settings.peer, ..server::Options::default() };
    Ok((server::Server::start(options, inbound, streams)?, messages))
}

fn traffic_options(settings: &settings::Settings, incarnation: u64) -> traffic::Options {
    traffic::Options {
        host: settings.host.clone(),
        incarnation,
        zone: settings.zone.clone(),
        seed: rand::random(),
        lag: settings.platform.lag,
    }
}

fn own_entry(
    engine: &engine::Engine,
    address: net::SocketAddr,
    peer: net::SocketAddr,
) -> hosts::Entry {
    let settings = &engine.settings;
    hosts::Entry {
        id: settings.host.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address,
        peer,
        leaving: false,
    }
}

/// Starts a thread that ends when `stop` closes.
fn spawn<F>(name: &str, stop: &channel::Receiver<()>, run: F) -> io::Result<thread::JoinHandle<()>>
where
    F: FnOnce(&channel::Receiver<()>) + Send + 'static,
{
    let stop = stop.clone();
    thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(move || run(&stop))
}

/// Like [`spawn`], for a thread that uses the engine.
fn spawn_with_engine<F>(
    engine: &sync::Arc<engine::Engine>,
    name: &str,
    stop: &channel::Receiver<()>,
    run: F,
) -> io::Result<thread::JoinHandle<()>>
where
    F: FnOnce(&sync::Arc<engine::Engine>, &channel::Receiver<()>) + Send + 'static,
{
    let engine = sync::Arc::clone(engine);
    spawn(name, stop, move |stop| run(&engine, stop))
}

fn handle_messages(
    engine: &engine::Engine,
    messages: &channel::Receiver<server::Inbound>,
    stop: &channel::Receiver<()>,
) {
    loop {
        channel::select! {
            recv(messages) -> inbound => match inbound {
                Ok(server::Inbound { from, message, .. }) => engine.receive(from, message),
                Err(_) => return,
            },
            recv(stop) -> _ => return,
        }
    }
}

fn tick(engine: &sync::Arc<engine::Engine>, stop: &channel::Receiver<()>) {
    let ticks = channel::tick(TICK_INTERVAL);
    let mut count = 0_u32;
    loop {
        channel::select! {
            recv(ticks) -> _ => {}
            recv(stop) -> _ => return,
        }
        engine.tick();
        count = count.wrapping_add(1);
        if count.is_multiple_of(SWEEP_TICKS) {
            engine.expire();
        }
    }
}

/// Waits for a stop request and stops the parts.
fn wait_and_stop(mut parts: Parts, stop_requested: &channel::Receiver<()>) -> Outcome {
    // An error means that the host was dropped, which stops it too.
    let _ = stop_requested.recv();
    let outcome = drain(&parts);
    log::info!(host = parts.engine.settings.host, outcome:? = outcome; "host stops");
    parts.front.stop();
    drop(parts.server);
    drop(parts.stop);
    for thread in parts.threads {
        // A thread that panicked has printed the panic already.
        let _ = thread.join();
    }
    outcome
}

/// Waits until nothing is in flight and all shards are handed over, or the stop is forced.
fn drain(parts: &Parts) -> Outcome {
    let start = time::Instant::now();
    let grace = parts.engine.settings.grace;
    let mut idle_since = None;
    loop {
        let running = parts.engine.sessions.running() > 0 || !parts.front.is_idle();
        let forced =
            parts.stop_count.load(atomic::Ordering::Acquire) > 1 || start.elapsed() >= grace;
        match idle_since {
            _ if running && forced => return Outcome::Cut,
            _ if running => idle_since = None,
            _ if parts.engine.has_left() || forced => return Outcome::Clean,
            None => idle_since = Some(time::Instant::now()),
            Some(since) if since.elapsed() >= HANDOVER_TIMEOUT => return Outcome::Clean,
            Some(_) => {}
        }
        thread::sleep(STOP_POLL_INTERVAL);
    }
}
