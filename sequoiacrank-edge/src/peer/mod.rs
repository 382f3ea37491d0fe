//! Other hosts: who they are, whether they live, and messages to and from them.
//!
//! Each host keeps one connection to each other host, on which it only sends; answers come on the other's
//! own connection. A connection on which nothing arrives is noticed by the numbers of the pulses that the
//! other side says it heard.

pub mod wire;

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use bytes::BytesMut;
use sequoiacrank_kernel::id;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;

use crate::client;
use crate::host;

/// Time between two pulses: a lost host is noticed within a few of them, which is within the shortest
/// target of a streamed request.
pub const PULSE: time::Duration = time::Duration::from_millis(400);
/// Time without a message after which a host counts as lost.
const LOST: time::Duration = time::Duration::from_millis(1300);
/// Time after which a host that is not heard is forgotten.
const FORGET: time::Duration = time::Duration::from_secs(20);
/// Time for which a host is passed over that did not answer in time.
const PASSED: time::Duration = time::Duration::from_secs(2);
/// Time after the start within which hosts that live are heard: a connection, a pulse each way, and as much
/// again for those that start a little later.
const SETTLE: time::Duration = time::Duration::from_millis(900);
/// Time to connect to another host.
const CONNECT: time::Duration = time::Duration::from_millis(500);
/// Time between two attempts to connect.
const AGAIN: time::Duration = time::Duration::from_millis(400);
/// Pulses that the other side may miss before the connection is made anew.
const MISSED: u64 = 4;

struct Link {
    sender: mpsc::UnboundedSender<wire::Frame>,
    task: task::JoinHandle<()>,
    /// Time of the last message.
    heard: Option<id::Time>,
    /// When it was first named.
    since: id::Time,
    leaving: bool,
    /// Time until which no work is asked of it.
    passed: id::Time,
    /// Number of the last pulse from it, and of the last own one that it heard.
    number: u64,
    echoed: u64,
    /// Names the process that was heard last.
    process: u64,
    /// Its share of a core, in thousandths.
    cpu: u32,
    /// Number of the own pulse at which the connection was made.
    renewed: u64,
}

/// All other hosts.
#[derive(Default)]
pub struct Peers {
    links: cell::RefCell<collections::BTreeMap<net::SocketAddr, Link>>,
    number: cell::Cell<u64>,
}

impl Peers {
    /// Sends a message, if the host is known.
    pub fn send(&self, host: &host::Host, to: net::SocketAddr, body: wire::Body) {
        if let Some(link) = self.links.borrow().get(&to) {
            let frame = wire::Frame { from: host.settings.peer.to_string(), body: Some(body) };
            // Fails only while the connection is made anew; whoever waits for an answer asks again.
            let _ = link.sender.send(frame);
        }
    }

    /// Hosts that are heard.
    pub fn alive(&self, now: id::Time) -> Vec<net::SocketAddr> {
        let links = self.links.borrow();
        let alive = links.iter().filter(|(_, link)| is_alive(link, now));
        alive.map(|(&address, _)| address).collect()
    }

    /// Hosts of which work may be asked, with their share of a core in thousandths.
    pub fn asked(&self, now: id::Time) -> Vec<(net::SocketAddr, u32)> {
        let links = self.links.borrow();
        let usable = |link: &Link| is_alive(link, now) && !link.leaving && now >= link.passed;
        links.iter().filter(|(_, link)| usable(link)).map(|(&it, link)| (it, link.cpu)).collect()
    }

    /// Names the process of a host that is heard; a restarted one knows nothing of before.
    pub fn process(&self, now: id::Time, address: net::SocketAddr) -> Option<u64> {
        let links = self.links.borrow();
        links.get(&address).filter(|link| is_alive(link, now)).map(|link| link.process)
    }

    /// Number of hosts that were heard lately, this one included.
    pub fn count(&self, now: id::Time) -> usize {
        let recent = |link: &Link| link.heard.is_some_and(|at| now < at + FORGET);
        1 + self.links.borrow().values().filter(|link| recent(link)).count()
    }

