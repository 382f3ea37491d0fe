//! Validates decoded declarations: resolves names, checks ranges and builds the plan.

use std::time;

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::policy;

use super::raw;
use crate::read;

/// Largest weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;
/// Largest limit of concurrent calls on an endpoint.
const MAX_CALLS: u32 = 100_000;
/// Shortest deadline of a pipeline.
const MIN_DEADLINE: time::Duration = time::Duration::from_millis(10);
/// Longest deadline of a pipeline; also the longest idle timeout of a stage.
const MAX_DEADLINE: time::Duration = time::Duration::from_secs(24 * 3600);
/// Largest number of stages of a pipeline.
const MAX_STAGES: usize = 16;
/// Largest share of requests, in thousandths, that a move may send to an unproven version.
const MAX_EARLY_PER_MILLE: u32 = 500;

/// Builds a plan from `document` and adds problems to `sink`; the plan is valid if there are none.
pub fn plan(document: &raw::Document, sink: &mut read::Sink) -> plan::Plan {
    let plan = plan::Plan {
        revision: 0,
        zones: zones(&document.zones),
        workspaces: workspaces(&document.workspaces, sink),
        services: services(&document.services, sink),
        endpoints: endpoints(&document.endpoints),
        pipelines: pipelines(document, sink),
        routes: routes(&document.routes),
        moves: moves(&document.moves, sink),
        policies: policies(&document.policies, sink),
    };
    check_references(document, &plan, sink);
    plan
}

fn zones(named: &read::Named<raw::Zone>) -> map::FastMap<id::ZoneId, plan::Zone> {
    let zone = |zone: &raw::Zone| plan::Zone { region: zone.region.clone(), out: zone.out };
    named.entries.iter().map(|(name, entry)| (name.value.clone(), zone(entry))).collect()
}

fn workspaces(
    named: &read::Named<raw::Workspace>,
    sink: &mut read::Sink,
) -> map::FastMap<id::WorkspaceId, plan::Workspace> {
    let mut out = map::FastMap::default();
    let mut owners = map::FastMap::default();
    for (name, entry) in &named.entries {
        check_range(&entry.weight, 1..=MAX_WEIGHT, sink);
        for key in &entry.keys {
            if let Some(other) = owners.insert(key.0, &name.value) {
                let detail = format!("a key of workspace {other:?} is declared again");
                sink.add_at(code::Code::Duplicate, name, detail);
            }
        }
        let keys = entry.keys.iter().map(|key| key.0).collect();
        let workspace = plan::Workspace { keys, weight: entry.weight.value };
        out.insert(name.value.clone(), workspace);
    }
    out
}

fn services(
    named: &read::Named<raw::Service>,
    sink: &mut read::Sink,
) -> map::FastMap<id::ServiceId, plan::Service> {
    let mut out = map::FastMap::default();
    for (name, entry) in &named.entries {
        check_range(&entry.cold, 1..=MAX_CALLS, sink);
        check_range(&entry.full, 1..=MAX_CALLS, sink);
        if entry.full.value < entry.cold.value {
            let detail = format!(
                "found {} calls at a time when warm; expected at least the {} of a cold endpoint",
                entry.full.value, entry.cold.value
            );
            sink.add_at(code::Code::OutOfRange, &entry.full, detail);
        }
        let service = plan::Service {
            kind: entry.kind,
            version: entry.version.value.clone(),
            cold: entry.cold.value,
            full: entry.full.value,
            fenced: entry.fenced,
        };
        out.insert(name.value.clone(), service);
    }
    out
}

fn endpoints(named: &read::Named<raw::Endpoint>) -> map::FastMap<id::EndpointId, plan::Endpoint> {
    let endpoint = |entry: &raw::Endpoint| plan::Endpoint {
        service: entry.service.value.clone(),
        version: entry.version.clone(),
        zone: entry.zone.value.clone(),
        address: entry.address.value,
        leaving: entry.leaving,
    };
    named.entries.iter().map(|(name, entry)| (name.value.clone(), endpoint(entry))).collect()
}

