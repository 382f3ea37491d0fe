//! The other hosts: their addresses, messages to them, and the streams of their requests.

use std::net;
use std::sync;

use crossbeam::channel;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use sequoiacrank_kernel::message;
use sequoiacrank_peer::client;
use sequoiacrank_peer::event;
use sequoiacrank_platform::hosts;
use xxhash_rust::xxh3;

use crate::session;

/// The last bytes of a request id: a hash of the name of the host that admitted the request.
pub type Tag = [u8; 4];

/// The tag of a host.
pub fn tag(host: &str) -> Tag {
    (xxh3::xxh3_64(host.as_bytes()) as u32).to_be_bytes()
}

/// The peers of a host.
pub struct Peers {
    own: id::HostId,
    client: client::Client,
    hosts: parking_lot::RwLock<map::FastMap<id::HostId, hosts::Entry>>,
}

impl Peers {
    /// Peers of `own`, none of them known yet.
    pub fn new(own: id::HostId, client: client::Client) -> Self {
        Peers { own, client, hosts: parking_lot::RwLock::default() }
    }

    /// Replaces the list of hosts with that of the platform.
    pub fn set_hosts(&self, hosts: Vec<hosts::Entry>) {
        let hosts = hosts.into_iter().map(|host| (host.id.clone(), host)).collect();
        *self.hosts.write() = hosts;
    }

    /// All hosts, sorted by name.
    pub fn hosts(&self) -> Vec<hosts::Entry> {
        let mut hosts: Vec<hosts::Entry> = self.hosts.read().values().cloned().collect();
        hosts.sort_by(|left, right| left.id.cmp(&right.id));
        hosts
    }

    /// Number of hosts in the list.
    pub fn count(&self) -> usize {
        self.hosts.read().len()
    }

    /// Sends a message; it is dropped if the receiver is not in the list.
    pub fn send(&self, to: &str, message: message::Message) {
        let address = self.hosts.read().get(to).map(|host| host.peer);
        match address {
            Some(address) => self.client.send(address, message),
            None => log::debug!(to; "a message to an unknown host is dropped"),
        }
    }

    /// Address of the host that admitted a request, if it is another host in the list.
    pub fn owner_address(&self, request: id::RequestId) -> Option<net::SocketAddr> {
        let hosts = self.hosts.read();
        let is_owner =
            |host: &&hosts::Entry| request.as_bytes()[12..] == tag(&host.id) && host.id != self.own;
        hosts.values().find(is_owner).map(|host| host.peer)
    }

    /// Follows a request on another host from its first event.
    pub fn follow(
        &self,
        address: net::SocketAddr,
        request: id::RequestId,
    ) -> channel::Receiver<event::Followed> {
        self.client.follow(address, request, 0)
    }
}

/// Serves the streams of this host's requests to peers.
pub struct Streams(pub sync::Arc<session::Sessions>);

impl event::Source for Streams {
    fn follow(
        &self,
        request: id::RequestId,
        after: u64,
    ) -> Option<channel::Receiver<event::StreamEvent>> {
        let session = self.0.get(request)?;
        let (sender, receiver) = channel::unbounded();
        let listener = move |event: &session::Event| {
            let session::Event { number, kind, data } = event;
            let (number, kind) = (*number, kind.name().to_owned());
            sender.send(event::StreamEvent { number, kind, data: data.to_string() }).is_ok()
        };
        session.add_listener(after, Box::new(listener));
        Some(receiver)
    }
}
