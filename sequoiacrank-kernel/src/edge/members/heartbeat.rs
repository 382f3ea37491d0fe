//! Heartbeats: what is sent to neighbours and unreachable hosts in each round.

use std::net;
use std::time;

use crate::edge::members;
use crate::edge::members::shares;
use crate::edge::members::statement;
use crate::id;

/// Time after which an unreachable host is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(20);
/// Time for which a forgotten process is not accepted again from others that still know it.
const RELEARN_DELAY: time::Duration = time::Duration::from_secs(60);
/// Time without an acknowledged heartbeat after which the connection is replaced: four heartbeats.
const ECHO_TIMEOUT: time::Duration = time::Duration::from_millis(1600);
/// Minimum number of unreachable hosts that are sent a heartbeat in each round. These heartbeats
/// find hosts again when a partition ends, and let hosts that lost all their neighbours find
/// others.
const MIN_PROBES: usize = 2;
/// Number of unreachable hosts for which one more is probed in a round, so that all of them are
/// probed within a few seconds.
const HOSTS_PER_PROBE: usize = 32;
/// Rounds after which the shares of reachable hosts in bounds are renewed: ten seconds.
const SHARE_REFRESH_ROUNDS: u64 = 25;

/// The content of a heartbeat besides statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Number of the heartbeat.
    pub number: u64,
    /// Number of the last heartbeat that the sender received from the addressed host.
    pub heard: u64,
    /// Whether the sender chose the addressed host as a neighbour and expects heartbeats from it.
    pub chosen: bool,
    /// Largest number of hosts that is known to the sender.
    pub known: shares::HostCount,
    /// Number of hosts that the sender reaches, itself included.
    pub reached: u32,
    /// Digest of the statements of those hosts.
    pub digest: u64,
}

/// A heartbeat to one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Address of the host.
    pub to: net::SocketAddr,
    /// Its content besides statements.
    pub header: Header,
    /// Statements that the host may not know.
    pub statements: Vec<statement::Statement>,
}

/// What to do in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Heartbeats to send.
    pub heartbeats: Vec<Heartbeat>,
    /// Hosts to which the connection is replaced, because they do not receive heartbeats from here.
    pub reconnect: Vec<net::SocketAddr>,
    /// Hosts that were unreachable for too long and are no longer members.
    pub forgotten: Vec<net::SocketAddr>,
}

impl members::Members {
    /// A heartbeat with the statement of this host, for a host that may not know it.
    pub fn hello(&self, now: id::Time, to: net::SocketAddr) -> Heartbeat {
        self.heartbeat_to(now, to, vec![self.own.clone()])
    }

    /// A heartbeat with `statements`.
    pub(super) fn heartbeat_to(
        &self,
        now: id::Time,
        to: net::SocketAddr,
        statements: Vec<statement::Statement>,
    ) -> Heartbeat {
        let member = self.members.get(&to);
        let (reached, digest) = self.reached;
        let header = Header {
            number: self.number,
            heard: member.map_or(0, |member| member.sequence.0),
            chosen: member.is_some_and(|member| now < member.chosen_until),
            known: self.shares.largest(now),
            reached,
            digest,
        };
        Heartbeat { to, header, statements }
    }

    /// Records a heartbeat of a host.
    pub fn record_heartbeat(&mut self, now: id::Time, from: net::SocketAddr, header: Header) {
        let Some(member) = self.members.get_mut(&from) else { return };
        if header.heard != member.sequence.1 {
            member.echoed_at = now;
        }
        member.sequence = (header.number, header.heard);
        if header.chosen {
            if now >= member.chooses_until {
                self.gossip.mark_dirty_if(true);
            }
            member.chooses_until = now + members::LOST_AFTER;
        }
        let same = header.digest == self.reached.1;
        member.reach_count = header.reached;
        member.mismatches = if same { 0 } else { member.mismatches + 1 };
        self.shares.record_known(now, header.known);
    }

