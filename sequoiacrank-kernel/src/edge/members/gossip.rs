//! How statements spread. Each new statement is sent to the neighbours once. A host whose knowledge
//! differs from that of a neighbour for longer fetches all statements from it.

use std::net;
use std::time;

use crate::edge::crash;
use crate::edge::crash::parts;
use crate::edge::members;
use crate::edge::members::statement;
use crate::id;
use crate::map;

/// Time for which updates are collected before they are forwarded.
pub const GATHER_TIME: time::Duration = time::Duration::from_millis(40);
/// Shortest time between two statements of a host about itself, unless it is leaving.
const MIN_ISSUE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Number of heartbeats in a row with a different digest after which updates count as lost.
const MAX_MISMATCHES: u32 = 2;
/// Shortest time between two requests for all statements, soon after the start.
const STARTUP_FETCH_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Shortest time between two such requests later.
const FETCH_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Statements that wait to be forwarded.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    /// Hosts with new statements, each with the hosts that are known to have that statement
    /// already.
    pending: map::FastMap<net::SocketAddr, Vec<net::SocketAddr>>,
    /// Whether the set of heard or reachable hosts may have changed.
    dirty: bool,
    /// Whether the statement of this host has to be issued anew.
    own_changed: bool,
    /// Time at which this host last issued a statement.
    issued_at: Option<id::Time>,
}

impl Gossip {
    /// Records that the set of heard or reachable hosts may have changed, if `condition` holds.
    pub fn mark_dirty_if(&mut self, condition: bool) {
        self.dirty |= condition;
    }

    /// Returns whether that was recorded since the last call.
    pub fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    /// Records that the statement of this host has to be issued anew.
    pub fn mark_changed(&mut self) {
        self.own_changed = true;
    }
}

/// What is new in a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Address of the host.
    pub host: net::SocketAddr,
    /// Process of the host.
    pub process: id::Incarnation,
    /// Whether the process differs from the one known before.
    pub restarted: bool,
    /// Whether the host has begun to leave.
    pub leaving: bool,
    /// Reports of endpoints that crashed on its calls.
    pub crashes: Vec<crash::Report>,
    /// Reports of parts of prompts.
    pub parts: Vec<parts::Report>,
}

/// A host and the statements to send to it.
pub type Outgoing = (net::SocketAddr, Vec<statement::Statement>);

impl members::Members {
    /// Merges statements received from a host. Returns what is new in them.
    pub fn merge(
        &mut self,
        now: id::Time,
        from: net::SocketAddr,
        statements: Vec<statement::Statement>,
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        for new in statements {
            if new.host == self.own.host {
                self.supersede(&new);
                continue;
            }
            if self.forgotten.get(&new.host).is_some_and(|(last, _)| new.order() <= *last) {
                continue;
            }
            self.add(now, new.host);
            let Some(member) = self.members.get_mut(&new.host) else { continue };
            let old = member.statement.as_ref();
            match old.map(statement::Statement::order) {
                Some(order) if order > new.order() => continue,
                Some(order) if order == new.order() => {
                    self.gossip.pending.entry(new.host).and_modify(|known| known.push(from));
                    continue;
                }
                _ => {}
            }
            updates.push(Update {
                host: new.host,
                process: new.process,
                restarted: old.is_some_and(|old| old.process != new.process),
                leaving: new.leaving && !old.is_some_and(|old| old.leaving),
                crashes: new.crashes.clone(),
                parts: new.parts.clone(),
            });
            self.gossip.pending.insert(new.host, vec![from, new.host]);
            self.gossip.dirty = true;
            // Others may have forgotten this host in the meantime; they accept it again only with a
            // newer statement.
            let own = statement::short_id(self.own.process);
            let heard = self.own.hears.contains(&statement::short_id(new.process));
            self.gossip.own_changed |= heard && !new.hears.contains(&own);
            if old.is_none_or(|old| old.process != new.process) {
                member.process_since = now;
            }
            member.digest = new.digest();
            member.statement = Some(new);
        }
        updates
    }

