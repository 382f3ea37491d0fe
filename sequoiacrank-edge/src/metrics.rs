//! Metrics of a host in the Prometheus format.

use prometheus::Encoder as _;
use sequoiacrank_kernel::edge::duty;

use crate::memory;

/// Upper bounds of the latency histogram's buckets in seconds. They lie around the target latencies
/// of plain requests and of the first events of streams.
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.5, 5.0, 15.0];

/// Metrics of a host.
pub struct Metrics {
    registry: prometheus::Registry,
    /// Requests by route and result code; code 0 is an answer of an endpoint.
    pub requests: prometheus::IntCounterVec,
    /// Time from the arrival of a request to the first byte of its answer, by route.
    pub latency: prometheus::HistogramVec,
    /// Calls to endpoints, by how they ended.
    pub calls: prometheus::IntCounterVec,
    /// Repeats of requests, by service and whether the budget granted them.
    pub repeats: prometheus::IntCounterVec,
    /// Requests whose callers got no complete answer, by why.
    pub unanswered: prometheus::IntCounterVec,
    /// Changes in what endpoints report about themselves, by kind.
    pub notices: prometheus::IntCounterVec,
    /// Requests to endpoints with a limit, by whether the limit allowed them.
    pub grants: prometheus::IntCounterVec,
    /// Number of endpoints that this host has ordered as the holder of the duties, by service and
    /// availability zone.
    pub desired: prometheus::IntGaugeVec,
    /// Number of calls to stage endpoints.
    pub stage_calls: prometheus::IntCounter,
    /// Number of pieces in the calls to stage endpoints.
    pub stage_pieces: prometheus::IntCounter,
    /// Number of calls to the store.
    pub store_calls: prometheus::IntCounter,
    /// Number of the store's records sent to other hosts, counted once for each receiver.
    pub records_told: prometheus::IntCounter,
    /// Number of connections to endpoints that were relayed for other hosts.
    pub relayed: prometheus::IntCounter,
    /// Calls to the platform's API, by call and outcome.
    pub duty_calls: prometheus::IntCounterVec,
    duty_held: prometheus::IntGauge,
    duty_token: prometheus::IntGauge,
    /// Usage windows by what became of them.
    pub usage_windows: prometheus::IntCounterVec,
    /// Requests that were counted too late for their usage window.
    pub usage_dropped: prometheus::IntCounter,
    dropped: prometheus::IntGauge,
    opened: prometheus::IntGauge,
    held: prometheus::IntGauge,
    budget: prometheus::IntGauge,
    refused: prometheus::IntCounterVec,
    connections: prometheus::IntGaugeVec,
}

/// Adds a metric to a registry. It panics if the name is invalid or taken, as all names are
/// literals in this module.
fn register<M>(registry: &prometheus::Registry, metric: prometheus::Result<M>) -> M
where
    M: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("a well-formed metric");
    registry.register(Box::new(metric.clone())).expect("a metric with a unique name");
    metric
}

