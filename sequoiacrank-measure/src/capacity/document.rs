//! Generates declarations of any size.

use std::fmt::Write as _;
use std::sync;

use sequoiacrank_config::declare;
use sequoiacrank_kernel::plan;

/// Number of stages of a pipeline.
pub const STAGES: usize = 4;
/// Service of each stage and its kind.
pub const SERVICES: [(&str, &str); STAGES] =
    [("encode", "embed"), ("find", "retrieve"), ("rank", "rerank"), ("generate", "generate")];
/// Maximum number of workspaces of a route.
const MAX_ROUTE_WORKSPACES: usize = 240;

/// Numbers of declared objects.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Number of pipelines, each with a route.
    pub pipelines: usize,
}

impl Default for Size {
    fn default() -> Self {
        Size { endpoints: 150, workspaces: 150, pipelines: 10 }
    }
}

/// Generates declarations as text.
pub fn text(size: &Size) -> String {
    let mut text = String::from("{\"zones\": {");
    for zone in 0..12 {
        let _ = writeln!(text, "\"zone-{zone}\": {{\"region\": \"region-{}\"}},", zone % 5);
    }
    text += "}, \"workspaces\": {";
    for workspace in 0..size.workspaces {
        let _ = writeln!(
            text,
            "\"workspace-{workspace}\": {{\"weight\": 1, \"keys\": [\"sha256:{workspace:064x}\"]}},"
        );
    }
    text += "}, \"services\": {";
    for (service, kind) in SERVICES {
        let _ = writeln!(
            text,
            "\"{service}\": {{\"kind\": \"{kind}\", \"version\": \"v1\", \"cold\": 4, \"full\": 64}},"
        );
    }
    text += "}, \"endpoints\": {";
    for number in 0..size.endpoints {
        let (service, zone) = (SERVICES[number % STAGES].0, number % 12);
        let (high, low) = (number / 200, number % 200 + 1);
        let _ = writeln!(
            text,
            "\"endpoint-{number}\": {{\"service\": \"{service}\", \"version\": \"v1\", \
             \"zone\": \"zone-{zone}\", \"address\": \"10.0.{high}.{low}:9000\"}},"
        );
    }
    text += "}, \"pipelines\": {";
    for pipeline in 0..size.pipelines {
        let _ = writeln!(text, "\"pipeline-{pipeline}\": {{\"deadline\": \"12s\", \"stages\": [");
        for (service, _) in SERVICES {
            let _ = writeln!(text, "{{\"id\": \"{service}\", \"service\": \"{service}\"}},");
        }
        text += "]},";
    }
    text += "}, \"routes\": {";
    for route in 0..size.pipelines {
        let workspaces = (0..MAX_ROUTE_WORKSPACES.min(size.workspaces)).map(|index| {
            format!("\"workspace-{}\"", (route * MAX_ROUTE_WORKSPACES + index) % size.workspaces)
        });
        let workspaces = workspaces.collect::<std::collections::BTreeSet<_>>();
        let workspaces = workspaces.into_iter().collect::<Vec<_>>().join(", ");
        let _ = writeln!(
            text,
            "\"route-{route}\": {{\"pipeline\": \"pipeline-{route}\", \"workspaces\": [{workspaces}]}},"
        );
    }
    text + "}}"
}

/// Generates declarations and parses them.
pub fn plan(size: &Size) -> sync::Arc<plan::Plan> {
    match declare::parse("-", &text(size)) {
        Ok(plan) => sync::Arc::new(plan::Plan { revision: 1, ..plan }),
        Err(problems) => panic!("generated declarations are invalid: {:?}", problems.first()),
    }
}
