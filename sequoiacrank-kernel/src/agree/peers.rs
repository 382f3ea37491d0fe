//! Known hosts, and the owner of each shard by rendezvous hashing.

use std::time;

use crate::id;
use crate::map;

/// How long a host that announced its leaving is marked as leaving, and owns no shard, while the
/// platform still lists it.
const LEAVING_TTL: time::Duration = time::Duration::from_secs(6);
/// How long a host may leave a request unanswered before its shards go to other hosts.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// How long a host that did not answer is marked as silent, and owns no shard, unless a message
/// from it arrives.
const SILENT_TTL: time::Duration = time::Duration::from_secs(10);
/// Number of different ages at which the other hosts back up the one that renews records.
const RENEWAL_STEPS: u64 = 1000;

/// Hosts that may own shards or receive gossip.
pub(super) struct Peers {
    own: id::HostId,
    hosts: Vec<id::HostId>,
    leaving: map::FastMap<id::HostId, id::Time>,
    /// Time of the oldest request to each host since its last message.
    unanswered: map::FastMap<id::HostId, id::Time>,
    /// Hosts that did not answer in time, and until when they own no shard.
    silent: map::FastMap<id::HostId, id::Time>,
    /// Owner of each shard; the last entry is the host that renews records of the configuration
    /// stream.
    owners: Vec<Option<id::HostId>>,
    round: u64,
}

impl Peers {
    /// Starts without known hosts.
    pub fn new(own: id::HostId, shards: id::Shard) -> Peers {
        let owners = vec![None; shards as usize + 1];
        Peers {
            own,
            hosts: Vec::new(),
            leaving: map::FastMap::default(),
            unanswered: map::FastMap::default(),
            silent: map::FastMap::default(),
            owners,
            round: 0,
        }
    }

    /// Replaces the known hosts by the platform's list.
    pub fn set_hosts(&mut self, hosts: Vec<id::HostId>) {
        self.hosts = hosts;
        self.hosts.sort();
        self.hosts.dedup();
        self.unanswered.retain(|host, _| self.hosts.contains(host));
        self.silent.retain(|host, _| self.hosts.contains(host));
        self.choose_owners();
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&mut self, now: id::Time, host: &str) {
        self.leaving.insert(host.into(), now + LEAVING_TTL);
        self.choose_owners();
    }

    /// Records that a request was sent to `host`, which a live host answers at once with some
    /// message.
    pub fn record_request(&mut self, now: id::Time, host: &str) {
        if host != self.own && !self.unanswered.contains_key(host) {
            self.unanswered.insert(host.into(), now);
        }
    }

    /// Records a message from `host`; returns whether it changed the owners.
    pub fn record_message(&mut self, host: &str) -> bool {
        self.unanswered.remove(host);
        let was_silent = self.silent.remove(host).is_some();
        if was_silent {
            self.choose_owners();
        }
        was_silent
    }

    /// Drops marks that have expired and marks hosts that did not answer in time as silent. The
    /// mark of this host itself, set when it leaves, never expires.
    pub fn expire(&mut self, now: id::Time) {
        let own = &self.own;
        let before = self.leaving.len() + self.silent.len();
        self.leaving.retain(|host, until| *until > now || host == own);
        self.silent.retain(|_, until| *until > now);
        let mut changed = self.leaving.len() + self.silent.len() < before;
        let overdue = self.unanswered.extract_if(|_, since| now >= *since + REPLY_TIMEOUT);
        for (host, _) in overdue {
            self.silent.insert(host, now + SILENT_TTL);
            changed = true;
        }
        if changed {
            self.choose_owners();
        }
    }

    /// Chooses owners by rendezvous hashing, so that a change of the list moves only the shards of
    /// the hosts that changed.
    fn choose_owners(&mut self) {
        let live = self.hosts.iter().filter(|host| self.is_live(host));
        let live = live.collect::<Vec<_>>();
        for (shard, owner) in self.owners.iter_mut().enumerate() {
            let first = live.iter().max_by_key(|host| rank(host, shard as u64));
            *owner = first.map(|host| (*host).clone());
        }
    }

    fn is_live(&self, host: &str) -> bool {
        !self.leaving.contains_key(host) && !self.silent.contains_key(host)
    }

    /// Host that should own `shard`; none if no live host is known.
    pub fn owner(&self, shard: id::Shard) -> Option<&id::HostId> {
        self.owners.get(shard as usize)?.as_ref()
    }

    /// Whether this host is the first to append again the records of the configuration stream that
    /// must outlast their retention.
    pub fn is_renewer(&self) -> bool {
        self.owners.last().is_some_and(|owner| owner.as_ref() == Some(&self.own))
    }

    /// Age at which this host again appends a record that the log keeps for `retention`.
    ///
    /// One host does so at half of the retention. The others follow at different ages between five
    /// eighths and three quarters of it, in case the first can't reach the log.
    pub fn renewal_age(&self, retention: time::Duration) -> time::Duration {
        let step = (rank(&self.own, 0) % RENEWAL_STEPS) as u32;
        match self.is_renewer() {
            true => retention / 2,
            false => retention * 5 / 8 + retention / 8 * step / RENEWAL_STEPS as u32,
        }
    }

    /// Whether another live host could take over shards.
    pub fn has_successor(&self) -> bool {
        self.hosts.iter().any(|host| *host != self.own && self.is_live(host))
    }

    /// All known hosts but this one.
    pub fn others(&self) -> impl Iterator<Item = &id::HostId> {
        self.hosts.iter().filter(|host| **host != self.own)
    }

    /// Changes the hosts that [`Peers::sample`] returns.
    pub fn next_round(&mut self) {
        self.round += 1;
    }

    /// Returns up to `count` other hosts, different ones in each round.
    pub fn sample(&self, count: usize) -> Vec<id::HostId> {
        let seed = rank(&self.own, self.round);
        let mut others = self.others().collect::<Vec<_>>();
        others.sort_by_cached_key(|host| rank(host, seed));
        others.into_iter().take(count).cloned().collect()
    }
}

fn rank(host: &str, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), seed)
}

/// Returns the shard that a key hashes to.
pub(super) fn shard_of(key: &id::Key, shards: id::Shard) -> id::Shard {
    let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
    (hash % u64::from(shards.max(1))) as id::Shard
}
