//! Messages to and from other hosts.
//!
//! A host has a connection to each host that it sends messages to, on which it only sends; answers
//! come on a connection that the other host opens. [`members`] decides which hosts are alive and
//! what each is sent.

mod link;
mod reader;
pub mod wire;

pub use reader::listen;

use std::cell;
use std::collections;
use std::fmt;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_kernel::edge::members;
use sequoiacrank_kernel::edge::members::gossip;
use sequoiacrank_kernel::edge::members::statement;
use sequoiacrank_kernel::id;
use tokio::task;

use crate::duties;
use crate::host;
use crate::notices;

/// Time after which an unused connection is closed: several intervals of heartbeats.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of host addresses in one log line. If more hosts change at once, their count is
/// enough.
const MAX_LOGGED: usize = 4;

/// The process that sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sender {
    /// Address at which it listens for other hosts. A later process may use the same address.
    pub address: net::SocketAddr,
    /// Number of the process, which distinguishes it from others at the address.
    pub process: id::Incarnation,
}

impl fmt::Display for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:016x}", self.address, self.process)
    }
}

/// Connections to other hosts, and which of these are alive.
pub struct Peers {
    links: cell::RefCell<collections::BTreeMap<net::SocketAddr, link::Link>>,
    members: cell::RefCell<members::Members>,
    /// Whether a task waits to send the next gossip.
    gossip_pending: cell::Cell<bool>,
}

impl Peers {
    /// Creates the connections of a host that knows no others; `own` is its first statement.
    pub fn new(own: statement::Statement) -> Self {
        Peers {
            links: cell::RefCell::default(),
            members: cell::RefCell::new(members::Members::new(own)),
            gossip_pending: cell::Cell::new(false),
        }
    }

