//! Load generator: streamed requests at a constant rate, compared with direct calls to the engine.

use std::fmt;
use std::thread;
use std::time;

use crossbeam::channel;
use sequoiacrank_standin::engine;
use serde::Serialize;

use crate::caller;
use crate::usage;

/// Stack size of a thread that makes one call.
const STACK_BYTES: usize = 192 * 1024;
/// Number of requests to hosts per direct call to the engine.
const DIRECT_INTERVAL: u32 = 5;
/// Target for the median of the time that hosts add to the first token.
const MEDIAN_TARGET: time::Duration = time::Duration::from_millis(1);
/// Target for the 99th percentile of the time that hosts add to the first token.
const TAIL_TARGET: time::Duration = time::Duration::from_millis(5);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URLs of hosts, used in turn.
    pub hosts: Vec<String>,
    /// Base URL of an engine that serves the pipeline's last stage, for direct calls.
    pub engine: Option<String>,
    /// Process id of the host, to read its memory and CPU time.
    pub pid: Option<u32>,
    /// Bearer key.
    pub key: String,
    /// Name of a pipeline with a single generating stage.
    pub pipeline: String,
    /// New requests per second.
    pub rate: f64,
    /// Number of tokens in each answer.
    pub tokens: u32,
    /// How long new requests are sent.
    pub duration: time::Duration,
}

/// Measured values.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Requests sent to hosts.
    pub requests: u64,
    /// Complete answers with the expected text.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Requests that did not run because the host was leaving.
    #[serde(rename = "away")]
    pub refused: u64,
    /// Descriptions of the first refusals and faults.
    pub faults: Vec<String>,
    /// Tokens received from hosts per second over the whole run; every event counts as one token.
    pub token_rate: f64,
    /// Maximum number of concurrently open streams.
    pub streams: usize,
    /// Time to the first token through hosts, in microseconds.
    pub first: Quantiles,
    /// Time to the first token of direct calls, in microseconds.
    pub direct: Quantiles,
    /// Time that hosts add to the first token: `first` less `direct`, in microseconds.
    pub added: Quantiles,
    /// CPU usage of the host, in cores.
    pub cores: Option<f64>,
    /// Maximum resident memory of the host, in MiB.
    pub memory: Option<f64>,
    /// Maximum number of threads of the host.
    pub threads: Option<u64>,
}

/// Quantiles of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// 50th percentile.
    pub median: i64,
    /// 99th percentile.
    pub tail: i64,
}

impl Outcome {
    /// Whether every answer was complete, except for requests that a leaving host refused.
    pub fn is_complete(&self) -> bool {
        self.complete > 0 && self.complete + self.refused == self.requests
    }
}

/// A finished call.
struct FinishedCall {
    direct: bool,
    expected: String,
    answer: caller::Answer,
}

/// Sends the load and waits for all answers.
pub fn run(options: &Options) -> Result<Outcome, hdrhistogram::CreationError> {
    let (sender, receiver) = channel::unbounded();
    let before = options.pid.and_then(usage::read);
    let start = time::Instant::now();
    let mut tally = Tally::new()?;
    let count = (options.rate * options.duration.as_secs_f64()) as u32;
    for number in 0..count {
        let due = time::Duration::from_secs_f64(f64::from(number) / options.rate);
        while let Some(wait) = due.checked_sub(start.elapsed()) {
            match receiver.recv_timeout(wait) {
                Ok(call) => tally.record(call),
                Err(_) => break,
            }
        }
        tally.call_started();
        spawn(options, number, false, &sender);
        if number % DIRECT_INTERVAL == 0 && options.engine.is_some() {
            tally.call_started();
            spawn(options, number, true, &sender);
        }
        if number % DIRECT_INTERVAL == 0 {
            tally.sample_usage(options.pid);
        }
    }
    while tally.in_flight > 0 {
        match receiver.recv() {
            Ok(call) => tally.record(call),
            Err(_) => break,
        }
    }
    Ok(tally.outcome(start.elapsed(), before, options.pid.and_then(usage::read)))
}

fn spawn(options: &Options, number: u32, direct: bool, sender: &channel::Sender<FinishedCall>) {
    let sender = sender.clone();
    let input = format!("lot {number} of the season, direct: {direct}");
    let expected = engine::expected_text(&input, options.tokens);
    let host = options.hosts[number as usize % options.hosts.len()].clone();
    let request = caller::Request {
        host,
        key: options.key.clone(),
        pipeline: options.pipeline.clone(),
        input,
        tokens: options.tokens,
        idempotency_key: None,
        stream: true,
    };
    let engine = options.engine.clone().filter(|_| direct);
    let failed = sender.clone();
    let work = move || {
        let answer = match &engine {
            Some(engine) => caller::call_engine(engine, &request.input, request.tokens),
            None => caller::call(&request),
        };
        // Sending fails only if the run has ended.
        let _ = sender.send(FinishedCall { direct, expected, answer });
    };
    if let Err(err) = thread::Builder::new().stack_size(STACK_BYTES).spawn(work) {
        let answer = caller::Answer { fault: Some(err.to_string()), ..Default::default() };
        // Sending fails only if the run has ended.
        let _ = failed.send(FinishedCall { direct, expected: String::new(), answer });
    }
}

