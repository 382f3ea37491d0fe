//! Reads load reports of endpoints from the Prometheus text format.

use std::time;

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::traffic;

/// One sample of a metric, with its timestamp if the line has one.
struct Sample {
    value: f64,
    timestamp: Option<id::Time>,
}

/// The load report in a text; `None` if the number of running calls is missing.
pub fn report(text: &str, now: id::Time) -> Option<traffic::Report> {
    let running = find_sample(text, &["num_requests_running", "requests_running"])?;
    let value = |names: &[&str]| find_sample(text, names).map_or(0.0, |sample| sample.value);
    let started = value(&["process_start_time_seconds"]).clamp(0.0, f64::from(u32::MAX));
    Some(traffic::Report {
        running: running.value.max(0.0) as u32,
        waiting: value(&["num_requests_waiting", "requests_waiting"]).max(0.0) as u32,
        cache: value(&["kv_cache_usage_perc", "gpu_cache_usage_perc"]).clamp(0.0, 1.0),
        started: time::Duration::from_secs_f64(started),
        age: running
            .timestamp
            .map_or(time::Duration::ZERO, |timestamp| now.saturating_sub(timestamp)),
    })
}

/// The first sample of a metric with one of these names, after any prefix such as `vllm:`.
fn find_sample(text: &str, names: &[&str]) -> Option<Sample> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(parse_sample).find(|(name, _)| names.contains(name)).map(|(_, sample)| sample)
}

fn parse_sample(line: &str) -> Option<(&str, Sample)> {
    let name = line.split(['{', ' ']).next()?;
    let rest = match line.rfind('}') {
        Some(end) => &line[end + 1..],
        None => &line[name.len()..],
    };
    let mut fields = rest.split_ascii_whitespace();
    let value: f64 = fields.next()?.parse().ok()?;
    let timestamp =
        fields.next().and_then(|millis| millis.parse().ok()).map(time::Duration::from_millis);
    let base_name = name.rsplit(':').next().unwrap_or(name);
    value.is_finite().then_some((base_name, Sample { value, timestamp }))
}
