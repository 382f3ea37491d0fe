//! Membership of the group of hosts: which other hosts are reachable, and what each of them is
//! sent.
//!
//! The design covers three cases. With many hosts, each one monitors only a few neighbours and
//! forwards updates to them, so that its message rate does not grow with the number of hosts. When
//! many hosts start or return at once, a host that is heard for the first time is introduced to its
//! neighbours and fetches all statements from one of them, and each other host learns of it once.
//! Connections may also stop delivering without an error: heartbeats are numbered and acknowledged,
//! so that a connection is replaced when the other side does not receive them.
//!
//! A host is alive to this one if a path of neighbours that hear each other leads to it. A network
//! partition between some pairs of hosts takes no host out of use as long as others hear both
//! sides. Under a complete partition, each side continues with its own hosts.

mod duty;
pub mod gossip;
pub mod heartbeat;
pub mod overlay;
pub mod shares;
pub mod statement;

mod reach;

use std::collections;
use std::net;
use std::time;

use crate::edge::links;
use crate::id;
use crate::map;

/// Time between two heartbeats. A lost host is noticed within a few of them, which is within the
/// shortest target latency of a streamed request.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Time after the start, or after the loss of most other hosts, during which heartbeats are sent
/// more often, so that hosts that start together or remain after a loss discover each other.
const STARTUP_PERIOD: time::Duration = time::Duration::from_millis(1200);
/// Time between two heartbeats during [`STARTUP_PERIOD`].
const STARTUP_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Minimum time after the start before a host is settled. A host that starts quickly hears within
/// it those that start up to 0.3 s later.
const MIN_SETTLING: time::Duration = time::Duration::from_millis(600);
/// Time without a newly reached host after which a host that has reached some knows all of them.
const QUIET_TIME: time::Duration = time::Duration::from_millis(250);
/// Time after the start after which a host that has reached no other one is considered to be alone.
const ALONE_AFTER: time::Duration = time::Duration::from_millis(900);
/// Time after the start after which a host does not wait for others any longer.
const MAX_SETTLING: time::Duration = time::Duration::from_millis(2000);
/// Time without a message after which a neighbour counts as lost.
const LOST_AFTER: time::Duration = time::Duration::from_millis(1300);
/// Time out of reach after which a host counts as ended although its connection was not closed. A
/// process that is suspended for a few seconds resumes its work afterwards.
const ENDED_AFTER: time::Duration = time::Duration::from_millis(2700);
/// Shortest time for which a host that did not answer in time is not asked for work.
const MIN_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Number of times that [`MIN_BACKOFF`] is doubled while nothing is heard of the host.
const MAX_DOUBLINGS: u32 = 3;
/// Time for which a host stays a neighbour after another one took its position on a ring. The new
/// neighbour is heard by then.
const LINGER_TIME: time::Duration = time::Duration::from_secs(1);

/// How the process that sent a message relates to the one last heard at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStatus {
    /// The same process as before.
    Same,
    /// A later process, or the first one that is heard. It does not have the state of earlier ones.
    New,
    /// The process has ended: a later one was already heard at its address.
    Ended,
}

#[derive(Clone, Debug)]
struct Member {
    /// Newest statement of the host.
    statement: Option<statement::Statement>,
    /// Digest of that statement.
    digest: u64,
    /// Process that was heard last, with the number of its latest connection.
    process: Option<(id::Incarnation, u64)>,
    /// Whether that connection was closed.
    closed: bool,
    /// Time of the last message.
    heard_at: Option<id::Time>,
    /// Time at which the host was added or last became reachable or unreachable.
    since: id::Time,
    /// Time at which a statement of its current process first arrived.
    process_since: id::Time,
    /// Whether the host is reachable.
    alive: bool,
    /// Time until which no work is submitted to the host, and how often this was set since it was
    /// last heard.
    backoff: (id::Time, u32),
    /// Number of the last heartbeat from the host, and of the last one from here that it
    /// acknowledged.
    sequence: (u64, u64),
    /// Time at which the host last acknowledged a further heartbeat, or at which the connection was
    /// made.
    echoed_at: id::Time,
    /// Times until which it is a neighbour because this host chose it, and because it chose this
    /// host.
    chosen_until: id::Time,
    chooses_until: id::Time,
    /// Whether it was sent a heartbeat as a neighbour in the last round.
    was_neighbour: bool,
    /// Whether all statements were requested from it since it was unreachable.
    fetch_asked: bool,
    /// Number of hosts that it reached as of its last heartbeat.
    reach_count: u32,
    /// Number of heartbeats in a row whose digest differed from the one of this host.
    mismatches: u32,
    positions: overlay::Positions,
}