    /// Starts a round: returns the heartbeats to send and forgets hosts that were unreachable for
    /// too long.
    pub fn next_round(&mut self, now: id::Time) -> Round {
        self.number += 1;
        let stalled = now.saturating_sub(self.last_round);
        if stalled > 2 * members::HEARTBEAT_INTERVAL && self.number > 1 {
            // This process was suspended, and messages that arrived meanwhile are still unread. The
            // time without messages does not show that others are lost. Some messages may have been
            // read since.
            for member in self.members.values_mut() {
                member.heard_at = member.heard_at.map(|at| (at + stalled).min(now));
            }
        }
        self.last_round = now;
        let forgotten = self.forget(now);
        self.shares.expire(now);
        if self.number.is_multiple_of(SHARE_REFRESH_ROUNDS) {
            for (&address, _) in self.members.iter().filter(|(_, it)| it.alive) {
                self.shares.record_alive(now, address);
            }
        }
        self.refresh(now);
        let mut round = Round { forgotten, ..Round::default() };
        for (to, new) in self.take_neighbours(now) {
            let statements = if new { vec![self.own.clone()] } else { Vec::new() };
            round.heartbeats.push(self.heartbeat_to(now, to, statements));
            let Some(member) = self.members.get_mut(&to) else { continue };
            if now > member.echoed_at + ECHO_TIMEOUT {
                member.echoed_at = now;
                round.reconnect.push(to);
            }
        }
        for to in self.probes(now) {
            round.heartbeats.push(self.hello(now, to));
        }
        round
    }

    /// Time between the last round and the next one.
    pub fn heartbeat_interval(&self, now: id::Time) -> time::Duration {
        if now < self.startup_until {
            members::STARTUP_INTERVAL
        } else {
            members::HEARTBEAT_INTERVAL
        }
    }

    /// Neighbours to send heartbeats to, each with whether it was none in the last round and so has
    /// received no heartbeat yet.
    fn take_neighbours(&mut self, now: id::Time) -> Vec<(net::SocketAddr, bool)> {
        let mut near = Vec::new();
        for (&address, member) in &mut self.members {
            let neighbour = member.is_neighbour(now);
            let new = neighbour && !member.was_neighbour;
            member.was_neighbour = neighbour;
            if new {
                member.echoed_at = now;
            }
            if neighbour {
                near.push((address, new));
            }
        }
        near
    }

    /// Unreachable hosts to send a heartbeat in this round: all of them while there are few, else
    /// each in turn.
    fn probes(&self, now: id::Time) -> Vec<net::SocketAddr> {
        let lost = |it: &members::Member| !it.alive && !it.is_neighbour(now);
        let lost: Vec<_> =
            self.members.iter().filter(|(_, it)| lost(it)).map(|(&it, _)| it).collect();
        let count = if now < members::MIN_SETTLING {
            2 * MIN_PROBES
        } else {
            MIN_PROBES + lost.len() / HOSTS_PER_PROBE
        };
        let first = (self.positions[0] as usize).wrapping_add(self.number as usize * count);
        let pick = |index: usize| lost[first.wrapping_add(index) % lost.len()];
        (0..lost.len().min(count)).map(pick).collect()
    }

    fn forget(&mut self, now: id::Time) -> Vec<net::SocketAddr> {
        let old =
            |it: &members::Member| !it.alive && !it.is_heard(now) && now >= it.since + FORGET_AFTER;
        let forgotten: Vec<_> =
            self.members.iter().filter(|(_, it)| old(it)).map(|(&it, _)| it).collect();
        for &address in &forgotten {
            let Some(statement) = self.members.remove(&address).and_then(|it| it.statement) else {
                continue;
            };
            // A host that announced that it leaves has ended by now.
            if statement.leaving {
                self.shares.remove(address);
            }
            self.forgotten.insert(address, (statement.order(), now));
        }
        self.forgotten.retain(|_, (_, at)| now < *at + RELEARN_DELAY);
        forgotten
    }
}