/// Results of the calls so far. Latencies are times to the first token, in microseconds.
struct Tally {
    in_flight: usize,
    tokens: u64,
    host_latencies: hdrhistogram::Histogram<u64>,
    direct_latencies: hdrhistogram::Histogram<u64>,
    resident_bytes: u64,
    threads: u64,
    outcome: Outcome,
}

/// Maximum number of fault descriptions.
const MAX_FAULTS: usize = 10;
/// Significant digits of histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Upper bound of histograms, in microseconds; longer times are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;

impl Tally {
    fn new() -> Result<Tally, hdrhistogram::CreationError> {
        Ok(Tally {
            in_flight: 0,
            tokens: 0,
            host_latencies: hdrhistogram::Histogram::new_with_bounds(
                1,
                MAX_LATENCY_US,
                HISTOGRAM_DIGITS,
            )?,
            direct_latencies: hdrhistogram::Histogram::new_with_bounds(
                1,
                MAX_LATENCY_US,
                HISTOGRAM_DIGITS,
            )?,
            resident_bytes: 0,
            threads: 0,
            outcome: Outcome::default(),
        })
    }

    fn call_started(&mut self) {
        self.in_flight += 1;
        self.outcome.streams = self.outcome.streams.max(self.in_flight);
    }

    fn sample_usage(&mut self, pid: Option<u32>) {
        if let Some(usage) = pid.and_then(usage::read) {
            self.resident_bytes = self.resident_bytes.max(usage.resident_bytes);
            self.threads = self.threads.max(usage.threads);
        }
    }

    fn record(&mut self, call: FinishedCall) {
        self.in_flight -= 1;
        let complete = call.answer.is_complete(&call.expected);
        let leaving = call.answer.is_host_leaving();
        let first = call.answer.first_text.map(|first| first.as_micros() as u64);
        match call.direct {
            true => {
                first.into_iter().for_each(|first| self.direct_latencies.saturating_record(first))
            }
            false => {
                first.into_iter().for_each(|first| self.host_latencies.saturating_record(first));
                self.tokens += call.answer.events;
                self.outcome.requests += 1;
                self.outcome.complete += u64::from(complete);
                self.outcome.refused += u64::from(leaving);
            }
        }
        if !complete && !leaving && self.outcome.faults.len() < MAX_FAULTS {
            let answer = call.answer;
            let fault = answer.fault.unwrap_or_else(|| "unexpected answer".into());
            let text: String = answer.text.chars().take(200).collect();
            self.outcome.faults.push(format!("{} {fault}: {text}", answer.status));
        }
    }

    fn outcome(
        mut self,
        duration: time::Duration,
        before: Option<usage::Usage>,
        after: Option<usage::Usage>,
    ) -> Outcome {
        let (first, direct) = (quantiles(&self.host_latencies), quantiles(&self.direct_latencies));
        self.outcome.token_rate = self.tokens as f64 / duration.as_secs_f64();
        self.outcome.added =
            Quantiles { median: first.median - direct.median, tail: first.tail - direct.tail };
        (self.outcome.first, self.outcome.direct) = (first, direct);
        if let (Some(before), Some(after)) = (before, after) {
            let cpu_time = after.cpu_time.saturating_sub(before.cpu_time);
            self.outcome.cores = Some(cpu_time.as_secs_f64() / duration.as_secs_f64());
            self.outcome.memory = Some(self.resident_bytes as f64 / f64::from(1 << 20));
            self.outcome.threads = Some(self.threads);
        }
        self.outcome
    }
}

fn quantiles(values: &hdrhistogram::Histogram<u64>) -> Quantiles {
    let at = |share: f64| values.value_at_quantile(share) as i64;
    Quantiles { median: at(0.5), tail: at(0.99) }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { requests, complete, first, direct, added, .. } = self;
        writeln!(f, "complete answers              {complete} of {requests}")?;
        writeln!(f, "refused by a leaving host     {}", self.refused)?;
        writeln!(f, "tokens per second             {:.0}", self.token_rate)?;
        writeln!(f, "peak number of streams        {}", self.streams)?;
        writeln!(
            f,
            "first token through hosts     median {} us, 99th {} us",
            first.median, first.tail
        )?;
        writeln!(
            f,
            "first token, direct calls     median {} us, 99th {} us",
            direct.median, direct.tail
        )?;
        writeln!(
            f,
            "added by hosts                median {} us (target {}), 99th {} us (target {})",
            added.median,
            MEDIAN_TARGET.as_micros(),
            added.tail,
            TAIL_TARGET.as_micros()
        )?;
        if let (Some(cores), Some(memory), Some(threads)) = (self.cores, self.memory, self.threads)
        {
            writeln!(
                f,
                "host                          {cores:.2} cores, {memory:.0} MiB, {threads} threads"
            )?;
        }
        self.faults.iter().try_for_each(|fault| writeln!(f, "fault: {fault}"))
    }
}