    /// Sends a message to a host, if it is known. Delivery is not confirmed.
    pub fn send(&self, host: &host::Host, to: net::SocketAddr, body: wire::Body) {
        if !self.members.borrow().is_known(to) {
            return;
        }
        let now = host.clock.now();
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| link::Link::open(now, to));
        link.last_used = now;
        let (from, process) = (host.settings.peer.to_string(), host.process);
        // Fails only after the end of the link's task, which lives as long as the link.
        let _ = link.sender.send(wire::Frame { from, process, body: Some(body) });
    }

    /// Membership: which hosts are known and alive.
    pub fn members(&self) -> cell::Ref<'_, members::Members> {
        self.members.borrow()
    }

    /// Waits until this host knows which others are alive.
    pub async fn wait_settled(&self, host: &host::Host) {
        while let Some(left) = self.settling_time(host) {
            tokio::time::sleep(left).await;
        }
    }

    /// Time until this host knows which others are alive; `None` if it does.
    pub fn settling_time(&self, host: &host::Host) -> Option<time::Duration> {
        self.members.borrow().settling_time(host.clock.now())
    }

    /// Submits no jobs to a host for a while, because it did not answer in time. The connection to
    /// it is reopened with the next message, as it may have broken without notice.
    pub fn back_off(&self, now: id::Time, address: net::SocketAddr) {
        self.members.borrow_mut().back_off(now, address);
        self.links.borrow_mut().remove(&address);
    }

    /// Adds a host, unless it is known, and sends it a heartbeat.
    pub fn add(&self, host: &host::Host, address: net::SocketAddr) {
        let now = host.clock.now();
        if !self.members.borrow_mut().add(now, address) {
            return;
        }
        log::info!(target: "hosts", other = address.to_string().as_str(); "named");
        let hello = self.members.borrow().hello(now, address);
        self.send(host, address, wire::Body::Pulse(host.heartbeat().with_heartbeat(hello)));
    }

    /// Sends heartbeats to neighbours, forgets hosts from which no messages come any more, and
    /// closes idle connections.
    pub fn send_heartbeats(&self, host: &rc::Rc<host::Host>) {
        let now = host.clock.now();
        let state = {
            let facts = host.facts.borrow();
            statement::State {
                leaving: host.stop.is_leaving(),
                without_store: host.without_store.get(),
                without_links: host.pool.dialer.is_cut_off(),
                crashes: facts.crashes.report(now),
                parts: facts.crashes.parts.report(now),
                duty: host.duties.token(),
            }
        };
        self.members.borrow_mut().set_state(state);
        let round = self.members.borrow_mut().next_round(now);
        host.pool.dialer.set_relays(self.members.borrow().relays());
        for address in round.forgotten {
            log::info!(target: "hosts", other = address.to_string().as_str(); "forgotten");
        }
        self.log_changes();
        let own = host.heartbeat();
        for heartbeat in round.heartbeats {
            self.send(host, heartbeat.to, wire::Body::Pulse(own.clone().with_heartbeat(heartbeat)));
        }
        for address in round.reconnect {
            self.links.borrow_mut().insert(address, link::Link::open(now, address));
        }
        self.links.borrow_mut().retain(|_, link| now < link.last_used + IDLE_TIMEOUT);
        self.schedule_gossip(host);
    }

    /// Logs which hosts have become reachable or unreachable.
    fn log_changes(&self) {
        let changes = self.members.borrow_mut().take_changes();
        for (event, alive) in [("reached", true), ("out of reach", false)] {
            let hosts: Vec<_> = changes.iter().filter(|it| it.1 == alive).map(|it| it.0).collect();
            if hosts.is_empty() {
                continue;
            }
            let names: Vec<_> =
                hosts.iter().take(MAX_LOGGED).map(net::SocketAddr::to_string).collect();
            let (names, count) = (names.join(","), hosts.len());
            let all = self.members.borrow().alive().len() + 1;
            log::info!(target: "hosts", count, all, others = names.as_str(); "{event}");
        }
    }

    /// Starts a task that forwards new statements, if there are any. It waits to send several at
    /// once.
    fn schedule_gossip(&self, host: &rc::Rc<host::Host>) {
        if self.gossip_pending.get() || !self.members.borrow().has_updates() {
            return;
        }
        self.gossip_pending.set(true);
        let host = host.clone();
        task::spawn_local(async move {
            tokio::time::sleep(gossip::GATHER_TIME).await;
            host.peers.gossip_pending.set(false);
            let outgoing = host.peers.members.borrow_mut().flush(host.clock.now());
            host.peers.log_changes();
            for (to, statements) in outgoing {
                let statements = wire::encode_statements(statements);
                let body = wire::Body::Statements(wire::Statements { statements });
                host.peers.send(&host, to, body);
            }
            host.peers.schedule_gossip(&host);
        });
    }

    /// Records which process sent a message on a connection, and compares it with the known one at
    /// its address.
    fn record_process(&self, sender: Sender, connection: u64) -> members::ProcessStatus {
        let Sender { address, process } = sender;
        let status = self.members.borrow_mut().record_process(address, process, connection);
        if status == members::ProcessStatus::New {
            let other = sender.to_string();
            log::info!(target: "hosts", other = other.as_str(); "new process");
        }
        status
    }

    /// Records that a message of a host arrived. If there was none before, the host gets a
    /// heartbeat.
    fn record_message(&self, host: &rc::Rc<host::Host>, from: net::SocketAddr) {
        let now = host.clock.now();
        let introduction = self.members.borrow_mut().record_message(now, from);
        if let Some(heartbeat) = introduction {
            log::info!(target: "hosts", other = from.to_string().as_str(); "heard");
            self.reconnect(now, from);
            self.send(host, from, wire::Body::Pulse(host.heartbeat().with_heartbeat(heartbeat)));
        }
        self.schedule_gossip(host);
    }

    /// Reopens the connection to a host that is alive, if it is not established, as the last
    /// attempt may have come too early.
    fn reconnect(&self, now: id::Time, address: net::SocketAddr) {
        let mut links = self.links.borrow_mut();
        if links.get(&address).is_some_and(|link| !link.connected.get()) {
            links.insert(address, link::Link::open(now, address));
        }
    }

    /// Records the header of a heartbeat, and requests all statements from the sender if this host
    /// may lack some.
    pub fn record_heartbeat(
        &self,
        host: &host::Host,
        from: net::SocketAddr,
        header: members::heartbeat::Header,
    ) {
        let now = host.clock.now();
        let mut members = self.members.borrow_mut();
        members.record_heartbeat(now, from, header);
        let fetch = members.should_fetch(now, from, &header);
        drop(members);
        if fetch {
            self.send(host, from, wire::Body::Everything(wire::Everything {}));
        }
    }

    /// Merges statements of hosts that another one sent.
    fn merge_statements(
        &self,
        host: &rc::Rc<host::Host>,
        from: net::SocketAddr,
        wire: Vec<wire::statement::Statement>,
    ) {
        let now = host.clock.now();
        let mut statements = Vec::with_capacity(wire.len());
        for one in wire {
            match statement::Statement::try_from(one) {
                Ok(one) => statements.push(one),
                Err(err) => {
                    let other = from.to_string();
                    log::warn!(target: "hosts", other = other.as_str(), err = err.to_string().as_str(); "statement cannot be decoded");
                }
            }
        }
        let updates = self.members.borrow_mut().merge(now, from, statements);
        for update in updates {
            let gossip::Update { host: other, process, restarted, leaving, .. } = update;
            let sender = Sender { address: other, process };
            if restarted {
                host.batcher.abandon_earlier(host, sender);
                // The old connection leads to the earlier process.
                self.links.borrow_mut().remove(&other);
            }
            if leaving {
                log::info!(target: "hosts", other = sender.to_string().as_str(); "leaving");
            }
            let mut facts = host.facts.borrow_mut();
            facts.crashes.merge(now, &update.crashes);
            facts.crashes.parts.merge(now, &update.parts);
        }
    }

    /// Sends a host all statements.
    fn send_statements(&self, host: &host::Host, to: net::SocketAddr) {
        let statements = wire::encode_statements(self.members.borrow().statements());
        self.send(host, to, wire::Body::Statements(wire::Statements { statements }));
    }
}