impl Member {
    fn new(now: id::Time, address: net::SocketAddr) -> Self {
        Member {
            statement: None,
            digest: 0,
            process: None,
            closed: false,
            heard_at: None,
            since: now,
            process_since: now,
            alive: false,
            backoff: (id::Time::ZERO, 0),
            sequence: (0, 0),
            echoed_at: now,
            chosen_until: id::Time::ZERO,
            chooses_until: id::Time::ZERO,
            was_neighbour: false,
            fetch_asked: false,
            reach_count: 0,
            mismatches: 0,
            positions: overlay::positions(address),
        }
    }

    fn is_heard(&self, now: id::Time) -> bool {
        self.heard_at.is_some_and(|at| now < at + LOST_AFTER)
    }

    fn is_neighbour(&self, now: id::Time) -> bool {
        now < self.chosen_until || now < self.chooses_until
    }
}

/// A host that may perform duties for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Address of the host.
    pub host: net::SocketAddr,
    /// Whether the host does not reach the store.
    pub without_store: bool,
    /// Share of a core that the host may use, in thousandths.
    pub cpu: u32,
    /// Uniformly distributed hash of the address, the same on all hosts.
    pub hash: u64,
}

/// The other hosts of the group, as one host knows them.
#[derive(Clone, Debug)]
pub struct Members {
    own: statement::Statement,
    positions: overlay::Positions,
    members: collections::BTreeMap<net::SocketAddr, Member>,
    gossip: gossip::Gossip,
    /// Order of the last statement of each forgotten host, with the time at which it was forgotten.
    forgotten: map::FastMap<net::SocketAddr, ((u64, u64), id::Time)>,
    /// Number of the last round of heartbeats.
    number: u64,
    /// Time of the last round of heartbeats.
    last_round: id::Time,
    /// Time at which a further host last became reachable.
    last_join: Option<id::Time>,
    /// Time since which paths lead to less than half of the hosts that still count as reachable.
    halved_since: Option<id::Time>,
    /// Time until which heartbeats are sent at [`STARTUP_INTERVAL`].
    startup_until: id::Time,
    /// Time at which all statements were last requested from a host.
    fetched_at: Option<id::Time>,
    /// Hosts that became reachable (true) or unreachable since the last call of
    /// [`Self::take_changes`].
    changes: Vec<(net::SocketAddr, bool)>,
    /// Number of reachable hosts, this one included, and a digest of their statements.
    reached: (u32, u64),
    shares: shares::Shares,
}

impl Members {
    /// Creates a membership without other hosts; `own` is the first statement of this host.
    pub fn new(own: statement::Statement) -> Self {
        Members {
            positions: overlay::positions(own.host),
            members: collections::BTreeMap::new(),
            gossip: gossip::Gossip::default(),
            forgotten: map::FastMap::default(),
            number: 0,
            last_round: id::Time::ZERO,
            last_join: None,
            halved_since: None,
            startup_until: STARTUP_PERIOD,
            fetched_at: None,
            changes: Vec::new(),
            reached: (1, own.digest()),
            shares: shares::Shares::default(),
            own,
        }
    }

    /// Adds a host by its address. Returns whether it is new.
    pub fn add(&mut self, now: id::Time, address: net::SocketAddr) -> bool {
        if address == self.own.host || self.members.contains_key(&address) {
            return false;
        }
        self.shares.record_alive(now, address);
        self.members.insert(address, Member::new(now, address));
        true
    }

