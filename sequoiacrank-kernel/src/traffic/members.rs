//! The hosts among which endpoints are divided, and whether this host's view of them is still
//! valid.

use std::collections;
use std::time;

use xxhash_rust::xxh3;

use crate::id;
use crate::message;
use crate::plan;
use crate::traffic;

/// A host that is no longer listed still counts if a message from it arrived within this time.
const PEER_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time added to the list's lag before an unconfirmed view becomes invalid.
const LIST_GRACE: time::Duration = time::Duration::from_secs(1);

/// A host that may have a share of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) id: id::HostId,
    pub(crate) zone: id::ZoneId,
}

/// The hosts among which endpoints are divided.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) members: Vec<Member>,
    /// When the members last changed.
    pub(crate) changed: id::Time,
}

/// Messages received from a peer.
#[derive(Default)]
struct PeerState {
    /// When the last message arrived.
    last_message: id::Time,
    /// The host list that the peer last reported, and when.
    list: Option<(message::ListSeen, id::Time)>,
}

/// This host's knowledge of the other hosts.
pub(crate) struct Members {
    own: id::HostId,
    lag: time::Duration,
    /// The platform's host list, sorted by name.
    list: Vec<traffic::Host>,
    /// When the list was last read.
    read: Option<id::Time>,
    /// Hash of the list.
    hash: u64,
    peer_states: collections::BTreeMap<id::HostId, PeerState>,
    zones: collections::BTreeMap<id::HostId, id::ZoneId>,
    view: View,
    /// When the view was last checked.
    last_check: id::Time,
    /// When this host last resumed after a pause, seen as a gap between two checks.
    resumed: id::Time,
}

/// How long a view is valid without confirmation.
pub(crate) fn view_lifetime(lag: time::Duration) -> time::Duration {
    lag + LIST_GRACE
}

impl Members {
    pub(crate) fn new(own: id::HostId, lag: time::Duration) -> Members {
        Members {
            own,
            lag,
            list: Vec::new(),
            read: None,
            hash: 0,
            peer_states: Default::default(),
            zones: Default::default(),
            view: View::default(),
            last_check: id::Time::ZERO,
            resumed: id::Time::ZERO,
        }
    }

    /// Sets the host list read from the platform.
    pub(crate) fn set_list(&mut self, now: id::Time, mut list: Vec<traffic::Host>) {
        list.sort_by(|a, b| a.id.cmp(&b.id));
        list.dedup_by(|a, b| a.id == b.id);
        for host in &list {
            self.zones.insert(host.id.clone(), host.zone.clone());
        }
        self.hash =
            list.iter().fold(0, |hash, host| xxh3::xxh3_64_with_seed(host.id.as_bytes(), hash));
        self.list = list;
        self.read = Some(now);
    }

    /// Records that a message from a peer arrived.
    pub(crate) fn record_message(&mut self, now: id::Time, from: &str) {
        self.peer_states.entry(from.into()).or_default().last_message = now;
    }

    /// Records the host list that a peer reported.
    pub(crate) fn record_list(&mut self, now: id::Time, from: &str, seen: message::ListSeen) {
        let peer = self.peer_states.entry(from.into()).or_default();
        peer.list = Some((seen, now));
    }

    /// Hash and age of this host's list; `None` before the first read.
    pub(crate) fn list_seen(&self, now: id::Time) -> Option<message::ListSeen> {
        let age = now.saturating_sub(self.read?);
        Some(message::ListSeen { hash: self.hash, age })
    }

    /// Updates the view; returns whether its members changed.
    ///
    /// A host that sends messages without being listed counts too, because it may be cut off from
    /// the platform and still use its slots. An additional host never enlarges the parts of the
    /// others.
    pub(crate) fn update_view(&mut self, now: id::Time) -> bool {
        self.peer_states.retain(|_, peer| now < peer.last_message + PEER_TIMEOUT);
        if self.read.is_none() {
            return false;
        }
        let mut members: Vec<Member> = self
            .list
            .iter()
            .map(|host| Member { id: host.id.clone(), zone: host.zone.clone() })
            .collect();
        for id in self.peer_states.keys().filter(|id| !self.is_listed(id)) {
            let zone = self.zones.get(id).cloned().unwrap_or_default();
            members.push(Member { id: id.clone(), zone });
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        if members == self.view.members {
            return false;
        }
        self.view = View { members, changed: now };
        true
    }

    /// The current view.
    pub(crate) fn view(&self) -> View {
        self.view.clone()
    }

    fn is_listed(&self, host: &str) -> bool {
        self.list.binary_search_by(|member| member.id.as_str().cmp(host)).is_ok()
    }

    /// Listed hosts other than this one.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &traffic::Host> {
        self.list.iter().filter(|host| host.id != self.own)
    }

    /// Whether the view may be used for new calls: the list is recent, or at least half of the
    /// peers in the region recently reported the same list and none reported a newer and different
    /// one.
    ///
    /// Peers send digests only to hosts on their own list, so a host that the platform has removed
    /// and that can't read the list stops in time.
    pub(crate) fn view_valid(&mut self, now: id::Time, plan: &plan::Plan) -> bool {
        let lifetime = view_lifetime(self.lag);
        if now > self.last_check + lifetime {
            self.resumed = now;
        }
        self.last_check = now;
        let Some(read) = self.read else {
            return false;
        };
        if now <= read + lifetime {
            return true;
        }
        // Reports received before a pause of this host are too old to count.
        let reported = |peer: &PeerState| peer.list.filter(|(_, at)| now <= *at + lifetime);
        let newer = |peer: &PeerState| {
            reported(peer).is_some_and(|(list, at)| list.hash != self.hash && at > read + list.age)
        };
        if self.peer_states.values().any(newer) {
            return false;
        }
        let own = self.zones.get(&self.own).and_then(|zone| region(plan, zone));
        let same =
            |peer: &PeerState| reported(peer).is_some_and(|(list, _)| list.hash == self.hash);
        let (mut peers, mut agreeing) = (0_usize, 0_usize);
        for peer in self.peers().filter(|peer| region(plan, &peer.zone) == own) {
            peers += 1;
            agreeing += usize::from(self.peer_states.get(&peer.id).is_some_and(same));
        }
        match peers {
            // No peer could tell a lone host about hosts that joined while it was paused, so it
            // needs a list read since then.
            0 => read >= self.resumed,
            _ => 2 * agreeing >= peers,
        }
    }
}

/// Region of an availability zone; `None` if the zone is not declared.
pub(crate) fn region<'a>(plan: &'a plan::Plan, zone: &str) -> Option<&'a str> {
    plan.zones.get(zone).map(|zone| zone.region.as_str())
}

/// Hosts in a region, or all hosts if there is none in it.
pub(crate) fn hosts_in_region<'a>(
    plan: &plan::Plan,
    members: &'a [Member],
    wanted: Option<&str>,
) -> Vec<&'a str> {
    // A host that never was on the list has no known zone and may be in any region.
    let inside = |member: &&Member| member.zone.is_empty() || region(plan, &member.zone) == wanted;
    let hosts: Vec<&str> = members.iter().filter(inside).map(|m| m.id.as_str()).collect();
    match hosts.is_empty() {
        true => members.iter().map(|member| member.id.as_str()).collect(),
        false => hosts,
    }
}