impl Metrics {
    /// Metrics that are all zero.
    pub fn new() -> Self {
        let registry = prometheus::Registry::new();
        let opts =
            |name: &str, help: &str| prometheus::Opts::new(name, help).namespace("sequoiacrank");
        let counter = |name: &str, help: &str| prometheus::IntCounter::with_opts(opts(name, help));
        let gauge = |name: &str, help: &str| prometheus::IntGauge::with_opts(opts(name, help));
        let counters = |name: &str, help: &str, labels: &[&str]| {
            prometheus::IntCounterVec::new(opts(name, help), labels)
        };
        let latency = prometheus::HistogramOpts {
            common_opts: opts("first_byte_seconds", "Time to the first byte of an answer"),
            buckets: LATENCY_BUCKETS.to_vec(),
        };
        Metrics {
            requests: register(
                &registry,
                counters("requests_total", "Requests by route and result code", &["route", "code"]),
            ),
            latency: register(&registry, prometheus::HistogramVec::new(latency, &["route"])),
            calls: register(&registry, counters("calls_total", "Calls to endpoints", &["end"])),
            repeats: register(
                &registry,
                counters("repeats_total", "Requests sent once more", &["service", "outcome"]),
            ),
            unanswered: register(
                &registry,
                counters("unanswered_total", "Requests without a complete answer", &["why"]),
            ),
            notices: register(
                &registry,
                counters("notices_total", "What endpoints newly said of themselves", &["kind"]),
            ),
            grants: register(
                &registry,
                counters("grants_total", "Requests for endpoints with a limit", &["outcome"]),
            ),
            desired: register(
                &registry,
                prometheus::IntGaugeVec::new(
                    opts("scaling_desired", "Endpoints ordered by this host, the holder"),
                    &["service", "zone"],
                ),
            ),
            stage_calls: register(
                &registry,
                counter("stage_calls_total", "Calls to stage endpoints"),
            ),
            stage_pieces: register(
                &registry,
                counter("stage_pieces_total", "Pieces in calls to stage endpoints"),
            ),
            store_calls: register(&registry, counter("store_calls_total", "Calls to the store")),
            relayed: register(
                &registry,
                counter("relayed_total", "Connections to endpoints relayed for other hosts"),
            ),
            records_told: register(
                &registry,
                counter("records_told_total", "Records of the store told to other hosts"),
            ),
            duty_calls: register(
                &registry,
                counters("duty_calls_total", "Calls to the platform's API", &["call", "outcome"]),
            ),
            duty_held: register(&registry, gauge("duty_held", "Whether this host may act for all")),
            duty_token: register(&registry, gauge("duty_token", "Fencing token, 0 without one")),
            usage_windows: register(
                &registry,
                counters("usage_windows_total", "Usage windows of all hosts", &["outcome"]),
            ),
            usage_dropped: register(
                &registry,
                counter("usage_dropped_total", "Requests too late for their usage window"),
            ),
            dropped: register(
                &registry,
                gauge("log_lines_dropped", "Log lines left out since the start"),
            ),
            opened: register(
                &registry,
                gauge("connections_opened", "Connections opened since the start"),
            ),
            held: register(&registry, gauge("memory_held_bytes", "Memory that connections hold")),
            budget: register(
                &registry,
                gauge("memory_budget_bytes", "Memory that connections may hold"),
            ),
            refused: register(
                &registry,
                counters("memory_refused_total", "Given up for lack of room", &["cause"]),
            ),
            connections: register(
                &registry,
                prometheus::IntGaugeVec::new(
                    opts("connections_open", "Open connections by listener"),
                    &["listener"],
                ),
            ),
            registry,
        }
    }

    /// All metrics in the text format. `opened` is the number of connections opened since the
    /// start, `token` the fencing token with which this host may act now, or 0.
    ///
    /// # Errors
    ///
    /// When a metric can't be encoded.
    pub fn text(
        &self,
        opened: u64,
        token: duty::Token,
        memory: &memory::Memory,
    ) -> prometheus::Result<Vec<u8>> {
        self.dropped.set(i64::try_from(crate::logs::dropped()).unwrap_or(i64::MAX));
        self.opened.set(i64::try_from(opened).unwrap_or(i64::MAX));
        self.duty_held.set(i64::from(token > 0));
        self.duty_token.set(i64::try_from(token).unwrap_or(i64::MAX));
        self.update_memory(memory);
        let mut text = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    fn update_memory(&self, memory: &memory::Memory) {
        let gauge = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held.set(gauge(memory.held()));
        self.budget.set(gauge(memory.budget()));
        for (cause, count) in memory.pressure.counts() {
            let counter = self.refused.with_label_values(&[cause.name()]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        let listeners = [
            ("callers", &memory.callers),
            ("readiness", &memory.readiness),
            ("metrics", &memory.metrics),
            ("hosts", &memory.hosts),
        ];
        for (name, listener) in listeners {
            self.connections.with_label_values(&[name]).set(gauge(listener.open()));
        }
    }
}
