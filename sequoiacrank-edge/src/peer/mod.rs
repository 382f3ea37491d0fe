//! Messages to and from other hosts.
//!
//! Each host keeps one connection to each other host, on which it only sends; answers come on the other's
//! own connection. Who lives, and what each is told, is decided by [`members`].

pub mod wire;

use std::cell;
use std::collections;
use std::fmt;
use std::net;
use std::rc;
use std::time;

use bytes::BytesMut;
use sequoiacrank_kernel::edge::members;
use sequoiacrank_kernel::id;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;

use crate::client;
use crate::host;

/// Time to connect to another host, several times the way between availability zones. A machine without
/// power does not answer.
const CONNECT: time::Duration = time::Duration::from_millis(250);
/// Time between two attempts to connect.
const AGAIN: time::Duration = time::Duration::from_millis(200);

/// The process that sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sender {
    /// Address at which it listens for other hosts; a later process may have it.
    pub address: net::SocketAddr,
    /// Tells it from other processes at the address.
    pub process: id::Incarnation,
}

impl fmt::Display for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:016x}", self.address, self.process)
    }
}

struct Link {
    sender: mpsc::UnboundedSender<wire::Frame>,
    task: task::JoinHandle<()>,
    connected: rc::Rc<cell::Cell<bool>>,
}

impl Link {
    fn open(address: net::SocketAddr) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let connected = rc::Rc::new(cell::Cell::new(false));
        let task = task::spawn_local(deliver(address, receiver, connected.clone()));
        Link { sender, task, connected }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to all other hosts.
#[derive(Default)]
pub struct Peers {
    links: cell::RefCell<collections::BTreeMap<net::SocketAddr, Link>>,
    members: cell::RefCell<members::Members>,
}

impl Peers {
    /// Sends a message, if the host is known.
    pub fn send(&self, host: &host::Host, to: net::SocketAddr, body: wire::Body) {
        if let Some(link) = self.links.borrow().get(&to) {
            let (from, process) = (host.settings.peer.to_string(), host.process);
            let frame = wire::Frame { from, process, body: Some(body) };
            // Fails only while the connection is made anew; whoever waits for an answer asks again.
            let _ = link.sender.send(frame);
        }
    }

    /// Who lives.
    pub fn members(&self) -> cell::Ref<'_, members::Members> {
        self.members.borrow()
    }

    /// Waits until this host knows which others live.
    pub async fn settled(&self, host: &host::Host) {
        while let Some(left) = self.unsettled(host) {
            tokio::time::sleep(left).await;
        }
    }

    /// Time until this host knows which others live.
    pub fn unsettled(&self, host: &host::Host) -> Option<time::Duration> {
        self.members.borrow().unsettled(host.clock.now())
    }

    /// Asks no work of a host for a while, because it did not answer in time.
    pub fn pass_over(&self, now: id::Time, address: net::SocketAddr) {
        self.members.borrow_mut().pass_over(now, address);
    }

    /// Adds a host, unless it is known, and tells it that this one lives.
    pub fn add(&self, host: &host::Host, address: net::SocketAddr) {
        let own = address == host.settings.peer;
        if own || !self.members.borrow_mut().add(host.clock.now(), address) {
            return;
        }
        self.links.borrow_mut().insert(address, Link::open(address));
        log::info!(target: "hosts", other = address.to_string().as_str(); "named");
        let hello = self.members.borrow().hello(address);
        self.send(host, address, wire::Body::Pulse(host.pulse().to(&hello)));
    }

    /// Tells all hosts that this one lives, and forgets those that are not heard any more.
    pub fn pulse(&self, host: &host::Host) {
        let round = self.members.borrow_mut().pulse(host.clock.now());
        for address in round.forgotten {
            self.links.borrow_mut().remove(&address);
            log::info!(target: "hosts", other = address.to_string().as_str(); "forgotten");
        }
        let own = host.pulse();
        for pulse in round.pulses {
            self.send(host, pulse.to, wire::Body::Pulse(own.clone().to(&pulse)));
        }
        for address in round.silent {
            self.links.borrow_mut().insert(address, Link::open(address));
        }
    }

    /// Tells the process that sent a message on a connection from others at its address.
    fn life(&self, sender: Sender, connection: u64) -> members::Life {
        let Sender { address, process } = sender;
        let life = self.members.borrow_mut().life(address, process, connection);
        if life == members::Life::New {
            let other = sender.to_string();
            log::info!(target: "hosts", other = other.as_str(); "new process");
        }
        life
    }

