//! Computes which hosts are reachable and which are neighbours.

use std::net;
use std::time;

use crate::edge::members;
use crate::edge::members::overlay;
use crate::edge::members::statement;
use crate::id;

/// Time for which a process that became known recently has positions on the rings although it is
/// not reachable yet. As a neighbour it is heard within that time.
const NEW_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Time for which a host that suddenly reaches less than half of the others still counts all of
/// them as reachable. Usually the host itself was suspended and is heard again within that time.
const HOLD_TIME: time::Duration = time::Duration::from_millis(200);

impl members::Member {
    /// Whether its process became known recently.
    pub(super) fn is_new(&self, now: id::Time) -> bool {
        self.statement.is_some() && now < self.process_since + NEW_PERIOD
    }

    /// Whether it was known before, is unreachable and is heard again.
    pub(super) fn has_returned(&self, now: id::Time) -> bool {
        !self.alive && self.statement.is_some() && self.is_heard(now) && !self.is_new(now)
    }
}

impl members::Members {
    /// Whether a host that was last heard on a connection at `last` still uses it, so that it must not
    /// be closed for another one. Several heartbeats may be missing, as some come late under load.
    pub fn uses_connection(&self, now: id::Time, address: net::SocketAddr, last: id::Time) -> bool {
        self.is_alive(address) && now < last + members::LOST_AFTER
    }

    /// Number of other hosts that are known, reachable or not.
    pub fn known_hosts(&self) -> usize {
        self.members.len()
    }

    /// Hosts that have positions on the rings.
    pub(super) fn ring_candidates(
        &self,
        now: id::Time,
    ) -> Vec<(net::SocketAddr, overlay::Positions)> {
        let placed = self.members.iter().filter(|(_, it)| it.alive || it.is_new(now));
        placed.map(|(&address, it)| (address, it.positions)).collect()
    }

    /// Updates which hosts are heard, which are reachable and which are neighbours.
    pub(super) fn refresh(&mut self, now: id::Time) {
        let is_heard = |it: &&members::Member| it.is_neighbour(now) && it.is_heard(now);
        let heard = self.members.values().filter(is_heard).filter_map(|it| it.process);
        let mut hears: Vec<_> = heard.map(|(process, _)| statement::short_id(process)).collect();
        hears.sort_unstable();
        let changed = self.own.hears != hears;
        if changed {
            self.own.hears = hears;
            self.gossip.mark_changed();
        }
        if self.gossip.take_dirty() || changed {
            self.update_reachable(now);
        }
        for host in overlay::neighbours(&self.positions, &self.ring_candidates(now)) {
            if let Some(member) = self.members.get_mut(&host) {
                member.chosen_until = now + members::LINGER_TIME;
            }
        }
        // Hosts that return after a partition need not be next to this one on a ring.
        for member in self.members.values_mut().filter(|it| it.has_returned(now)) {
            member.chosen_until = now + members::LINGER_TIME;
        }
    }

    /// Updates which hosts are reachable.
    fn update_reachable(&mut self, now: id::Time) {
        let statements = self.members.values().filter_map(|it| it.statement.as_ref());
        let reached = overlay::reached(&self.own, statements);
        let before = self.members.values().filter(|it| it.alive).count();
        if 2 * reached.len() < before {
            let since = *self.halved_since.get_or_insert(now);
            if now < since + HOLD_TIME {
                self.startup_until = now + members::STARTUP_PERIOD;
                self.gossip.mark_dirty_if(true);
                return;
            }
        }
        self.halved_since = None;
        let mut digest = self.own.digest();
        for (address, member) in &mut self.members {
            let alive = reached.contains(address);
            if alive {
                digest ^= member.digest;
            }
            if alive != member.alive {
                member.alive = alive;
                member.fetch_asked = false;
                member.since = now;
                self.shares.record_alive(now, *address);
                self.changes.push((*address, alive));
                self.last_join = if alive { Some(now) } else { self.last_join };
            }
        }
        self.reached = (1 + reached.len() as u32, digest);
    }
}
