//! Prometheus metrics of one host.

use std::collections;
use std::time;

use prometheus::Encoder as _;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::traffic;

use crate::runner;
use crate::session;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// Metrics of one host.
pub struct Metrics {
    registry: prometheus::Registry,
    requests: prometheus::IntCounterVec,
    refusals: prometheus::IntCounterVec,
    call_seconds: prometheus::HistogramVec,
    endpoint_seconds: prometheus::CounterVec,
    calls: prometheus::IntCounterVec,
    answer_seconds: prometheus::HistogramVec,
    gauges: collections::BTreeMap<&'static str, prometheus::IntGaugeVec>,
}

/// Gauges: name without prefix, help text, and the label that distinguishes their instances.
const GAUGES: [(&str, &str, &str); 13] = [
    ("revision", "Configuration in force", "host"),
    ("ready", "Whether new requests are taken", "host"),
    ("requests_running", "Requests that have not ended", "host"),
    ("connections", "Connections of callers", "host"),
    ("threads", "Threads of a pool", "pool"),
    ("endpoint_limit", "Calls at a time that an endpoint is believed to bear", "endpoint"),
    ("endpoint_slots", "Slots of this host in an endpoint", "endpoint"),
    ("endpoint_calls", "Calls of this host in flight on an endpoint", "endpoint"),
    ("endpoint_lent", "Slots of an endpoint lent to peers", "endpoint"),
    ("endpoint_usable", "Whether new calls may go to an endpoint", "endpoint"),
    ("queue_length", "Calls that wait for an endpoint of a service", "service"),
    ("move_share_per_mille", "Share of requests on the new version of a move", "move"),
    ("move_ended", "1 if a move is done, -1 if it was taken back, 0 before", "move"),
];

/// Adds a metric to a registry. Panics on an invalid or duplicate name, which only a change of this
/// module can introduce.
fn register<M>(registry: &prometheus::Registry, metric: prometheus::Result<M>) -> M
where
    M: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("names and labels of metrics are valid");
    registry.register(Box::new(metric.clone())).expect("names of metrics are unique");
    metric
}

impl Metrics {
    /// Metrics at zero.
    pub fn new() -> Self {
        let registry = prometheus::Registry::new();
        let opts = |name: &str, help: &str| prometheus::Opts::new(name, help);
        let histogram = |name: &str, help: &str| {
            prometheus::HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec())
        };
        let counter = |name, help, labels: &[&str]| {
            register(&registry, prometheus::IntCounterVec::new(opts(name, help), labels))
        };
        let seconds = |name, help, labels: &[&str]| {
            register(&registry, prometheus::HistogramVec::new(histogram(name, help), labels))
        };
        let endpoint_seconds =
            opts("sequoiacrank_stage_endpoint_seconds_total", "Time endpoints spent on calls");
        let gauge = |(name, help, label): &(&'static str, &str, &str)| {
            let opts = opts(&format!("sequoiacrank_{name}"), help);
            (*name, register(&registry, prometheus::IntGaugeVec::new(opts, &[*label])))
        };
        Metrics {
            requests: counter(
                "sequoiacrank_requests_total",
                "Ended requests; attained means a whole answer within the deadline",
                &["pipeline", "end"],
            ),
            refusals: counter("sequoiacrank_refusals_total", "Refusals by code", &["code"]),
            call_seconds: seconds(
                "sequoiacrank_stage_seconds",
                "Time from dispatch to the end of a call",
                &["pipeline", "stage"],
            ),
            answer_seconds: seconds(
                "sequoiacrank_answer_seconds",
                "Time from arrival to the end of a request",
                &["pipeline"],
            ),
            calls: counter(
                "sequoiacrank_calls_total",
                "Ended calls",
                &["pipeline", "stage", "end"],
            ),
            endpoint_seconds: register(
                &registry,
                prometheus::CounterVec::new(endpoint_seconds, &["pipeline", "stage"]),
            ),
            gauges: GAUGES.iter().map(gauge).collect(),
            registry,
        }
    }

    /// Counts a refusal or failure by its code.
    pub fn record_refusal(&self, code: code::Code) {
        self.refusals.with_label_values(&[&code.number().to_string()]).inc();
    }

    /// Counts a request that ended.
    pub fn record_request(&self, request: &session::Request, end: &session::End, now: id::Time) {
        let outcome = match end {
            session::End::Answer(_) if now <= request.deadline => "attained",
            session::End::Answer(_) => "late",
            session::End::Failed(problem) => {
                self.record_refusal(problem.code);
                "failed"
            }
        };
        self.requests.with_label_values(&[&request.pipeline, outcome]).inc();
        let elapsed = now.saturating_sub(request.arrived).as_secs_f64();
        self.answer_seconds.with_label_values(&[&request.pipeline]).observe(elapsed);
    }

    /// Counts a call that ended.
    pub fn record_call(
        &self,
        call: &runner::Call,
        ending: &traffic::Ending,
        elapsed: time::Duration,
    ) {
        let pipeline = &call.session.request.pipeline;
        let stage = call.stage().map_or("", |stage| stage.id.as_str());
        let end = match ending {
            traffic::Ending::Good { .. } => "good",
            traffic::Ending::Bad { .. } => "bad",
            traffic::Ending::Cancelled => "cancelled",
        };
        let labels = [pipeline.as_str(), stage];
        self.call_seconds.with_label_values(&labels).observe(elapsed.as_secs_f64());
        self.endpoint_seconds.with_label_values(&labels).inc_by(elapsed.as_secs_f64());
        self.calls.with_label_values(&[labels[0], labels[1], end]).inc();
    }

    /// Sets a gauge; does nothing if `name` is not in `GAUGES`.
    pub fn set_gauge(&self, name: &str, instance: &str, value: i64) {
        if let Some(gauge) = self.gauges.get(name) {
            gauge.with_label_values(&[instance]).set(value);
        }
    }

    /// Removes the values of all gauges, among them those of instances that no longer exist.
    pub fn reset_gauges(&self) {
        self.gauges.values().for_each(prometheus::IntGaugeVec::reset);
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => {
                log::error!(error:% = error; "encoding metrics failed");
                String::new()
            }
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
