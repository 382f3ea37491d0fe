//! Authentication and routing. Keys of workspaces and the operator token are sent as bearer tokens
//! and compared in constant time.

use sequoiacrank_config::settings;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::plan;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use crate::front::exchange;
use crate::problem;

/// The workspace whose key the caller sent. All keys are compared, so that the time taken does not
/// tell which key matched.
///
/// # Errors
///
/// [`code::Code::NoKey`] if there is no key or no workspace has it.
pub fn workspace(
    plan: &plan::Plan,
    exchange: &exchange::Exchange,
) -> Result<id::WorkspaceId, problem::Problem> {
    let hash = hash(bearer(exchange).ok_or_else(no_key)?);
    let mut found = None;
    for (name, workspace) in &plan.workspaces {
        for key in &workspace.keys {
            if bool::from(key.ct_eq(&hash)) {
                found = Some(name);
            }
        }
    }
    found.cloned().ok_or_else(no_key)
}

/// Checks that the caller may act as an operator: it sends the operator token or, if none is set,
/// the host listens on the loopback interface only.
///
/// # Errors
///
/// [`code::Code::NoKey`].
pub fn operator(
    settings: &settings::Settings,
    exchange: &exchange::Exchange,
) -> Result<(), problem::Problem> {
    match (&settings.operator_token, bearer(exchange)) {
        (Some(token), Some(sent)) if bool::from(hash(token).ct_eq(&hash(sent))) => Ok(()),
        (None, _) if settings.listen.ip().is_loopback() => Ok(()),
        _ => Err(problem::Problem::refused(
            code::Code::NoKey,
            "operators' calls need the operator token as bearer key",
        )),
    }
}

/// The route that leads a workspace to a pipeline; the first by name if there are several.
///
/// # Errors
///
/// [`code::Code::NoRoute`].
pub fn route(
    plan: &plan::Plan,
    workspace: &str,
    pipeline: &str,
) -> Result<id::RouteId, problem::Problem> {
    let matches = |route: &plan::Route| {
        route.pipeline == pipeline && route.workspaces.iter().any(|name| name == workspace)
    };
    let mut routes: Vec<&id::RouteId> =
        plan.routes.iter().filter(|(_, route)| matches(route)).map(|(name, _)| name).collect();
    routes.sort();
    let found = routes.first().map(|name| (*name).clone());
    found.ok_or_else(|| {
        let detail = format!("no route leads from workspace {workspace} to pipeline {pipeline}");
        problem::Problem::refused(code::Code::NoRoute, detail)
    })
}

fn bearer(exchange: &exchange::Exchange) -> Option<&str> {
    let (scheme, key) = exchange.header("Authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

fn hash(text: &str) -> [u8; 32] {
    sha2::Sha256::digest(text.as_bytes()).into()
}

fn no_key() -> problem::Problem {
    problem::Problem::refused(
        code::Code::NoKey,
        "send Authorization: Bearer with a key of a workspace",
    )
}
