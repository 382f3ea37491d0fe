//! Opens connections to endpoints: directly, or over a host that relays them.

use std::cell;
use std::io;
use std::net;
use std::pin;
use std::rc;
use std::task;
use std::time;

use sequoiacrank_kernel::edge::links;
use sequoiacrank_kernel::id;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::clock;
use crate::peer::wire;
use crate::relay;
use crate::socket;

/// Time within which an endpoint has to be reached for another host.
const RELAY_TIMEOUT: time::Duration = time::Duration::from_millis(120);
/// Time within which a connection that finds out whether links work has to stand.
const PROOF_TIMEOUT: time::Duration = time::Duration::from_millis(60);
/// Time between two checks of whether a probe is due.
const PROBE_CHECK: time::Duration = time::Duration::from_millis(50);

/// The two ways of a connection.
enum Kind {
    /// From this host.
    Direct(TcpStream),
    /// Over another host.
    Relayed(relay::Relayed),
}

/// Number of bytes that may still be read from a connection.
pub type Allowance = rc::Rc<cell::Cell<usize>>;

/// A connection to an endpoint.
pub struct Stream {
    kind: Kind,
    allowance: Allowance,
}

impl Stream {
    fn new(kind: Kind) -> Self {
        Stream { kind, allowance: rc::Rc::new(cell::Cell::new(usize::MAX)) }
    }

    /// Number of bytes that may still be read. Reading more fails.
    pub fn allowance(&self) -> Allowance {
        self.allowance.clone()
    }

    /// Host that relays it, if any.
    pub fn relay(&self) -> Option<net::SocketAddr> {
        match &self.kind {
            Kind::Direct(_) => None,
            Kind::Relayed(stream) => Some(stream.relay),
        }
    }
}

/// The way of an attempt, and what came of it.
type Outcome = (links::Way, Result<Kind, links::Failure>);

/// Opens connections.
pub struct Dialer {
    clock: clock::Clock,
    /// Address from which connections are opened; `None` if the system chooses it.
    source: Option<net::IpAddr>,
    /// Address and process of this host, by which other hosts know it.
    own: (net::SocketAddr, id::Incarnation),
    links: cell::RefCell<links::Links>,
    /// Hosts that may relay connections.
    relays: cell::RefCell<Vec<links::Relay>>,
    /// Notified when connections were relayed.
    relayed: Notify,
}

impl Dialer {
    /// Opens connections from `source` for the host `own`, which knows no others yet.
    pub fn new(
        clock: clock::Clock,
        source: Option<net::IpAddr>,
        own: (net::SocketAddr, id::Incarnation),
    ) -> Self {
        Dialer {
            clock,
            source,
            own,
            links: cell::RefCell::default(),
            relays: cell::RefCell::default(),
            relayed: Notify::new(),
        }
    }

    /// Sets the hosts that may relay connections.
    pub fn set_relays(&self, hosts: Vec<links::Relay>) {
        *self.relays.borrow_mut() = hosts;
    }

    /// Whether this host reaches no endpoint while others do.
    pub fn is_cut_off(&self) -> bool {
        self.links.borrow().is_cut_off(self.clock.now())
    }