    /// Records the process that sent a message, and compares it with the one last heard at its
    /// address. Connections are numbered in the order in which they were accepted: a process that
    /// has ended made its connections before its successor did, although its messages may be read
    /// after those of the successor.
    pub fn record_process(
        &mut self,
        from: net::SocketAddr,
        process: id::Incarnation,
        connection: u64,
    ) -> ProcessStatus {
        let Some(member) = self.members.get_mut(&from) else { return ProcessStatus::Same };
        let (status, last) = match member.process {
            Some((known, last)) if known == process => (ProcessStatus::Same, last.max(connection)),
            Some((_, last)) if connection < last => return ProcessStatus::Ended,
            _ => (ProcessStatus::New, connection),
        };
        member.closed &= member.process.is_some_and(|(_, known)| known == last);
        member.process = Some((process, last));
        self.gossip.mark_dirty_if(status == ProcessStatus::New);
        status
    }

    /// Records that a connection was closed.
    pub fn record_closed(&mut self, connection: u64) {
        let last = |it: &&mut Member| it.process.is_some_and(|(_, last)| last == connection);
        if let Some(member) = self.members.values_mut().find(last) {
            member.closed = true;
        }
    }

    /// Records a message of a host. If the host was not heard before, returns the heartbeat that
    /// introduces its neighbours to it.
    pub fn record_message(
        &mut self,
        now: id::Time,
        from: net::SocketAddr,
    ) -> Option<heartbeat::Heartbeat> {
        let member = self.members.get_mut(&from)?;
        let new = !member.is_heard(now);
        member.heard_at = Some(now);
        member.backoff.1 = 0;
        if !new {
            return None;
        }
        self.gossip.mark_dirty_if(member.is_neighbour(now) || !member.alive);
        if member.alive {
            return None;
        }
        let positions = member.positions;
        self.forgotten.remove(&from);
        self.shares.record_alive(now, from);
        let others: Vec<_> =
            self.ring_candidates(now).into_iter().filter(|it| it.0 != from).collect();
        let near = overlay::neighbours(&positions, &others);
        let known = near.iter().filter_map(|host| self.members.get(host)?.statement.clone());
        let statements = [self.own.clone()].into_iter().chain(known).collect();
        Some(self.heartbeat_to(now, from, statements))
    }

    /// Sets the state that this host publishes.
    pub fn set_state(&mut self, state: statement::State) {
        if self.own.set_state(state) {
            self.gossip.mark_changed();
        }
    }

