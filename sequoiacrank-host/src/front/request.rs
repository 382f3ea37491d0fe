//! Parses a caller's request and derives the values that decisions and stages need.

use std::time;

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::plan;
use serde::Deserialize;
use xxhash_rust::xxh3;

use crate::front::exchange;
use crate::problem;

/// Most tokens to generate if the caller names no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest `max_tokens` that is accepted.
const MAX_TOKENS_LIMIT: u32 = 32 * 1024;
/// Approximate number of input bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes by which each hashed prefix of a prompt is longer than the one before.
const PREFIX_STEP_BYTES: usize = 256;
/// Most prefixes of a prompt that are hashed.
const MAX_PREFIXES: usize = 32;

/// Body of a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Input text.
    pub input: String,
    /// Most tokens to generate.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Passed to the endpoints of retrieve and plain services.
    #[serde(default)]
    pub parameters: serde_json::Value,
}

fn default_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Parses the body.
///
/// # Errors
///
/// [`code::Code::BadRequest`] if it is malformed or `max_tokens` is out of range.
pub fn body(text: &str) -> Result<Body, problem::Problem> {
    let body: Body =
        serde_json::from_str(text).map_err(|error| bad_request(format!("the body: {error}")))?;
    match body.max_tokens {
        1..=MAX_TOKENS_LIMIT => Ok(body),
        tokens => {
            Err(bad_request(format!("max_tokens is {tokens}; it must be 1 to {MAX_TOKENS_LIMIT}")))
        }
    }
}

/// Estimated tokens of the input plus the most tokens to generate.
pub fn count_tokens(body: &Body) -> u32 {
    let input = (body.input.len() / BYTES_PER_TOKEN) as u32;
    input.saturating_add(body.max_tokens)
}

/// Hash of the content of a request; equal for repeats.
pub fn fingerprint(workspace: &str, pipeline: &str, body: &Body) -> id::Fingerprint {
    let mut hash = xxh3::Xxh3::new();
    let tokens = body.max_tokens.to_string();
    let parameters = body.parameters.to_string();
    for part in [workspace, pipeline, &body.input, &tokens, &parameters] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.digest()
}

/// Hashes of prefixes of a prompt, shortest first.
pub fn prefixes(input: &str) -> Vec<u64> {
    let mut hash = xxh3::Xxh3::new();
    let blocks = input.as_bytes().chunks_exact(PREFIX_STEP_BYTES).take(MAX_PREFIXES);
    blocks
        .map(|block| {
            hash.update(block);
            hash.digest()
        })
        .collect()
}

/// The idempotency key, which is required if a stage may not be repeated.
///
/// # Errors
///
/// [`code::Code::NeedKey`] if it is required and missing, [`code::Code::BadRequest`] if it is not
/// a UUIDv7.
pub fn key(
    exchange: &exchange::Exchange,
    pipeline: &plan::Pipeline,
) -> Result<Option<id::Key>, problem::Problem> {
    let Some(text) = exchange.header("Idempotency-Key") else {
        return match pipeline.needs_claim() {
            true => Err(problem::Problem::refused(
                code::Code::NeedKey,
                "send a UUIDv7 as Idempotency-Key",
            )),
            false => Ok(None),
        };
    };
    // The draft standard defines the header as a quoted string; it is accepted without quotes too.
    match uuid::Uuid::parse_str(text.trim().trim_matches('"')) {
        Ok(key) if key.get_version_num() == 7 => Ok(Some(key)),
        _ => Err(bad_request("Idempotency-Key is not a UUIDv7".into())),
    }
}

/// When the complete answer is due: the pipeline's deadline, or an earlier one of the caller.
///
/// # Errors
///
/// [`code::Code::BadRequest`] if the caller's deadline is not a number.
pub fn deadline(
    exchange: &exchange::Exchange,
    pipeline: &plan::Pipeline,
    now: id::Time,
) -> Result<id::Time, problem::Problem> {
    let Some(text) = exchange.header("Sequoiacrank-Deadline-Ms") else {
        return Ok(now + pipeline.deadline);
    };
    match text.trim().parse() {
        Ok(millis) => Ok(now + pipeline.deadline.min(time::Duration::from_millis(millis))),
        Err(_) => {
            Err(bad_request("Sequoiacrank-Deadline-Ms is not a number of milliseconds".into()))
        }
    }
}

fn bad_request(detail: String) -> problem::Problem {
    problem::Problem::refused(code::Code::BadRequest, detail)
}
