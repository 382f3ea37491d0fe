//! Latches, which stay set for good. They are pushed to peers at once, kept in the log and spread
//! by gossip.

use std::collections;
use std::time;

use super::{Command, context, outbox};
use crate::id;
use crate::log;
use crate::message;

/// How long the renewer waits for the host that found a latch to log it before it does so itself.
const RENEWER_DELAY: time::Duration = time::Duration::from_secs(5);
/// Number of latches taken in rotation for one gossip message, besides those not yet logged.
const GOSSIP_CHUNK: usize = 16;
/// Number of peers to which a latch learnt from another peer is passed on.
const PUSH_PEERS: usize = 3;

struct LatchState {
    since: id::Time,
    found_here: bool,
    /// Time of the latest record of the log that contains it.
    logged: Option<id::Time>,
    /// Sequence number of the pending append that contains it.
    sequence: Option<u64>,
}

/// Latches that are set.
pub(super) struct Latches {
    known: collections::BTreeMap<log::Latch, LatchState>,
    cursor: usize,
}

impl Latches {
    /// Starts with no latch set.
    pub fn new() -> Latches {
        Latches { known: collections::BTreeMap::new(), cursor: 0 }
    }

    /// All latches that are set.
    pub fn all(&self) -> impl Iterator<Item = &log::Latch> {
        self.known.keys()
    }

    /// Whether a latch found on this host is not in the log yet and would be lost with the host.
    pub fn has_unlogged(&self) -> bool {
        self.known.values().any(|known| known.found_here && known.logged.is_none())
    }

    /// Sets a latch found on this host and sends it to all peers.
    pub fn latch_found(&mut self, latch: log::Latch, cx: &mut context::Context<'_>) {
        if self.insert(&latch, true, None, cx) {
            let peers = cx.peers.others().cloned().collect::<Vec<_>>();
            for peer in peers {
                cx.send(&peer, message::Message::Latches(vec![latch.clone()]));
            }
        }
    }

    /// Sets latches received from a peer and passes new ones on.
    pub fn handle_peer(&mut self, latches: Vec<log::Latch>, cx: &mut context::Context<'_>) {
        let new_latches = latches
            .into_iter()
            .filter(|latch| self.insert(latch, false, None, cx))
            .collect::<Vec<_>>();
        if !new_latches.is_empty() {
            for peer in cx.peers.sample(PUSH_PEERS) {
                cx.send(&peer, message::Message::Latches(new_latches.clone()));
            }
        }
    }

    /// Applies a record of the configuration stream.
    pub fn fold(&mut self, record: &log::Record, cx: &mut context::Context<'_>) {
        for entry in &record.entries {
            if let log::Entry::Latch(latch) = entry {
                self.insert(latch, false, Some(record.at), cx);
            }
        }
    }

    fn insert(
        &mut self,
        latch: &log::Latch,
        found_here: bool,
        at: Option<id::Time>,
        cx: &mut context::Context<'_>,
    ) -> bool {
        if let Some(known) = self.known.get_mut(latch) {
            known.logged = known.logged.max(at);
            if at.is_some() {
                known.sequence = None;
            }
            return false;
        }
        let known = LatchState { since: cx.now, found_here, logged: at, sequence: None };
        self.known.insert(latch.clone(), known);
        cx.push(Command::Latched(latch.clone()));
        true
    }

    /// Appends latches that are not in the log or soon run out of retention.
    pub fn poll(&mut self, outbox: &mut outbox::Outbox, cx: &mut context::Context<'_>) {
        let renews = cx.peers.is_renewer();
        let age = cx.peers.renewal_age(cx.options.retention);
        let now = cx.now;
        let due = |known: &LatchState| match known.logged {
            _ if known.sequence.is_some() => false,
            None => known.found_here || (renews && now >= known.since + RENEWER_DELAY),
            Some(at) => now >= at + age,
        };
        let due_latches = self.known.iter().filter(|(_, known)| due(known)).map(|(latch, _)| latch);
        let entries = due_latches.cloned().map(log::Entry::Latch).collect::<Vec<_>>();
        if entries.is_empty() {
            return;
        }
        let sequence = outbox.push(entries, cx);
        for known in self.known.values_mut().filter(|known| due(known)) {
            known.sequence = Some(sequence);
        }
    }

    /// Sends all latches to a host that asks for the current state.
    pub fn send_all(&self, from: &str, cx: &mut context::Context<'_>) {
        if !self.known.is_empty() {
            let all = self.known.keys().cloned().collect();
            cx.send(from, message::Message::Latches(all));
        }
    }

    /// Sends one peer all latches that are not logged and the next few of the others in rotation.
    pub fn gossip(&mut self, cx: &mut context::Context<'_>) {
        let unlogged = self.known.iter().filter(|(_, known)| known.logged.is_none());
        let mut latches = unlogged.map(|(latch, _)| latch.clone()).collect::<Vec<_>>();
        let rotating = self.known.keys().cycle().skip(self.cursor).take(GOSSIP_CHUNK);
        latches.extend(rotating.cloned());
        latches.sort();
        latches.dedup();
        self.cursor = (self.cursor + GOSSIP_CHUNK) % self.known.len().max(1);
        if latches.is_empty() {
            return;
        }
        for peer in cx.peers.sample(1) {
            cx.send(&peer, message::Message::Latches(latches.clone()));
        }
    }
}
