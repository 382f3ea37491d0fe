//! Incoming connections of other hosts.

use std::cell;
use std::net;
use std::rc;
use std::time;

use bytes::BytesMut;
use quick_error::quick_error;
use sequoiacrank_kernel::edge::endpoint;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::id;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

use crate::host;
use crate::memory;
use crate::memory::listener;
use crate::memory::pressure;
use crate::peer;
use crate::peer::wire;
use crate::relay;
use crate::socket;
use crate::stop;

/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(200);
/// Smallest buffer for messages in bytes; most messages are shorter.
const MIN_BUFFER: usize = account::MESSAGE_BYTES;
/// Size in bytes from which on a buffer is released after its message.
const MAX_KEPT_BUFFER: usize = 64 << 10;

/// Accepts connections of other hosts and handles their messages.
pub async fn listen(host: rc::Rc<host::Host>, listener: TcpListener) {
    let mut connection = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connection += 1;
                accept(&host, stream, connection);
            }
            Err(err) => {
                log::warn!(target: "hosts", err = err.to_string().as_str(); "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// When a connection was last used.
struct Usage {
    /// When bytes arrived last.
    read: cell::Cell<id::Time>,
    /// Sender of the last valid message, and when it arrived.
    spoken: cell::Cell<Option<(net::SocketAddr, id::Time)>>,
}

impl Usage {
    /// Rank among the connections that may be closed for a new one; `None` if a live host uses this
    /// one.
    fn rank(&self, host: &host::Host) -> Option<listener::Rank> {
        match self.spoken.get() {
            None => Some(listener::Rank { has_spoken: false, since: self.read.get() }),
            Some((from, last))
                if host.peers.members().uses_connection(host.clock.now(), from, last) =>
            {
                None
            }
            Some((_, since)) => Some(listener::Rank { has_spoken: true, since }),
        }
    }
}

/// Starts to read a connection if there is a place for it.
fn accept(host: &rc::Rc<host::Host>, stream: TcpStream, connection: u64) {
    let known = host.peers.members().known_hosts();
    let bound = known * listener::CONNECTIONS_PER_HOST + listener::MAX_UNKNOWN_HOSTS;
    let now = cell::Cell::new(host.clock.now());
    let usage = rc::Rc::new(Usage { read: now, spoken: cell::Cell::new(None) });
    let (ranked, known_by) = (usage.clone(), host.clone());
    let since: listener::IdleSince = Box::new(move || ranked.rank(&known_by));
    let place = listener::admit(&host.memory, |memory| &memory.hosts, bound, since);
    if let Some(place) = place {
        task::spawn_local(read(host.clone(), stream, connection, place, usage));
    }
}

/// Reads a connection until it ends or has to make room, and records the end.
async fn read(
    host: rc::Rc<host::Host>,
    mut stream: TcpStream,
    connection: u64,
    place: listener::Place,
    usage: rc::Rc<Usage>,
) {
    let result = tokio::select! {
        biased;
        result = read_frames(&host, &mut stream, connection, &usage) => result,
        () = place.closed() => Ok(None),
    };
    if let Ok(Some(request)) = result {
        drop(place);
        relay_connection(&host, stream, request).await;
        return;
    }
    if let Err(err) = result {
        let level = match err {
            Error::Message(_) => log::Level::Warn,
            // Counted in one warning a second, as many connections may end at once.
            Error::NoRoom => {
                host.memory.pressure.record(pressure::Cause::MessageLost);
                log::Level::Info
            }
        };
        log::log!(target: "hosts", level, err = err.to_string().as_str(); "connection closed");
    }
    host.peers.members.borrow_mut().record_closed(connection);
}

quick_error! {
    /// Why a connection was closed.
    #[derive(Debug)]
    enum Error {
        /// A message cannot be decoded.
        Message(error: wire::Error) {
            from()
            display("message cannot be decoded: {error}")
            source(error)
        }
        /// There is no memory for a message.
        NoRoom {
            display("no memory for a message")
        }
    }
}

/// The bytes of a connection that belong to no complete message yet.
struct Buffer {
    bytes: BytesMut,
    /// Bytes that `lease` holds.
    held: usize,
    lease: memory::Lease,
}

impl Buffer {
    /// Makes room for more bytes once there is memory for them.
    async fn reserve(&mut self) -> Result<(), memory::NoRoom> {
        if self.bytes.is_empty() && self.held > MAX_KEPT_BUFFER {
            self.bytes = BytesMut::new();
            self.lease.shrink(std::mem::take(&mut self.held));
        }
        if self.bytes.len() < self.bytes.capacity() {
            return Ok(());
        }
        let left = missing(&self.bytes);
        let more = self.bytes.len().min(left).max(MIN_BUFFER);
        let capacity = self.bytes.len() + more;
        self.lease.grow(capacity.saturating_sub(self.held)).await?;
        self.held = self.held.max(capacity);
        self.bytes.reserve(more);
        Ok(())
    }
}

/// Number of bytes that are missing from the message that `buffer` begins with; 0 if that is not
/// known.
fn missing(buffer: &[u8]) -> usize {
    let length = buffer.first_chunk::<{ wire::PREFIX_SIZE }>();
    let length = length.map(|prefix| u32::from_be_bytes(*prefix) as usize + wire::PREFIX_SIZE);
    length.map_or(0, |length| length.saturating_sub(buffer.len()))
}

/// A request to relay the connection to an endpoint, and bytes that followed it.
struct RelayRequest {
    address: String,
    first: BytesMut,
}

/// Relays a connection, if this host takes requests for others now.
async fn relay_connection(host: &rc::Rc<host::Host>, stream: TcpStream, request: RelayRequest) {
    let RelayRequest { address, first } = request;
    let endpoint = address.parse().ok().filter(|&it| may_relay(host, it));
    let busy: listener::IdleSince = Box::new(|| None);
    let bound = relay::MAX_RELAYED;
    let place =
        endpoint.and_then(|_| listener::admit(&host.memory, |memory| &memory.relayed, bound, busy));
    let (Some(endpoint), Some(_place)) = (endpoint, place) else {
        log::info!(target: "hosts", address = address.as_str(); "relay declined");
        return relay::decline(stream).await;
    };
    host.metrics.relayed.inc();
    let _active = stop::Stop::begin_request(host);
    tokio::select! {
        result = relay::serve(stream, &host.pool.dialer, endpoint, first) => {
            if let Err(err) = result {
                let err = err.to_string();
                log::info!(target: "hosts", address = address.as_str(), err = err.as_str(); "relay broken");
            }
        }
        () = host.stop.reached(stop::Phase::Ending) => {}
    }
}

/// Whether this host may connect to an address for another host: an endpoint is there that takes
/// requests of this one.
fn may_relay(host: &host::Host, address: net::SocketAddr) -> bool {
    let (now, facts) = (host.clock.now(), host.facts.borrow());
    let takes = |it: &endpoint::Endpoint| {
        it.address == address && facts.fleet.notices.accepts(now, it.instance())
    };
    !host.stop.is_leaving()
        && host.pool.dialer.may_relay(address)
        && facts.fleet.usable().any(takes)
}

/// Handles messages until the connection ends, or is to be relayed. Keeps `usage` up to date.
async fn read_frames(
    host: &rc::Rc<host::Host>,
    stream: &mut TcpStream,
    connection: u64,
    usage: &Usage,
) -> Result<Option<RelayRequest>, Error> {
    let lease = host.memory.lease(account::Class::Message);
    let mut buffer = Buffer { bytes: BytesMut::new(), held: 0, lease };
    if let Err(err) = socket::configure_socket(stream) {
        log::info!(target: "hosts", err = err.to_string().as_str(); "setting socket options failed");
        return Ok(None);
    }
    loop {
        if let Some(frame) = wire::decode(&mut buffer.bytes)? {
            if let Some(wire::Body::Relay(wire::Relay { address })) = frame.body {
                return Ok(Some(RelayRequest { address, first: buffer.bytes }));
            }
            let from = frame.from.parse().ok();
            // Logs a sender whose address cannot be parsed.
            peer::receive(host, frame, connection);
            usage.spoken.set(from.map(|from| (from, host.clock.now())).or(usage.spoken.get()));
            continue;
        }
        buffer.reserve().await.map_err(|memory::NoRoom| Error::NoRoom)?;
        // A connection without a message is quiet, not stalled. If it were evicted, its memory would
        // count as about to be released, and no body would be refused or evicted instead.
        match buffer.bytes.is_empty() {
            true => buffer.lease.complete(),
            false => buffer.lease.resume(),
        }
        let read = tokio::select! {
            biased;
            () = buffer.lease.evicted() => return Err(Error::NoRoom),
            read = stream.read_buf(&mut buffer.bytes) => read,
        };
        // An error ends the connection like its regular end: the other host opens a new one.
        if !matches!(read, Ok(1..)) {
            return Ok(None);
        }
        usage.read.set(host.clock.now());
        buffer.lease.record_progress();
    }
}