fn pipelines(
    document: &raw::Document,
    sink: &mut read::Sink,
) -> map::FastMap<id::PipelineId, plan::Pipeline> {
    let kinds: map::FastMap<&str, plan::Kind> = document
        .services
        .entries
        .iter()
        .map(|(name, service)| (name.value.as_str(), service.kind))
        .collect();
    let mut out = map::FastMap::default();
    for (name, entry) in &document.pipelines.entries {
        check_range(&entry.deadline, MIN_DEADLINE..=MAX_DEADLINE, sink);
        let stages = &entry.stages.value;
        if stages.is_empty() || stages.len() > MAX_STAGES {
            let detail = format!("found {} stages; expected 1 to {MAX_STAGES}", stages.len());
            sink.add_at(code::Code::OutOfRange, &entry.stages, detail);
        }
        check_stage_ids(stages, sink);
        let stages = stages.iter().map(|stage| self::stage(stage, &kinds, sink)).collect();
        let deadline = entry.deadline.value;
        let pipeline = plan::Pipeline { deadline, class: entry.class, stages };
        out.insert(name.value.clone(), pipeline);
    }
    out
}

fn check_stage_ids(stages: &[raw::Stage], sink: &mut read::Sink) {
    let mut seen = map::FastSet::default();
    for stage in stages {
        if !seen.insert(&stage.id.value) {
            let detail = format!("stage {:?} stands twice in the pipeline", stage.id.value);
            sink.add_at(code::Code::Duplicate, &stage.id, detail);
        }
    }
}

fn stage(
    entry: &raw::Stage,
    kinds: &map::FastMap<&str, plan::Kind>,
    sink: &mut read::Sink,
) -> plan::Stage {
    let kind = kinds.get(entry.service.value.as_str()).copied();
    let path = match &entry.path {
        Some(path) if !path.value.starts_with('/') => {
            let detail = format!("found {:?}; expected a path that begins with '/'", path.value);
            sink.add_at(code::Code::OutOfRange, path, detail);
            path.value.clone()
        }
        Some(path) => path.value.clone(),
        None => default_path(kind.unwrap_or(plan::Kind::Plain)).to_owned(),
    };
    check_range(&entry.idle, time::Duration::from_millis(1)..=MAX_DEADLINE, sink);
    plan::Stage {
        id: entry.id.value.clone(),
        service: entry.service.value.clone(),
        path,
        idempotent: entry.idempotent,
        idle: entry.idle.value,
    }
}

fn default_path(kind: plan::Kind) -> &'static str {
    match kind {
        plan::Kind::Generate => "/v1/completions",
        plan::Kind::Embed => "/v1/embeddings",
        plan::Kind::Rerank => "/v1/rerank",
        plan::Kind::Retrieve => "/v1/retrieve",
        plan::Kind::Plain => "/",
    }
}

fn routes(named: &read::Named<raw::Route>) -> map::FastMap<id::RouteId, plan::Route> {
    let route = |entry: &raw::Route| plan::Route {
        pipeline: entry.pipeline.value.clone(),
        workspaces: entry.workspaces.iter().map(|name| name.value.clone()).collect(),
    };
    named.entries.iter().map(|(name, entry)| (name.value.clone(), route(entry))).collect()
}

fn moves(
    named: &read::Named<raw::Move>,
    sink: &mut read::Sink,
) -> map::FastMap<id::MoveId, plan::Move> {
    let mut out = map::FastMap::default();
    for (name, entry) in &named.entries {
        check_range(&entry.early, 1..=MAX_EARLY_PER_MILLE, sink);
        if entry.finish.value <= entry.start.value {
            let detail = "the move must finish after its start".to_owned();
            sink.add_at(code::Code::OutOfRange, &entry.finish, detail);
        }
        let planned_move = plan::Move {
            service: entry.service.value.clone(),
            from: entry.from.value.clone(),
            to: entry.to.value.clone(),
            start: since_epoch(&entry.start, sink),
            finish: since_epoch(&entry.finish, sink),
            early: entry.early.value,
        };
        out.insert(name.value.clone(), planned_move);
    }
    check_cycles(named, sink);
    out
}

fn since_epoch(at: &read::Located<time::SystemTime>, sink: &mut read::Sink) -> id::Time {
    at.value.duration_since(time::UNIX_EPOCH).unwrap_or_else(|_| {
        sink.add_at(code::Code::OutOfRange, at, "the time lies before 1970".into());
        time::Duration::ZERO
    })
}