    /// Notes a message of a host.
    fn hear(&self, host: &host::Host, from: net::SocketAddr) {
        let introduction = self.members.borrow_mut().hear(host.clock.now(), from);
        if let Some(pulse) = introduction {
            log::info!(target: "hosts", other = from.to_string().as_str(); "heard");
            self.reach(from);
            self.send(host, from, wire::Body::Pulse(host.pulse().to(&pulse)));
        }
    }

    /// Connects at once to a host that lives, if the last attempt was too early for it.
    fn reach(&self, address: net::SocketAddr) {
        let mut links = self.links.borrow_mut();
        if links.get(&address).is_some_and(|link| !link.connected.get()) {
            links.insert(address, Link::open(address));
        }
    }

    /// Takes over what a pulse says of its sender.
    pub fn learn(&self, host: &host::Host, from: net::SocketAddr, signs: members::Signs) {
        if self.members.borrow_mut().learn(host.clock.now(), from, signs) {
            let (other, leaving) = (from.to_string(), signs.leaving);
            log::info!(target: "hosts", other = other.as_str(), leaving; "leaving");
        }
    }
}

/// Keeps a connection to a host and writes its messages.
async fn deliver(
    address: net::SocketAddr,
    mut frames: mpsc::UnboundedReceiver<wire::Frame>,
    connected: rc::Rc<cell::Cell<bool>>,
) {
    loop {
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
        match stream.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
            Ok(stream) => {
                connected.set(true);
                if let Err(err) = write(stream, &mut frames).await {
                    let other = address.to_string();
                    let err = err.to_string();
                    log::info!(target: "hosts", other = other.as_str(), err = err.as_str(); "broken");
                }
            }
            // Hosts that are down are told by the missing pulses; a line for each attempt tells nothing.
            Err(_) => tokio::time::sleep(AGAIN).await,
        }
        connected.set(false);
        // What was said meanwhile is out of date.
        while frames.try_recv().is_ok() {}
        if frames.is_closed() {
            return;
        }
    }
}

async fn write(
    mut stream: TcpStream,
    frames: &mut mpsc::UnboundedReceiver<wire::Frame>,
) -> std::io::Result<()> {
    client::guard(&stream)?;
    let mut buffer = BytesMut::new();
    while let Some(frame) = frames.recv().await {
        wire::encode(&frame, &mut buffer);
        while let Ok(frame) = frames.try_recv() {
            wire::encode(&frame, &mut buffer);
        }
        stream.write_all(&buffer).await?;
        buffer.clear();
    }
    Ok(())
}

/// Takes messages of other hosts.
pub async fn listen(host: rc::Rc<host::Host>, listener: TcpListener) {
    let mut connection = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connection += 1;
                task::spawn_local(read(host.clone(), stream, connection));
            }
            Err(err) => {
                log::warn!(target: "hosts", err = err.to_string().as_str(); "accept failed");
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

async fn read(host: rc::Rc<host::Host>, mut stream: TcpStream, connection: u64) {
    let mut buffer = BytesMut::new();
    if client::guard(&stream).is_err() {
        return;
    }
    loop {
        match wire::decode(&mut buffer) {
            Ok(Some(frame)) => receive(&host, frame, connection),
            Ok(None) => match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            },
            Err(err) => {
                log::warn!(target: "hosts", err = err.to_string().as_str(); "message not read");
                return;
            }
        }
    }
}

fn receive(host: &rc::Rc<host::Host>, frame: wire::Frame, connection: u64) {
    let Ok(address) = frame.from.parse() else { return };
    let sender = Sender { address, process: frame.process };
    host.peers.add(host, address);
    match host.peers.life(sender, connection) {
        members::Life::Same => {}
        members::Life::New => host.batcher.restarted(host, sender),
        members::Life::Ended => {
            let other = sender.to_string();
            log::info!(target: "hosts", other = other.as_str(); "message of an ended process dropped");
            return;
        }
    }
    host.peers.hear(host, address);
    match frame.body {
        Some(wire::Body::Pulse(pulse)) => host.heard(sender, &pulse),
        Some(wire::Body::Fetch(fetch)) => host.give(address, &fetch),
        Some(wire::Body::Records(records)) => host.take(address, records),
        Some(wire::Body::Ask(ask)) => host.batcher.asked(host, sender, ask),
        Some(wire::Body::Release(ticket)) => host.batcher.released(host, sender, ticket.ticket),
        Some(wire::Body::Taken(ticket)) => host.stages.taken(&ticket),
        Some(wire::Body::Refused(refused)) => host.stages.refused(refused),
        Some(wire::Body::Ready(ready)) => host.stages.ready(ready),
        Some(wire::Body::Failed(ticket)) => host.stages.failed(ticket.ticket),
        None => {}
    }
}
