//! Periodic digests to peers: changes of endpoints for the hosts that share them, evidence and
//! suspects for all hosts of the region, and heartbeats.

use std::collections;
use std::time;

use crate::id;
use crate::log;
use crate::message;
use crate::policy::Moves as _;
use crate::traffic;
use crate::traffic::members;

/// Interval between digests of changes.
const DIGEST_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest time without a digest to a listed peer of the region.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval at which unchanged evidence and suspects are sent again, because messages may be lost.
const RESEND_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// What was sent to peers, and when.
#[derive(Default)]
pub(crate) struct State {
    /// When the next digest is due.
    next_digest: id::Time,
    /// When unchanged evidence and suspects are sent again.
    next_resend: id::Time,
    /// Evidence as last sent.
    evidence: Vec<message::Evidence>,
    /// Suspects as last sent, sorted by fingerprint.
    suspects: Vec<message::Suspect>,
    /// When each peer was last sent a digest.
    sent: collections::BTreeMap<id::HostId, id::Time>,
}

impl State {
    /// Whether the next digest is due; schedules the one after it if so.
    fn due(&mut self, now: id::Time) -> bool {
        let due = now >= self.next_digest;
        if due {
            self.next_digest = now + DIGEST_INTERVAL;
        }
        due
    }

    /// Builds the part of a digest that is the same for all hosts of the region.
    fn common(
        &mut self,
        now: id::Time,
        evidence: Vec<message::Evidence>,
        mut suspects: Vec<message::Suspect>,
    ) -> message::Digest {
        suspects.sort_by_key(|suspect| suspect.fingerprint);
        let resend = now >= self.next_resend;
        if resend {
            self.next_resend = now + RESEND_INTERVAL;
        }
        let mut digest = message::Digest::default();
        if resend || evidence != self.evidence {
            digest.evidence.clone_from(&evidence);
            self.evidence = evidence;
        }
        if resend || suspects != self.suspects {
            digest.suspects.clone_from(&suspects);
            self.suspects = suspects;
        }
        digest
    }

    /// Whether a digest must be sent to a peer, because it has content or as a heartbeat.
    fn needs_message(&mut self, now: id::Time, peer: &str, digest: &message::Digest) -> bool {
        let silent = self.sent.get(peer).is_none_or(|at| now >= *at + HEARTBEAT_INTERVAL);
        let needed = silent || *digest != message::Digest::default();
        if needed {
            self.sent.insert(peer.into(), now);
        }
        needed
    }
}

impl traffic::Traffic {
    /// Sends digests to the peers of the region if they are due.
    pub(crate) fn send_digests(&self, now: id::Time, out: &mut Vec<traffic::Command>) {
        if !self.digest.lock().due(now) {
            return;
        }
        let mut changes = self.endpoint_changes();
        let evidence = self.moves.lock().evidence();
        let suspects = self.suspects.lock().digest();
        let peers = self.peers();
        let list = self.members.lock().list_seen(now);
        let mut state = self.digest.lock();
        let common = state.common(now, evidence, suspects);
        state.sent.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            let mut digest = common.clone();
            digest.endpoints = changes.remove(&peer).unwrap_or_default();
            if state.needs_message(now, &peer, &digest) {
                digest.list = list;
                let message = message::Message::Digest(digest);
                out.push(traffic::Command::Send { to: peer, message });
            }
        }
    }

    /// Changed endpoints, grouped by the hosts that share them.
    fn endpoint_changes(&self) -> collections::BTreeMap<id::HostId, Vec<message::EndpointDigest>> {
        let mut changes: collections::BTreeMap<_, Vec<_>> = Default::default();
        for pool in self.all_pools() {
            for (endpoint, state) in &mut pool.lock().endpoints {
                if let Some(digest) = state.changed_digest(endpoint) {
                    for host in &state.serving {
                        changes.entry(host.clone()).or_default().push(digest.clone());
                    }
                }
            }
        }
        changes
    }

    /// Listed peers in this host's region.
    fn peers(&self) -> Vec<id::HostId> {
        let Some(plan) = self.plan() else {
            return Vec::new();
        };
        let own = members::region(&plan, &self.options.zone);
        self.members
            .lock()
            .peers()
            .filter(|peer| members::region(&plan, &peer.zone) == own)
            .map(|peer| peer.id.clone())
            .collect()
    }

    /// Sends a digest to all peers of the region.
    pub(crate) fn broadcast(&self, digest: &message::Digest, out: &mut Vec<traffic::Command>) {
        let send = |to| {
            let message = message::Message::Digest(digest.clone());
            traffic::Command::Send { to, message }
        };
        out.extend(self.peers().into_iter().map(send));
    }
}

/// Builds the log entry for the end of a move.
pub(crate) fn move_decision(latch: &log::Latch, why: String) -> traffic::Decision {
    let (subject, chosen) = match latch {
        log::Latch::Done(id) => (id, "done"),
        log::Latch::TakenBack(id) => (id, "taken back"),
        log::Latch::Leaving(id) => (id, "leaving"),
    };
    traffic::Decision {
        request: None,
        kind: "move",
        subject: subject.clone(),
        candidates: 2,
        chosen: chosen.into(),
        why,
    }
}