    /// Connects to an endpoint for another host.
    ///
    /// # Errors
    ///
    /// [`links::Failure::Refused`] if the endpoint is down.
    pub async fn connect_for_other(
        &self,
        address: net::SocketAddr,
    ) -> Result<TcpStream, links::Failure> {
        let connect = socket::connect_from(self.source, address);
        let failure = match tokio::time::timeout(RELAY_TIMEOUT, connect).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                match self.prove(address).await {
                    true => links::Failure::Refused,
                    false => links::Failure::Unreached,
                }
            }
            Ok(Err(_)) | Err(_) => links::Failure::Unreached,
        };
        let now = self.clock.now();
        self.links.borrow_mut().record_failed(now, address, links::Way::Direct, failure);
        Err(failure)
    }

    /// Finds out whether the links of this host work, as an endpoint refused a connection.
    async fn prove(&self, address: net::SocketAddr) -> bool {
        let reference = self.links.borrow().reference(address);
        let is_proven = || self.links.borrow().is_proven(self.clock.now());
        if let Some(reference) = reference.filter(|_| !is_proven()) {
            self.try_direct(reference, PROOF_TIMEOUT).await;
        }
        is_proven()
    }

    /// Tries a direct connection to an endpoint, on which nothing is sent.
    async fn try_direct(&self, endpoint: net::SocketAddr, timeout: time::Duration) {
        let reached = self.connect_direct(endpoint, timeout).await.is_ok();
        let mut links = self.links.borrow_mut();
        let had_detour = links.has_detour(endpoint);
        links.record_probe(self.clock.now(), endpoint, reached);
        log_change(endpoint, had_detour, links.has_detour(endpoint));
    }

    /// Whether this host may reach an endpoint for another one.
    pub fn may_relay(&self, address: net::SocketAddr) -> bool {
        self.links.borrow().may_relay(self.clock.now(), address)
    }

    /// Connects to a server that only this host can reach for itself, within `timeout`.
    ///
    /// # Errors
    ///
    /// When it is not reached in time.
    pub async fn connect_direct(
        &self,
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> io::Result<Stream> {
        let connect = socket::connect_from(self.source, address);
        let stream = tokio::time::timeout(timeout, connect).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        socket::configure_socket(&stream)?;
        Ok(Stream::new(Kind::Direct(stream)))
    }

    /// Connects to an endpoint within `timeout`, whichever way.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ConnectionRefused`] if the endpoint is down, and others if it is not
    /// reached.
    pub async fn connect(
        &self,
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> io::Result<Stream> {
        let began = self.clock.now();
        let attempts = self.links.borrow().attempts(began, address, &self.relays.borrow());
        let mut waiting = attempts.into_iter().peekable();
        let mut running = JoinSet::new();
        // An attempt that failed makes the next one start.
        let mut is_next_due = false;
        let (mut failures, mut tried_direct) = (Vec::new(), false);
        loop {
            let passed = self.clock.now().saturating_sub(began);
            let is_due =
                |it: &links::Attempt| running.is_empty() || is_next_due || it.delay <= passed;
            if let Some(attempt) = waiting.next_if(is_due) {
                is_next_due = false;
                tried_direct |= attempt.way == links::Way::Direct;
                running.spawn_local(self.attempt(attempt.way, address, timeout));
                continue;
            }
            if running.is_empty() || passed >= timeout {
                break;
            }
            let next = waiting.peek().map_or(timeout, |it| it.delay.min(timeout));
            let outcome = tokio::select! {
                biased;
                Some(outcome) = running.join_next() => outcome,
                () = tokio::time::sleep(next.saturating_sub(passed)) => continue,
            };
            let now = self.clock.now();
            match outcome {
                Ok((way, Ok(stream))) => {
                    self.record_reached(now, address, way, tried_direct);
                    return Ok(Stream::new(stream));
                }
                Ok((way, Err(failure))) => {
                    self.links.borrow_mut().record_failed(now, address, way, failure);
                    failures.push((way, failure));
                    is_next_due = true;
                }
                // The task of an attempt neither panics nor is aborted before.
                Err(_) => {}
            }
        }
        if failures.contains(&(links::Way::Direct, links::Failure::Refused)) {
            self.prove(address).await;
        }
        Err(match self.links.borrow().verdict(self.clock.now(), &failures) {
            links::Failure::Refused => io::ErrorKind::ConnectionRefused.into(),
            links::Failure::Unreached | links::Failure::NoRelay => io::ErrorKind::TimedOut.into(),
        })
    }

    fn record_reached(
        &self,
        now: id::Time,
        address: net::SocketAddr,
        way: links::Way,
        tried_direct: bool,
    ) {
        let mut links = self.links.borrow_mut();
        let had_detour = links.has_detour(address);
        links.record_reached(now, address, way, tried_direct);
        log_change(address, had_detour, links.has_detour(address));
        if links.needs_probe() {
            self.relayed.notify_one();
        }
    }

    /// One attempt to connect, which owns all that it needs.
    fn attempt(
        &self,
        way: links::Way,
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> impl Future<Output = Outcome> + use<> {
        let (source, (own, process)) = (self.source, self.own);
        async move {
            let connect = async {
                match way {
                    links::Way::Direct => connect_directly(source, address).await,
                    links::Way::Relay(host) => {
                        let body = wire::Body::Relay(wire::Relay { address: address.to_string() });
                        let from = own.to_string();
                        let frame = wire::Frame { from, process, body: Some(body) };
                        let relayed = relay::Relayed::open(host, &frame).await;
                        relayed.map(Kind::Relayed)
                    }
                }
            };
            let unreached = match way {
                links::Way::Direct => links::Failure::Unreached,
                links::Way::Relay(_) => links::Failure::NoRelay,
            };
            (way, tokio::time::timeout(timeout, connect).await.unwrap_or(Err(unreached)))
        }
    }
}

async fn connect_directly(
    source: Option<net::IpAddr>,
    address: net::SocketAddr,
) -> Result<Kind, links::Failure> {
    let result = socket::connect_from(source, address).await;
    match result.and_then(|stream| socket::configure_socket(&stream).map(|()| stream)) {
        Ok(stream) => Ok(Kind::Direct(stream)),
        Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => Err(links::Failure::Refused),
        Err(_) => Err(links::Failure::Unreached),
    }
}

/// Logs that an endpoint is not reached directly any more, or is again.
fn log_change(address: net::SocketAddr, before: bool, now: bool) {
    let address = address.to_string();
    match (before, now) {
        (false, true) => log::warn!(target: "endpoints", address = address.as_str(); "link lost"),
        (true, false) => {
            log::info!(target: "endpoints", address = address.as_str(); "link regained")
        }
        _ => {}
    }
}

/// Finds out for as long as the host runs whether links that were lost work again.
pub async fn probe(dialer: rc::Rc<Dialer>) {
    loop {
        dialer.relayed.notified().await;
        while dialer.links.borrow().needs_probe() {
            let due = dialer.links.borrow_mut().probe(dialer.clock.now());
            if let Some(endpoint) = due {
                dialer.try_direct(endpoint, links::PROBE_INTERVAL).await;
            }
            tokio::time::sleep(PROBE_CHECK).await;
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.allowance.get() == 0 {
            return task::Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buffer.filled().len();
        let result = match &mut stream.kind {
            Kind::Direct(stream) => pin::Pin::new(stream).poll_read(context, buffer),
            Kind::Relayed(stream) => pin::Pin::new(stream).poll_read(context, buffer),
        };
        let read = buffer.filled().len() - before;
        stream.allowance.set(stream.allowance.get().saturating_sub(read));
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        match &mut self.get_mut().kind {
            Kind::Direct(stream) => pin::Pin::new(stream).poll_write(context, bytes),
            Kind::Relayed(stream) => pin::Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        match &mut self.get_mut().kind {
            Kind::Direct(stream) => pin::Pin::new(stream).poll_flush(context),
            Kind::Relayed(stream) => pin::Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        match &mut self.get_mut().kind {
            Kind::Direct(stream) => pin::Pin::new(stream).poll_shutdown(context),
            Kind::Relayed(stream) => pin::Pin::new(stream).poll_shutdown(context),
        }
    }
}