/// Handles one message.
fn receive(host: &rc::Rc<host::Host>, mut frame: wire::Frame, connection: u64) {
    let address = match frame.from.parse() {
        Ok(address) => address,
        Err(err) => {
            let err: net::AddrParseError = err;
            log::warn!(target: "hosts", err = err.to_string().as_str(); "sender address cannot be parsed");
            return;
        }
    };
    let sender = Sender { address, process: frame.process };
    host.peers.add(host, address);
    match host.peers.record_process(sender, connection) {
        members::ProcessStatus::Same => {}
        members::ProcessStatus::New => host.batcher.abandon_earlier(host, sender),
        members::ProcessStatus::Ended => {
            let other = sender.to_string();
            log::info!(target: "hosts", other = other.as_str(); "message of an ended process dropped");
            return;
        }
    }
    let statements = match &mut frame.body {
        Some(wire::Body::Pulse(pulse)) => std::mem::take(&mut pulse.statements),
        Some(wire::Body::Statements(list)) => std::mem::take(&mut list.statements),
        _ => Vec::new(),
    };
    host.peers.merge_statements(host, address, statements);
    host.peers.record_message(host, address);
    match frame.body {
        Some(wire::Body::Pulse(pulse)) => host.receive_heartbeat(sender, &pulse),
        Some(wire::Body::Everything(_)) => host.peers.send_statements(host, address),
        Some(wire::Body::Moves(list)) => host.receive_digests(sender, &list.moves),
        Some(wire::Body::Fetch(fetch)) => host.receive_fetch(address, &fetch),
        Some(wire::Body::Records(records)) => host.receive_records(address, records),
        Some(wire::Body::Ask(ask)) => host.batcher.receive_ask(host, sender, ask),
        Some(wire::Body::Check(ticket)) => host.batcher.receive_check(host, sender, ticket.ticket),
        Some(wire::Body::Release(ticket)) => {
            host.batcher.receive_release(host, sender, ticket.ticket)
        }
        Some(wire::Body::Taken(ticket)) => host.pending_jobs.receive_taken(&ticket),
        Some(wire::Body::Refused(refused)) => host.pending_jobs.receive_refused(refused),
        Some(wire::Body::Ready(ready)) => host.pending_jobs.receive_ready(ready),
        Some(wire::Body::Failed(ticket)) => host.pending_jobs.receive_failed(ticket.ticket),
        Some(wire::Body::Limit(limit)) => notices::receive_limit(host, address, limit),
        Some(wire::Body::Acquire(acquire)) => notices::receive_acquire(host, address, acquire),
        Some(wire::Body::Heard(heard)) => notices::receive_heard(host, address, heard),
        Some(wire::Body::Granted(granted)) => host.grants.receive_granted(&granted),
        Some(wire::Body::Usage(usage)) => duties::receive_usage(host, sender, &usage),
        Some(wire::Body::Timing(timing)) => duties::receive_timing(host, sender, &timing),
        Some(wire::Body::Unknown(ticket)) => host.pending_jobs.receive_unknown(ticket.ticket),
        // Handled before: the connection is not one for messages any more.
        Some(wire::Body::Relay(_)) | Some(wire::Body::Statements(_)) | None => {}
    }
}
