//! Stand-in for a plain JSON service, with calls that must not be repeated and a retriever.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::call;
use crate::engine;
use crate::engine::runner;
use crate::server;

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
const DEFAULT_DOCUMENTS: usize = 4;

/// Options of a plain service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Seed of the random generator.
    pub seed: u64,
    /// Version that the service runs at its start.
    pub version: String,
    /// Maximum number of concurrent calls when the service is cold, as after a start.
    pub cold: u32,
    /// Maximum number of concurrent calls when it is warm.
    pub full: u32,
    /// Number of finished calls after which it is warm; until then its capacity grows linearly.
    pub warm_calls: u64,
    /// What it does with calls over its capacity until it is warm.
    pub overload: engine::Overload,
    /// Time that a call takes.
    pub call_time: time::Duration,
    /// Maximum age of a load report.
    pub lag: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        let engine::Options { listen, seed, version, cold, full, warm_calls, overload, .. } =
            engine::Options::default();
        let engine::Options { call_time, lag, .. } = engine::Options::default();
        Options { listen, seed, version, cold, full, warm_calls, overload, call_time, lag }
    }
}

impl From<Options> for engine::Options {
    fn from(options: Options) -> Self {
        let Options { listen, seed, version, cold, full, warm_calls, overload, call_time, lag } =
            options;
        engine::Options {
            listen,
            seed,
            version,
            cold,
            full,
            warm_calls,
            overload,
            call_time,
            lag,
            ..Default::default()
        }
    }
}

/// A running plain service.
pub type Running = server::Running<Plain>;

/// Starts a plain service.
///
/// Fails if the address can't be bound or a thread can't be started.
pub fn start(options: Options) -> Result<Running, server::Error> {
    let (listen, seed) = (options.listen, options.seed);
    server::start("plain", listen, seed, |shared| Plain {
        runner: runner::Runner::new(options.into(), shared),
        runs: sync::Arc::default(),
    })
}

impl Running {
    /// Counts of runs since the start; crashes don't reset them.
    pub fn runs(&self) -> Runs {
        self.handler.runs.lock().clone()
    }

    /// Counters since the start; crashes don't reset them.
    pub fn stats(&self) -> engine::Stats {
        self.handler.runner.scheduler.stats()
    }

    /// Makes it cold without a restart, which clients notice only by its reduced capacity.
    pub fn make_cold(&self) {
        self.handler.runner.scheduler.make_cold();
    }
}

/// Counts of the runs of calls that must not be repeated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// All runs.
    pub total: u64,
    /// Runs by `Idempotency-Key`.
    pub keys: collections::BTreeMap<String, u64>,
    /// Runs by attempt id.
    pub attempts: collections::BTreeMap<String, u64>,
}

impl Runs {
    /// Keys that ran more than once.
    pub fn repeated_keys(&self) -> Vec<String> {
        let repeated = self.keys.iter().filter(|(_, count)| **count > 1);
        repeated.map(|(key, _)| key.clone()).collect()
    }
}

/// Answer to a call that must not be repeated, and to a call to `/v1/status`.
#[derive(Serialize)]
struct Receipt {
    id: String,
    accepted: bool,
    /// Hash of the body of the call, so that a caller can tell which call the answer is for.
    digest: String,
}

#[derive(Deserialize)]
struct Query {
    query: String,
    top_n: Option<usize>,
}

#[derive(Serialize)]
struct RetrieveAnswer {
    id: String,
    documents: Vec<String>,
}

/// Handler of a plain service.
pub struct Plain {
    runner: runner::Runner,
    runs: sync::Arc<Mutex<Runs>>,
}

/// The first `count` documents that the retriever finds for a query.
pub fn documents(query: &str, count: usize) -> Vec<String> {
    let document = |index| {
        let hash = xxh3::xxh3_64_with_seed(query.as_bytes(), index);
        format!("document {hash:016x} on {query}")
    };
    (0..count as u64).map(document).collect()
}

/// Value of `digest` in the answer to a call with this body.
pub fn digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3::xxh3_64(body))
}

impl server::Handler for Plain {
    fn handle(&self, call: call::Call) {
        server::log_unsent(self.answer(call));
    }

    fn on_crash(&self) {
        self.runner.scheduler.on_crash();
    }
}

impl Plain {
    fn answer(&self, call: call::Call) -> io::Result<()> {
        match (&call.method, call.path.as_str()) {
            (tiny_http::Method::Post, "/v1/bids" | "/v1/releases") => self.run_counted(call),
            (tiny_http::Method::Post, "/v1/status") => self.status(call),
            (tiny_http::Method::Post, "/v1/retrieve") => self.retrieve(call),
            (tiny_http::Method::Get, "/runs") => call.reply().json(200, &*self.runs.lock()),
            (tiny_http::Method::Get, "/stats" | "/health") => {
                call.reply().json(200, &self.runner.scheduler.stats())
            }
            (tiny_http::Method::Get, "/metrics") => self.runner.metrics(call),
            (tiny_http::Method::Post, "/cold") => {
                self.runner.scheduler.make_cold();
                call.reply().json(200, &self.runner.scheduler.stats())
            }
            _ => call.reply().error(404, "no such path"),
        }
    }

    /// Runs a call that must not be repeated. The run is counted at its start, even if it does not
    /// end or its answer is lost.
    fn run_counted(&self, call: call::Call) -> io::Result<()> {
        let key = call.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        let (attempt, digest) = (call.attempt(), digest(&call.body));
        let runs = self.runs.clone();
        let count = move || {
            let mut runs = runs.lock();
            runs.total += 1;
            key.into_iter().for_each(|key| *runs.keys.entry(key).or_default() += 1);
            *runs.attempts.entry(attempt).or_default() += 1;
        };
        let answer = |id, _| Ok(serde_json::to_vec(&Receipt { id, accepted: true, digest })?);
        let call_time = self.runner.scheduler.options.call_time;
        self.runner.compute_with_hook(call, call_time, count, Box::new(answer))
    }

    fn status(&self, call: call::Call) -> io::Result<()> {
        let digest = digest(&call.body);
        let answer = |id, _| Ok(serde_json::to_vec(&Receipt { id, accepted: false, digest })?);
        self.runner.compute(call, self.runner.scheduler.options.call_time, Box::new(answer))
    }

    fn retrieve(&self, call: call::Call) -> io::Result<()> {
        let Query { query, top_n } = match call.json() {
            Ok(query) => query,
            Err(error) => return call.reply().error(400, &error.to_string()),
        };
        let count = top_n.unwrap_or(DEFAULT_DOCUMENTS).min(1000);
        let answer = move |id, _| {
            Ok(serde_json::to_vec(&RetrieveAnswer { id, documents: documents(&query, count) })?)
        };
        self.runner.compute(call, self.runner.scheduler.options.call_time, Box::new(answer))
    }
}
