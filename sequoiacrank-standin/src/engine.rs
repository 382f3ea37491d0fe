//! Stand-in for a model engine, with continuous batching, cold starts, a prefix cache, load reports
//! and orders of operators.

use std::net;
use std::time;

use crate::server;

mod api;
mod cache;
mod handler;
mod order;
pub(crate) mod runner;
pub(crate) mod scheduler;
mod stream;
mod text;

pub use scheduler::Stats;
pub use text::{embedding, expected_text, score};

/// What an engine does with calls over its capacity until it is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overload {
    /// The engine refuses them with 503.
    Refuse,
    /// The engine crashes.
    Crash,
}

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Seed of the random generator.
    pub seed: u64,
    /// Version that the engine runs at its start.
    pub version: String,
    /// Maximum number of concurrent calls when the engine is cold, as after a start.
    pub cold: u32,
    /// Maximum number of concurrent calls when it is warm.
    pub full: u32,
    /// Number of finished calls after which it is warm; until then its capacity grows linearly.
    pub warm_calls: u64,
    /// Maximum number of calls that wait for a slot when it is warm.
    pub queue: usize,
    /// What it does with calls over its capacity until it is warm.
    pub overload: Overload,
    /// Time between two tokens while a single call runs.
    pub step: time::Duration,
    /// Time that each further running call adds to `step`.
    pub slope: time::Duration,
    /// Time to process one token of a prompt that is not in the cache.
    pub prefill: time::Duration,
    /// Time that an embedding or rerank call takes.
    pub call_time: time::Duration,
    /// Time to load another version.
    pub load_time: time::Duration,
    /// Maximum age of a load report, and delay of cache events.
    pub lag: time::Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Whether it refuses orders with an outdated fencing number.
    pub fenced: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            version: "v1".into(),
            cold: 8,
            full: 64,
            warm_calls: 64,
            queue: 64,
            overload: Overload::Refuse,
            step: time::Duration::from_millis(5),
            slope: time::Duration::from_micros(50),
            prefill: time::Duration::from_micros(20),
            call_time: time::Duration::from_millis(3),
            load_time: time::Duration::from_millis(500),
            lag: time::Duration::from_millis(200),
            cache_blocks: 4096,
            fenced: true,
        }
    }
}

/// A running engine.
pub type Running = server::Running<handler::Engine>;

/// Starts an engine.
///
/// Fails if the address can't be bound or a thread can't be started.
pub fn start(options: Options) -> Result<Running, server::Error> {
    let (listen, seed) = (options.listen, options.seed);
    server::start("engine", listen, seed, |shared| handler::Engine::new(options, shared))
}

impl Running {
    /// Counters since the start; crashes don't reset them.
    pub fn stats(&self) -> Stats {
        self.handler.stats()
    }

    /// Makes it cold without a restart, which clients notice only by its reduced capacity.
    pub fn make_cold(&self) {
        self.handler.make_cold();
    }
}
