//! Admits a caller's request and answers it.

use std::io;
use std::sync;

use crate::engine;
use crate::front;
use crate::front::access;
use crate::front::answer;
use crate::front::exchange;
use crate::front::request;
use crate::problem;
use crate::session;

/// `POST /v1/pipelines/{pipeline}/requests`.
pub fn submit(
    shared: &front::Shared,
    pipeline: &str,
    mut exchange: exchange::Exchange,
) -> io::Result<()> {
    let session = match admit(&shared.engine, pipeline, &mut exchange) {
        Ok(session) => session,
        Err(problem) => {
            shared.engine.metrics.record_refusal(problem.code);
            return exchange.problem(&problem);
        }
    };
    answer::write(shared, &session, exchange)
}

fn admit(
    engine: &sync::Arc<engine::Engine>,
    name: &str,
    exchange: &mut exchange::Exchange,
) -> Result<sync::Arc<session::Session>, problem::Problem> {
    let text = exchange.body()?;
    let body = request::body(&text)?;
    engine.admit(|plan, now| {
        let workspace = access::workspace(plan, exchange)?;
        let pipeline = plan.pipelines.get(name).ok_or_else(|| engine::no_pipeline(name))?;
        let route = access::route(plan, &workspace, name)?;
        let request = session::Request {
            id: engine.request_id(now),
            pipeline: name.to_owned(),
            route,
            key: request::key(exchange, pipeline)?,
            max_tokens: body.max_tokens,
            deadline: request::deadline(exchange, pipeline, now)?,
            arrived: now,
            input: body.input.clone(),
            parameters: body.parameters.clone(),
            workspace,
        };
        Ok(engine::Admission {
            tokens: request::count_tokens(&body),
            fingerprint: request::fingerprint(&request.workspace, name, &body),
            prefix: request::prefixes(&body.input),
            request,
        })
    })
}