    /// Returns the hosts that became reachable (true) or unreachable since the last call.
    pub fn take_changes(&mut self) -> Vec<(net::SocketAddr, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// Time until this host knows which others are alive, or `None` if it does; `now` is the time
    /// since its start. Before that it may wrongly consider itself the one that forms calls of
    /// stage work. Hosts with a small share of a core hear of others later when all of them start
    /// together.
    pub fn settling_time(&self, now: id::Time) -> Option<time::Duration> {
        let until = match self.last_join {
            _ if now >= MAX_SETTLING => return None,
            None => ALONE_AFTER,
            Some(_) if self.is_behind(now) => MAX_SETTLING.min(now + STARTUP_INTERVAL),
            Some(last) => MIN_SETTLING.max(last + QUIET_TIME).min(MAX_SETTLING),
        };
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Whether a neighbour reaches more hosts than this one, or a process that became known
    /// recently is not reachable yet.
    fn is_behind(&self, now: id::Time) -> bool {
        let more = |it: &Member| it.is_heard(now) && it.reach_count > self.reached.0;
        let near = |it: &Member| it.is_neighbour(now) && more(it);
        self.members.values().any(|it| near(it) || (it.is_new(now) && !it.alive))
    }

    /// Whether a host is a member.
    pub fn is_known(&self, address: net::SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    /// Whether a host has ended, as far as can be known: it is not a member, or is unreachable and
    /// its connection was closed or has been silent for longer than a process is usually suspended.
    pub fn has_ended(&self, now: id::Time, address: net::SocketAddr) -> bool {
        let Some(member) = self.members.get(&address) else { return true };
        let reached = member.alive || member.is_heard(now);
        let last = member.heard_at.map_or(member.since, |heard| heard.max(member.since));
        !reached && (member.closed || now >= last + ENDED_AFTER)
    }

    /// Whether a host is reachable.
    pub fn is_alive(&self, address: net::SocketAddr) -> bool {
        self.members.get(&address).is_some_and(|member| member.alive)
    }

    /// The process of a host that was heard last. A later process does not have the state of this
    /// one.
    pub fn process(&self, address: net::SocketAddr) -> Option<id::Incarnation> {
        Some(self.members.get(&address)?.process?.0)
    }

    /// Time since the last message of a host.
    pub fn silence(&self, now: id::Time, address: net::SocketAddr) -> Option<time::Duration> {
        let heard = self.members.get(&address)?.heard_at?;
        Some(now.saturating_sub(heard))
    }

    /// The reachable hosts.
    pub fn alive(&self) -> Vec<net::SocketAddr> {
        self.members.iter().filter(|(_, it)| it.alive).map(|(&it, _)| it).collect()
    }

    /// The newest statements of the other hosts that are alive.
    fn statements_alive(&self) -> impl Iterator<Item = &statement::Statement> {
        self.members.values().filter(|it| it.alive).filter_map(|it| it.statement.as_ref())
    }

    /// The other hosts that may perform duties for all. Hosts that agree on which hosts are alive
    /// have the same ones.
    pub fn candidates(&self) -> impl Iterator<Item = Candidate> {
        self.members.iter().filter_map(|(&address, it)| {
            let statement = it.statement.as_ref()?;
            let usable = it.alive && !statement.leaving;
            let (without_store, cpu, hash) =
                (statement.without_store, statement.cpu, it.positions[0]);
            usable.then_some(Candidate { host: address, without_store, cpu, hash })
        })
    }

    /// The other hosts that may relay connections to endpoints.
    pub fn relays(&self) -> Vec<links::Relay> {
        let relay = |it: &statement::Statement| links::Relay {
            host: it.host,
            without_links: it.without_links,
        };
        self.statements_alive().filter(|it| !it.leaving).map(relay).collect()
    }

    /// The other hosts to which this one may submit work.
    pub fn work_candidates(&self, now: id::Time) -> impl Iterator<Item = Candidate> {
        let is_open = move |host: &net::SocketAddr| {
            self.members.get(host).is_some_and(|member| now >= member.backoff.0)
        };
        self.candidates().filter(move |it| is_open(&it.host))
    }

    /// This host as others see it.
    pub fn own_candidate(&self) -> Candidate {
        let (without_store, cpu, hash) = (self.own.without_store, self.own.cpu, self.positions[0]);
        Candidate { host: self.own.host, without_store, cpu, hash }
    }

    /// Hosts to which this one forwards what `root` broadcasts.
    pub fn children(&self, root: net::SocketAddr) -> Vec<net::SocketAddr> {
        let alive = self.members.iter().filter(|(_, it)| it.alive);
        let mut hosts: Vec<_> = alive.map(|(&host, it)| (host, it.positions)).collect();
        hosts.push((self.own.host, self.positions));
        overlay::children(root, self.own.host, &hosts)
    }

    /// Number of hosts among which a bound over all hosts is divided, as known to this host and to
    /// others.
    pub fn sharing_hosts(&self, now: id::Time) -> usize {
        self.shares.largest(now).hosts as usize
    }

    /// The share of this host in a bound that applies to any interval of length `span`; `now` is
    /// the time since the start of this process.
    pub fn share(&self, now: id::Time, span: time::Duration) -> shares::Share {
        self.shares.share(now, span, self.last_join.is_some())
    }

    /// Submits no work to a host for a while because it did not answer in time. The time grows with
    /// each further silence until the host is heard again. All work that waits for the host during
    /// one silence counts once.
    pub fn back_off(&mut self, now: id::Time, address: net::SocketAddr) {
        if let Some(member) = self.members.get_mut(&address).filter(|it| now >= it.backoff.0) {
            let (_, times) = member.backoff;
            member.backoff = (now + MIN_BACKOFF * (1 << times.min(MAX_DOUBLINGS)), times + 1);
        }
    }
}
