//! What a host publishes about itself to all others.

use std::net;

use crate::edge::crash;
use crate::edge::crash::parts;
use crate::edge::duty;
use crate::id;

/// Short form of an [`id::Incarnation`], half as long. It tells apart processes that run at the
/// same time.
pub type ShortId = u32;

/// What a host publishes about itself. Hosts forward the newest statement of each host, which
/// replaces older ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Address of the host.
    pub host: net::SocketAddr,
    /// Process that published the statement.
    pub process: id::Incarnation,
    /// Orders the processes of the host: its start in milliseconds of its own clock, or more if the
    /// clock of an earlier process was ahead.
    pub epoch: u64,
    /// Orders the statements of the process.
    pub version: u64,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Whether the host does not reach the store.
    pub without_store: bool,
    /// Whether the host does not reach endpoints that others reach.
    pub without_links: bool,
    /// Share of a core that the host may use, in thousandths.
    pub cpu: u32,
    /// Neighbours that the host hears.
    pub hears: Vec<ShortId>,
    /// Endpoints that crashed on its calls, by request.
    pub crashes: Vec<crash::Report>,
    /// Endpoints that crashed on its calls, by part of a prompt, and parts that it served.
    pub parts: Vec<parts::Report>,
    /// Fencing token of the duties that the host holds; 0 if it holds none.
    pub duty: duty::Token,
}

/// The state of a host that it publishes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Whether the host does not reach the store.
    pub without_store: bool,
    /// Whether the host does not reach endpoints that others reach.
    pub without_links: bool,
    /// Endpoints that crashed on its calls, by request.
    pub crashes: Vec<crash::Report>,
    /// Endpoints that crashed on its calls, by part of a prompt, and parts that it served.
    pub parts: Vec<parts::Report>,
    /// Fencing token of the duties that the host holds; 0 if it holds none.
    pub duty: duty::Token,
}

impl Statement {
    /// Replaces the state. Returns whether it has changed.
    pub fn set_state(&mut self, state: State) -> bool {
        let State { leaving, without_store, without_links, crashes, parts, duty } = state;
        let next = Statement {
            leaving,
            without_store,
            without_links,
            crashes,
            parts,
            duty,
            hears: self.hears.clone(),
            ..*self
        };
        let has_changed = next != *self;
        *self = next;
        has_changed
    }

    /// Creates the first statement of a process.
    pub fn first(host: net::SocketAddr, process: id::Incarnation, epoch: u64, cpu: u32) -> Self {
        Statement {
            host,
            process,
            epoch,
            version: 1,
            leaving: false,
            without_store: false,
            without_links: false,
            cpu,
            hears: Vec::new(),
            crashes: Vec::new(),
            parts: Vec::new(),
            duty: 0,
        }
    }

    /// Orders the statements of a host; the greatest one is the newest.
    pub fn order(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }

    /// A digest that identifies the statement, the same on all hosts.
    pub fn digest(&self) -> u64 {
        let seed = self.process ^ self.version.rotate_left(32) ^ self.epoch;
        xxhash_rust::xxh3::xxh3_64_with_seed(self.host.to_string().as_bytes(), seed)
    }
}

/// Computes the short form of the number of a process.
pub fn short_id(process: id::Incarnation) -> ShortId {
    (process ^ (process >> 32)) as ShortId
}