    /// Time until this host knows which others live. Before that it may take itself for the only one.
    pub fn unsettled(&self, now: id::Time) -> Option<time::Duration> {
        SETTLE.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Asks no work of a host for a while, because it did not answer in time.
    pub fn pass_over(&self, now: id::Time, address: net::SocketAddr) {
        if let Some(link) = self.links.borrow_mut().get_mut(&address) {
            link.passed = now + PASSED;
        }
    }

    /// Adds a host, unless it is known.
    pub fn add(&self, host: &rc::Rc<host::Host>, address: net::SocketAddr) {
        if address == host.settings.peer || self.links.borrow().contains_key(&address) {
            return;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let task = task::spawn_local(deliver(address, receiver));
        let link = Link {
            sender,
            task,
            heard: None,
            since: host.clock.now(),
            leaving: false,
            passed: id::Time::ZERO,
            number: 0,
            echoed: 0,
            process: 0,
            cpu: 0,
            renewed: self.number.get(),
        };
        self.links.borrow_mut().insert(address, link);
        log::info!(target: "hosts", other = address.to_string().as_str(); "named");
    }

    /// Tells all hosts that this one lives, and forgets those that are not heard any more.
    pub fn pulse(&self, host: &rc::Rc<host::Host>) {
        let now = host.clock.now();
        let number = self.number.get() + 1;
        self.number.set(number);
        let hosts: Vec<String> = self.alive(now).iter().map(net::SocketAddr::to_string).collect();
        let mut pulse = host.pulse(number, hosts);
        self.forget(now);
        let mut silent = Vec::new();
        for (&address, link) in self.links.borrow().iter() {
            pulse.heard = link.number;
            let frame = wire::Frame {
                from: host.settings.peer.to_string(),
                body: Some(wire::Body::Pulse(pulse.clone())),
            };
            // Fails only while the connection is made anew.
            let _ = link.sender.send(frame);
            let missed = number.saturating_sub(link.echoed.max(link.renewed));
            if missed > MISSED {
                silent.push(address);
            }
        }
        for address in silent {
            self.renew(address, number);
        }
    }

    /// Makes the connection to a host anew.
    fn renew(&self, address: net::SocketAddr, number: u64) {
        if let Some(link) = self.links.borrow_mut().get_mut(&address) {
            link.task.abort();
            let (sender, receiver) = mpsc::unbounded_channel();
            link.sender = sender;
            link.task = task::spawn_local(deliver(address, receiver));
            link.renewed = number;
        }
    }

    fn forget(&self, now: id::Time) {
        self.links.borrow_mut().retain(|address, link| {
            let kept = now < link.heard.unwrap_or(link.since) + FORGET;
            if !kept {
                link.task.abort();
                log::info!(target: "hosts", other = address.to_string().as_str(); "forgotten");
            }
            kept
        });
    }

    /// Notes a message of a host. Returns whether it was not heard before.
    fn hear(&self, now: id::Time, from: net::SocketAddr) -> bool {
        let mut links = self.links.borrow_mut();
        let Some(link) = links.get_mut(&from) else { return false };
        let new = !is_alive(link, now);
        link.heard = Some(now);
        if new {
            log::info!(target: "hosts", other = from.to_string().as_str(); "heard");
        }
        new
    }

    /// Takes over what a pulse says of its sender.
    pub fn learn(&self, from: net::SocketAddr, pulse: &wire::Pulse) {
        if let Some(link) = self.links.borrow_mut().get_mut(&from) {
            if link.leaving != pulse.leaving {
                let leaving = pulse.leaving;
                log::info!(target: "hosts", other = from.to_string().as_str(), leaving; "leaving");
            }
            link.leaving = pulse.leaving;
            link.number = pulse.number;
            link.echoed = pulse.heard;
            link.process = pulse.process;
            link.cpu = pulse.cpu;
        }
    }
}

fn is_alive(link: &Link, now: id::Time) -> bool {
    link.heard.is_some_and(|at| now < at + LOST)
}

/// Keeps a connection to a host and writes its messages.
async fn deliver(address: net::SocketAddr, mut frames: mpsc::UnboundedReceiver<wire::Frame>) {
    loop {
        let connected = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
        match connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
            Ok(stream) => {
                if let Err(err) = write(stream, &mut frames).await {
                    let other = address.to_string();
                    let err = err.to_string();
                    log::info!(target: "hosts", other = other.as_str(), err = err.as_str(); "broken");
                }
            }
            // Hosts that are down are told by the missing pulses; a line for each attempt tells nothing.
            Err(_) => tokio::time::sleep(AGAIN).await,
        }
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
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(task::spawn_local(read(host.clone(), stream))),
            Err(err) => {
                log::warn!(target: "hosts", err = err.to_string().as_str(); "accept failed");
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

async fn read(host: rc::Rc<host::Host>, mut stream: TcpStream) {
    let mut buffer = BytesMut::new();
    if client::guard(&stream).is_err() {
        return;
    }
    loop {
        match wire::decode(&mut buffer) {
            Ok(Some(frame)) => receive(&host, frame),
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

fn receive(host: &rc::Rc<host::Host>, frame: wire::Frame) {
    let Ok(from) = frame.from.parse() else { return };
    host.peers.add(host, from);
    if host.peers.hear(host.clock.now(), from) {
        // Hosts that start together know each other after one exchange instead of several pulses.
        host.peers.pulse(host);
    }
    match frame.body {
        Some(wire::Body::Pulse(pulse)) => host.heard(from, &pulse),
        Some(wire::Body::Fetch(fetch)) => host.give(from, &fetch),
        Some(wire::Body::Records(records)) => host.take(from, records),
        Some(wire::Body::Ask(ask)) => host.batcher.asked(host, from, ask),
        Some(wire::Body::Release(ticket)) => host.batcher.released(host, from, ticket.ticket),
        Some(wire::Body::Taken(ticket)) => host.stages.taken(&ticket),
        Some(wire::Body::Refused(refused)) => host.stages.refused(refused),
        Some(wire::Body::Ready(ready)) => host.stages.ready(ready),
        Some(wire::Body::Failed(ticket)) => host.stages.failed(ticket.ticket),
        None => {}
    }
}
