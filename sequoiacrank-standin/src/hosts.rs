//! Stand-in for the platform's host list: hosts register for a limited time, and the list shows
//! changes with a delay.

use std::collections;
use std::io;
use std::net;
use std::time;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::call;
use crate::fault;
use crate::server;

/// Options of a host list.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Seed of the random generator.
    pub seed: u64,
    /// Time after which a registration expires unless it is renewed.
    pub ttl: time::Duration,
    /// Delay after which the list shows a change.
    pub lag: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            ttl: time::Duration::from_secs(10),
            lag: time::Duration::from_millis(500),
        }
    }
}

/// A running host list.
pub type Running = server::Running<Hosts>;

/// Starts a host list.
///
/// Fails if the address can't be bound or a thread can't be started.
pub fn start(options: Options) -> Result<Running, server::Error> {
    let (listen, seed) = (options.listen, options.seed);
    server::start("hosts", listen, seed, |shared| Hosts {
        options,
        shared,
        host_changes: Mutex::default(),
    })
}

/// What a host registers about itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    zone: String,
    region: String,
    address: net::SocketAddr,
    peer: net::SocketAddr,
    #[serde(default)]
    leaving: bool,
}

#[derive(Serialize)]
struct ListedHost {
    id: String,
    #[serde(flatten)]
    entry: Entry,
}

#[derive(Serialize)]
struct Page {
    hosts: Vec<ListedHost>,
}

/// A registration, or its removal.
struct Change {
    at: time::Instant,
    entry: Option<Entry>,
}

/// Handler of a host list.
pub struct Hosts {
    options: Options,
    shared: server::Shared,
    host_changes: Mutex<collections::BTreeMap<String, Vec<Change>>>,
}

impl server::Handler for Hosts {
    fn handle(&self, call: call::Call) {
        server::log_unsent(self.answer(call));
    }
}

impl Hosts {
    fn answer(&self, call: call::Call) -> io::Result<()> {
        let effect = self.shared.switches.next_effect(call.route(), 0);
        let parts = call.path_segments();
        match (&call.method, parts.as_slice()) {
            _ if effect.fault == Some(fault::CallFault::Fail) => {
                call.reply().error(effect.status, "failed")
            }
            (tiny_http::Method::Get, ["v1", "hosts"]) => {
                let mut reply = call.reply();
                reply.apply(effect);
                reply.json(200, &Page { hosts: self.list() })
            }
            (tiny_http::Method::Put, ["v1", "hosts", id]) => match call.json() {
                Ok(entry) => {
                    self.record(id, Some(entry));
                    let mut reply = call.reply();
                    reply.apply(effect);
                    reply.json(200, &Page { hosts: Vec::new() })
                }
                Err(error) => call.reply().error(400, &error.to_string()),
            },
            (tiny_http::Method::Delete, ["v1", "hosts", id]) => {
                self.record(id, None);
                call.reply().json(200, &Page { hosts: Vec::new() })
            }
            _ => call.reply().error(404, "no such path"),
        }
    }

    fn record(&self, id: &str, entry: Option<Entry>) {
        let at = time::Instant::now();
        let mut host_changes = self.host_changes.lock();
        let changes = host_changes.entry(id.to_owned()).or_default();
        changes.push(Change { at, entry });
        // Keeps the newest change that the list already shows, and all later ones.
        let shown = changes.iter().rposition(|change| change.at + self.lag() <= at).unwrap_or(0);
        changes.drain(..shown);
    }

    /// Hosts as they were registered `lag` ago, without expired registrations.
    fn list(&self) -> Vec<ListedHost> {
        let (now, lag) = (time::Instant::now(), self.lag());
        let (options, host_changes) = (&self.options, self.host_changes.lock());
        let shown_entry = |changes: &Vec<Change>| {
            let shown = changes.iter().rfind(|change| change.at + lag <= now)?;
            shown.entry.clone().filter(|_| now < shown.at + lag + options.ttl)
        };
        let entries = host_changes.iter().filter_map(|(id, changes)| {
            shown_entry(changes).map(|entry| ListedHost { id: id.clone(), entry })
        });
        entries.collect()
    }

    /// Delay in force: the fault switch if it is set, else the option.
    fn lag(&self) -> time::Duration {
        let set = self.shared.switches.get().lag_ms.map(time::Duration::from_millis);
        set.unwrap_or(self.options.lag)
    }
}