/// Reports each move that is part of a cycle, including a move from a version to itself.
fn check_cycles(named: &read::Named<raw::Move>, sink: &mut read::Sink) {
    let moves = || named.entries.iter().map(|(_, entry)| entry);
    for (name, entry) in &named.entries {
        let mut reachable = map::FastSet::default();
        let mut pending = vec![entry.to.value.as_str()];
        while let Some(version) = pending.pop() {
            if reachable.insert(version) {
                let next = moves().filter(|other| {
                    other.service.value == entry.service.value && other.from.value == version
                });
                pending.extend(next.map(|other| other.to.value.as_str()));
            }
        }
        if reachable.contains(entry.from.value.as_str()) {
            let detail = format!("moves lead from version {:?} back to it", entry.from.value);
            sink.add_at(code::Code::Cycle, name, detail);
        }
    }
}

fn policies(entry: &raw::Policies, sink: &mut read::Sink) -> plan::Policies {
    let default = plan::Policies::default();
    let mut pick = |chosen: &Option<raw::Reference>, fallback: String, known: Vec<&'static str>| {
        match chosen {
            Some(name) if !known.contains(&name.value.as_str()) => {
                let detail = format!("no policy {:?}; expected {}", name.value, known.join(" or "));
                sink.add_at(code::Code::UnknownName, name, detail);
                fallback
            }
            Some(name) => name.value.clone(),
            None => fallback,
        }
    };
    plan::Policies {
        limit: pick(&entry.limit, default.limit, policy::limits()),
        placement: pick(&entry.placement, default.placement, policy::placements()),
        queue: pick(&entry.queue, default.queue, policy::queues()),
        retry: pick(&entry.retry, default.retry, policy::retries()),
        judge: pick(&entry.judge, default.judge, policy::judges()),
    }
}

fn check_references(document: &raw::Document, plan: &plan::Plan, sink: &mut read::Sink) {
    let raw::Document { zones, workspaces, services, pipelines, .. } = document;
    check_versions(document, plan, sink);
    for (_, entry) in &document.endpoints.entries {
        check_declared(&entry.service, services, "service", sink);
        check_declared(&entry.zone, zones, "availability zone", sink);
    }
    for (_, entry) in &pipelines.entries {
        for stage in &entry.stages.value {
            check_declared(&stage.service, services, "service", sink);
        }
    }
    for (_, entry) in &document.routes.entries {
        check_declared(&entry.pipeline, pipelines, "pipeline", sink);
        for name in &entry.workspaces {
            check_declared(name, workspaces, "workspace", sink);
        }
    }
    for (_, entry) in &document.moves.entries {
        check_declared(&entry.service, services, "service", sink);
    }
}

/// Reports versions of services and moves that no endpoint runs. Skipped if an endpoint can't be
/// decoded, since that one might run them.
fn check_versions(document: &raw::Document, plan: &plan::Plan, sink: &mut read::Sink) {
    if !document.endpoints.is_complete() {
        return;
    }
    let running: map::FastSet<(&str, &str)> = plan
        .endpoints
        .values()
        .map(|endpoint| (endpoint.service.as_str(), endpoint.version.as_str()))
        .collect();
    let mut check = |name: &raw::Reference, service: &str| {
        if !running.contains(&(service, name.value.as_str())) {
            let detail =
                format!("no endpoint of service {service:?} runs version {:?}", name.value);
            sink.add_at(code::Code::UnknownName, name, detail);
        }
    };
    for (name, entry) in &document.services.entries {
        check(&entry.version, &name.value);
    }
    for (_, entry) in &document.moves.entries {
        check(&entry.from, &entry.service.value);
        check(&entry.to, &entry.service.value);
    }
}

fn check_declared<T>(
    name: &raw::Reference,
    named: &read::Named<T>,
    what: &str,
    sink: &mut read::Sink,
) {
    if !named.is_declared(&name.value) {
        let detail = format!("no {what} {:?} is declared", name.value);
        sink.add_at(code::Code::UnknownName, name, detail);
    }
}

fn check_range<T>(at: &read::Located<T>, range: std::ops::RangeInclusive<T>, sink: &mut read::Sink)
where
    T: PartialOrd + std::fmt::Debug,
{
    if !range.contains(&at.value) {
        let detail =
            format!("found {:?}; expected {:?} to {:?}", at.value, range.start(), range.end());
        sink.add_at(code::Code::OutOfRange, at, detail);
    }
}
