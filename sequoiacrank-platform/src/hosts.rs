//! Client of the platform's list of hosts.

use std::net;

use quick_error::quick_error;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::traffic;
use serde::Deserialize;
use serde::Serialize;

use crate::http;

quick_error! {
    /// Why a call to the host list failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The call failed; a registration or removal may have taken effect.
        Failed(reason: String) {
            display("the call to the host list failed: {reason}")
        }
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Error::Failed(error.to_string())
    }
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the host.
    pub id: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Region of the host.
    pub region: id::RegionId,
    /// Address that callers connect to.
    pub address: net::SocketAddr,
    /// Address that other hosts connect to.
    pub peer: net::SocketAddr,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

impl From<&Entry> for traffic::Host {
    fn from(entry: &Entry) -> Self {
        traffic::Host { id: entry.id.clone(), zone: entry.zone.clone(), leaving: entry.leaving }
    }
}

#[derive(Serialize, Deserialize)]
struct WireHost {
    #[serde(skip_serializing_if = "String::is_empty")]
    id: id::HostId,
    zone: id::ZoneId,
    region: id::RegionId,
    address: net::SocketAddr,
    peer: net::SocketAddr,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
struct WireHosts {
    hosts: Vec<WireHost>,
}

impl From<WireHost> for Entry {
    fn from(host: WireHost) -> Self {
        let WireHost { id, zone, region, address, peer, leaving } = host;
        Entry { id, zone, region, address, peer, leaving }
    }
}

impl From<Entry> for WireHost {
    fn from(entry: Entry) -> Self {
        let Entry { id, zone, region, address, peer, leaving } = entry;
        WireHost { id, zone, region, address, peer, leaving }
    }
}

/// A client of the host list.
#[derive(Clone, Debug)]
pub struct Client {
    options: http::Options,
}

impl Client {
    /// Creates a client; each call opens its own connection.
    pub fn new(options: http::Options) -> Client {
        Client { options }
    }

    /// Returns the live hosts, sorted by name. The list lags behind registrations.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`].
    pub fn list(&self) -> Result<Vec<Entry>, Error> {
        let request = attohttpc::get(http::url(&self.options, &["v1", "hosts"]));
        let hosts: WireHosts = http::call(&self.options, request)?;
        let mut entries: Vec<Entry> = hosts.hosts.into_iter().map(Into::into).collect();
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(entries)
    }

    /// Registers a host or renews its registration, which expires after a time set by the platform.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`].
    pub fn register(&self, host: &Entry) -> Result<(), Error> {
        let request = attohttpc::put(self.url(&host.id)).json(&WireHost::from(host.clone()));
        let request = request.map_err(|error| Error::Failed(error.to_string()))?;
        http::call::<_, serde::de::IgnoredAny>(&self.options, request)?;
        Ok(())
    }

    /// Removes a host from the list.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`].
    pub fn remove(&self, id: &str) -> Result<(), Error> {
        http::call::<_, serde::de::IgnoredAny>(&self.options, attohttpc::delete(self.url(id)))?;
        Ok(())
    }

    fn url(&self, id: &str) -> String {
        http::url(&self.options, &["v1", "hosts", id])
    }
}
