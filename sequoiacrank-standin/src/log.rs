//! Stand-in for the platform's append-only log: streams of numbered records with a rate limit and
//! a retention time.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use parking_lot::Mutex;
use serde::Serialize;

use crate::call;
use crate::fault;
use crate::server;

mod bucket;

const MAX_PAGE_RECORDS: usize = 1000;

/// Options of a log.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Seed of the random generator.
    pub seed: u64,
    /// Rate limit over all streams, in appends per second.
    pub rate: f64,
    /// Capacity of the token bucket, in appends.
    pub burst: f64,
    /// Time for which records are kept.
    pub retention: time::Duration,
    /// Time that a call takes.
    pub call_time: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            rate: 400.0,
            burst: 400.0,
            retention: time::Duration::from_secs(24 * 3600),
            call_time: time::Duration::from_millis(1),
        }
    }
}

/// A running log.
pub type Running = server::Running<Log>;

/// Starts a log.
///
/// Fails if the address can't be bound or a thread can't be started.
pub fn start(options: Options) -> Result<Running, server::Error> {
    let (listen, seed) = (options.listen, options.seed);
    server::start("log", listen, seed, |shared| Log::new(options, shared))
}

impl Running {
    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.handler.stats.lock().clone()
    }
}

/// Counters of a log since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Appends that took effect.
    pub appends: u64,
    /// Reads that were served.
    pub reads: u64,
    /// Appends that the rate limit refused.
    pub limited: u64,
}

/// One stored record.
#[derive(Clone, Debug, Serialize)]
struct Record {
    offset: u64,
    at_ms: u64,
    body: serde_json::Value,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the oldest record kept.
    first: u64,
    records: collections::VecDeque<Record>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct Page {
    records: Vec<Record>,
    first: u64,
    end: u64,
}

type Streams = sync::Arc<Mutex<collections::BTreeMap<String, Stream>>>;

/// Handler of a log.
pub struct Log {
    options: Options,
    shared: server::Shared,
    streams: Streams,
    bucket: Mutex<bucket::Bucket>,
    stats: sync::Arc<Mutex<Stats>>,
}

impl server::Handler for Log {
    fn handle(&self, call: call::Call) {
        let effect = self.shared.switches.next_effect(call.route(), 0);
        server::log_unsent(self.answer(call, effect));
    }
}

impl Log {
    fn new(options: Options, shared: server::Shared) -> Log {
        let bucket = Mutex::new(bucket::Bucket::new(options.rate, options.burst));
        let (streams, stats) = (Streams::default(), sync::Arc::default());
        Log { options, shared, streams, bucket, stats }
    }

    fn answer(&self, call: call::Call, effect: fault::Effect) -> io::Result<()> {
        let parts = call.path_segments();
        match (&call.method, parts.as_slice()) {
            (tiny_http::Method::Get, ["stats"]) => call.reply().json(200, &*self.stats.lock()),
            (_, ["v1", "streams", _, "records"])
                if effect.fault == Some(fault::CallFault::Fail) =>
            {
                call.reply().error(effect.status, "failed")
            }
            (tiny_http::Method::Post, ["v1", "streams", name, "records"]) => {
                let name = (*name).to_owned();
                self.append(call, effect, name)
            }
            (tiny_http::Method::Get, ["v1", "streams", name, "records"]) => {
                let name = (*name).to_owned();
                self.read(call, effect, &name)
            }
            _ => call.reply().error(404, "no such path"),
        }
    }

    fn append(&self, call: call::Call, effect: fault::Effect, name: String) -> io::Result<()> {
        let body = match call.json() {
            Ok(body) => body,
            Err(error) => return call.reply().error(400, &error.to_string()),
        };
        let rate = self.shared.switches.get().rate.unwrap_or(self.options.rate);
        if let Err(retry_after_s) = self.bucket.lock().take(time::Instant::now(), rate) {
            self.stats.lock().limited += 1;
            return call.reply().rate_limited(retry_after_s);
        }
        let mut reply = call.reply();
        reply.apply(effect);
        let (streams, retention) = (self.streams.clone(), self.options.retention);
        let stats = self.stats.clone();
        let append = move || {
            stats.lock().appends += 1;
            append_record(&streams, retention, name, body)
        };
        match effect.fault {
            Some(fault::CallFault::Late) => {
                let delay = time::Duration::from_millis(self.shared.switches.get().late_ms);
                self.shared.timer.run_after(delay, move || {
                    append();
                });
                reply.keep_open();
            }
            _ => {
                let offset = append();
                self.shared.timer.run_after(
                    self.options.call_time.mul_f64(effect.slow),
                    move || {
                        server::log_unsent(reply.json(200, &Appended { offset }));
                    },
                );
            }
        }
        Ok(())
    }

    fn read(&self, call: call::Call, effect: fault::Effect, name: &str) -> io::Result<()> {
        let from = call.query_number("from").unwrap_or(0);
        let limit = call.query_number("limit").and_then(|limit| usize::try_from(limit).ok());
        let limit = limit.unwrap_or(MAX_PAGE_RECORDS).min(MAX_PAGE_RECORDS);
        self.stats.lock().reads += 1;
        let mut page = read_page(&self.streams, self.options.retention, name, from, limit);
        if self.shared.switches.get().disorder {
            page.records.extend(page.records.first().cloned());
            page.records.reverse();
        }
        let mut reply = call.reply();
        reply.apply(effect);
        self.shared.timer.run_after(self.options.call_time.mul_f64(effect.slow), move || {
            server::log_unsent(reply.json(200, &page));
        });
        Ok(())
    }
}

/// Appends a record and returns its offset. Times never decrease within a stream.
fn append_record(
    streams: &Streams,
    retention: time::Duration,
    name: String,
    body: serde_json::Value,
) -> u64 {
    let mut streams = streams.lock();
    let stream = streams.entry(name).or_default();
    let offset = stream.first + stream.records.len() as u64;
    let newest = stream.records.back().map_or(0, |record| record.at_ms);
    let at_ms = now_ms().max(newest);
    stream.records.push_back(Record { offset, at_ms, body });
    prune(stream, retention);
    offset
}

/// Up to `limit` records from offset `from` on.
fn read_page(
    streams: &Streams,
    retention: time::Duration,
    name: &str,
    from: u64,
    limit: usize,
) -> Page {
    let mut streams = streams.lock();
    let Some(stream) = streams.get_mut(name) else {
        return Page { records: Vec::new(), first: 0, end: 0 };
    };
    prune(stream, retention);
    let skip = usize::try_from(from.saturating_sub(stream.first)).unwrap_or(usize::MAX);
    let records = stream.records.iter().skip(skip).take(limit).cloned().collect();
    Page { records, first: stream.first, end: stream.first + stream.records.len() as u64 }
}

/// Removes records older than the retention time.
fn prune(stream: &mut Stream, retention: time::Duration) {
    let cutoff = now_ms().saturating_sub(u64::try_from(retention.as_millis()).unwrap_or(u64::MAX));
    while stream.records.front().is_some_and(|record| record.at_ms < cutoff) {
        stream.records.pop_front();
        stream.first += 1;
    }
}

fn now_ms() -> u64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
