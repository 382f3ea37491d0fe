//! Reads and applies the declarations for operators.

use std::io;
use std::sync;
use std::time;

use sequoiacrank_config::declare;
use sequoiacrank_config::diff;
use sequoiacrank_config::problem as text_problem;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use serde_json::json;

use crate::engine;
use crate::front::access;
use crate::front::exchange;
use crate::problem;

/// Longest wait for the result of applying declarations.
const APPLY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Name of the document in parse errors.
const DOCUMENT: &str = "-";

fn etag(revision: id::Revision) -> exchange::Header {
    exchange::Header { name: "ETag", value: format!("\"{revision}\"") }
}

/// `GET /v1/configuration`.
pub fn get(engine: &engine::Engine, exchange: exchange::Exchange) -> io::Result<()> {
    if let Err(problem) = access::operator(&engine.settings, &exchange) {
        return exchange.problem(&problem);
    }
    let (revision, document) = engine.document();
    let document = if document.is_empty() { "{}" } else { &document };
    exchange.answer(200, "application/json", &[etag(revision)], document)
}

/// `PUT /v1/configuration`.
pub fn put(engine: &sync::Arc<engine::Engine>, mut exchange: exchange::Exchange) -> io::Result<()> {
    let result = apply(engine, &mut exchange);
    match result {
        Ok(Applied::Revision(revision)) => {
            let body = json!({ "revision": revision }).to_string();
            exchange.answer(200, "application/json", &[etag(revision)], &body)
        }
        Ok(Applied::DryRun(body)) => exchange.json(200, &body.to_string()),
        Err(Refusal::Problem(problem)) => exchange.problem(&problem),
        Err(Refusal::Document(problems)) => write_problems(&problems, exchange),
    }
}

enum Applied {
    Revision(id::Revision),
    DryRun(serde_json::Value),
}

enum Refusal {
    Problem(problem::Problem),
    Document(Vec<text_problem::Problem>),
}

impl From<problem::Problem> for Refusal {
    fn from(problem: problem::Problem) -> Self {
        Refusal::Problem(problem)
    }
}

fn apply(
    engine: &sync::Arc<engine::Engine>,
    exchange: &mut exchange::Exchange,
) -> Result<Applied, Refusal> {
    access::operator(&engine.settings, exchange)?;
    let document = exchange.body()?;
    let base = base_revision(exchange)?;
    let plan = declare::parse(DOCUMENT, &document).map_err(Refusal::Document)?;
    let current = engine.plan();
    if exchange.has_parameter("dry-run") {
        let changes: Vec<String> =
            diff::lines(&current, &plan).iter().map(ToString::to_string).collect();
        let fits = base.is_none_or(|base| base == current.revision);
        return Ok(Applied::DryRun(
            json!({ "revision": current.revision, "fits": fits, "changes": changes }),
        ));
    }
    let base = base
        .ok_or_else(|| bad_request("If-Match must name the revision that this was made against"))?;
    let result = engine.apply(base, document, APPLY_TIMEOUT);
    result
        .map(Applied::Revision)
        .map_err(|(code, detail)| Refusal::Problem(problem::Problem::refused(code, detail)))
}

fn base_revision(exchange: &exchange::Exchange) -> Result<Option<id::Revision>, problem::Problem> {
    let Some(text) = exchange.header("If-Match") else { return Ok(None) };
    let number = text.trim().trim_matches('"').parse();
    number.map(Some).map_err(|_| bad_request("If-Match is not a revision"))
}

fn bad_request(detail: &str) -> problem::Problem {
    problem::Problem::refused(code::Code::BadRequest, detail)
}

/// Answers with all problems of a document.
fn write_problems(
    problems: &[text_problem::Problem],
    exchange: exchange::Exchange,
) -> io::Result<()> {
    let summary =
        problem::Problem::refused(code::Code::BadDocument, format!("{} errors", problems.len()));
    let errors: Vec<serde_json::Value> = problems
        .iter()
        .map(|problem| {
            json!({ "code": problem.code.number(), "line": problem.line, "path": problem.path, "detail": problem.detail })
        })
        .collect();
    let mut body: serde_json::Value = serde_json::from_str(&summary.body(None)).unwrap_or_default();
    body["errors"] = json!(errors);
    exchange.answer(summary.code.status(), problem::MEDIA_TYPE, &[], &body.to_string())
}