    /// Raises the epoch of this host above the one of an earlier process whose clock was ahead.
    fn supersede(&mut self, other: &statement::Statement) {
        if other.process != self.own.process && other.epoch >= self.own.epoch {
            self.own.epoch = other.epoch.saturating_add(1);
            self.gossip.own_changed = true;
        }
    }

    /// Whether there are updates to forward or to compute. [`Self::flush`] has to be called
    /// [`GATHER_TIME`] later.
    pub fn has_updates(&self) -> bool {
        self.gossip.dirty || self.gossip.own_changed || !self.gossip.pending.is_empty()
    }

    /// Returns the statements to send to neighbours now.
    pub fn flush(&mut self, now: id::Time) -> Vec<Outgoing> {
        if self.gossip.dirty {
            self.refresh(now);
        }
        let early = self.gossip.issued_at.is_some_and(|at| now < at + MIN_ISSUE_INTERVAL)
            && !self.own.leaving;
        if self.gossip.own_changed && !early {
            self.gossip.own_changed = false;
            self.gossip.issued_at = Some(now);
            self.own.version += 1;
            self.gossip.pending.insert(self.own.host, Vec::new());
            // The digest over all statements includes that of this host.
            self.gossip.dirty = true;
            self.refresh(now);
        }
        let pending = std::mem::take(&mut self.gossip.pending);
        let near = self.members.iter().filter(|(_, it)| it.is_neighbour(now) && it.is_heard(now));
        let mut outgoing: Vec<Outgoing> = near.map(|(&to, _)| (to, Vec::new())).collect();
        for (host, known) in pending {
            let Some(statement) = self.statement(host) else { continue };
            for (_, list) in outgoing.iter_mut().filter(|(to, _)| !known.contains(to)) {
                list.push(statement.clone());
            }
        }
        outgoing.retain(|(_, list)| !list.is_empty());
        outgoing
    }

    fn statement(&self, host: net::SocketAddr) -> Option<&statement::Statement> {
        match host == self.own.host {
            true => Some(&self.own),
            false => self.members.get(&host)?.statement.as_ref(),
        }
    }

    /// Whether to request all statements from a host whose heartbeat was just recorded; records
    /// that they are requested. This is the case if the host is heard again after a partition, if
    /// its own statement is not known, or if it is a chosen neighbour and its digest has differed
    /// for several heartbeats or it reaches over twice as many hosts. Except in the first
    /// case, two requests are a minimum time apart.
    pub fn should_fetch(
        &mut self,
        now: id::Time,
        from: net::SocketAddr,
        header: &members::heartbeat::Header,
    ) -> bool {
        let Some(member) = self.members.get_mut(&from) else { return false };
        if member.has_returned(now) && !std::mem::replace(&mut member.fetch_asked, true) {
            // What is known of the hosts on its side of a partition dates from before the
            // partition.
            return true;
        }
        let interval =
            if now < members::MAX_SETTLING { STARTUP_FETCH_INTERVAL } else { FETCH_INTERVAL };
        let too_soon = self.fetched_at.is_some_and(|at| now < at + interval);
        let behind = header.reached > 2 * self.reached.0;
        let neighbour = now < member.chosen_until;
        let wanted = member.statement.is_none()
            || (neighbour && (behind || member.mismatches >= MAX_MISMATCHES));
        if !wanted || too_soon {
            return false;
        }
        self.fetched_at = Some(now);
        true
    }

    /// The statements of all reachable hosts, for a host that requested them.
    pub fn statements(&self) -> Vec<statement::Statement> {
        let alive = self.members.values().filter(|it| it.alive);
        let known = alive.filter_map(|it| it.statement.clone());
        [self.own.clone()].into_iter().chain(known).collect()
    }
}
