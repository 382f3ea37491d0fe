//! Validates the head of a request and rewrites it for the internal HTTP server.

use std::str;

use sequoiacrank_config::settings;
use sequoiacrank_kernel::code;

use crate::problem;

/// Header by which the gate authenticates its requests to the internal HTTP server; removed from
/// callers' requests.
pub const GATE_HEADER: &str = "Sequoiacrank-Gate";
/// Most headers in a head.
const MAX_HEADERS: usize = 64;
/// Methods of the interface. Responses to others, such as HEAD, have a different framing.
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];
/// Headers that may occur only once.
const UNIQUE_HEADERS: [&str; 8] = [
    "content-length",
    "host",
    "authorization",
    "idempotency-key",
    "sequoiacrank-deadline-ms",
    "last-event-id",
    "if-match",
    "content-type",
];
/// Headers that apply only to the connection between caller and gate.
const HOP_BY_HOP_HEADERS: [&str; 7] =
    ["connection", "expect", "keep-alive", "upgrade", "te", "proxy-connection", "trailer"];

/// Value of [`GATE_HEADER`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateHeader {
    /// Secret that only the gate and the internal HTTP server know.
    pub secret: String,
    /// Number of the request at the gate.
    pub number: u64,
}

impl GateHeader {
    /// Formats the value.
    pub fn value(&self) -> String {
        format!("{} {}", self.secret, self.number)
    }

    /// Parses the value; `None` if it is malformed.
    pub fn parse(value: &str) -> Option<GateHeader> {
        let (secret, number) = value.split_once(' ')?;
        Some(GateHeader { secret: secret.into(), number: number.parse().ok()? })
    }
}

/// A validated head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Length of the head as received, in bytes.
    pub head_bytes: usize,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether the caller waits for `100 Continue`.
    pub expect_continue: bool,
    /// Whether the request may run for long, as it runs a pipeline or follows a request.
    pub long_running: bool,
    /// Request line and headers to forward, without [`GATE_HEADER`] and the empty line.
    pub lines: Vec<u8>,
}

/// Parses the head at the start of `bytes`; `None` if it is not complete yet.
///
/// # Errors
///
/// The refusal of a head that is malformed, too large or announces too large a body.
pub fn parse(bytes: &[u8], bounds: &settings::Bounds) -> Result<Option<Head>, problem::Problem> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
    match end {
        Some(end) if end > bounds.head_bytes => Err(too_large("head", bounds.head_bytes)),
        None if bytes.len() >= bounds.head_bytes => Err(too_large("head", bounds.head_bytes)),
        None => Ok(None),
        Some(end) => parse_head(&bytes[..end], bounds).map(Some),
    }
}

fn parse_head(bytes: &[u8], bounds: &settings::Bounds) -> Result<Head, problem::Problem> {
    if !bytes.is_ascii() {
        return Err(bad_request("the head holds bytes that are not ASCII"));
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed =
        request.parse(bytes).map_err(|error| bad_request(&format!("the head: {error}")))?;
    if !parsed.is_complete() {
        return Err(bad_request("the head ends before its last line"));
    }
    let (Some(method), Some(path), Some(version)) = (request.method, request.path, request.version)
    else {
        return Err(bad_request("the request line is not whole"));
    };
    if !METHODS.contains(&method) {
        return Err(bad_request("the method is none of GET, POST and PUT"));
    }
    check_unique(request.headers)?;
    let mut head = Head {
        head_bytes: bytes.len(),
        body_bytes: body_length(request.headers, bounds)?,
        keep_alive: version == 1 && !has_token(request.headers, "connection", "close"),
        expect_continue: has_token(request.headers, "expect", "100-continue"),
        long_running: path.starts_with("/v1/pipelines/") || path.starts_with("/v1/requests/"),
        lines: format!("{method} {path} HTTP/1.{version}\r\n").into_bytes(),
    };
    for header in request.headers.iter() {
        forward_header(&mut head.lines, header);
    }
    Ok(head)
}

fn forward_header(lines: &mut Vec<u8>, header: &httparse::Header<'_>) {
    let is_hop_by_hop =
        HOP_BY_HOP_HEADERS.iter().any(|name| header.name.eq_ignore_ascii_case(name));
    if is_hop_by_hop || header.name.eq_ignore_ascii_case(GATE_HEADER) {
        return;
    }
    lines.extend_from_slice(header.name.as_bytes());
    lines.extend_from_slice(b": ");
    lines.extend_from_slice(header.value);
    lines.extend_from_slice(b"\r\n");
}

fn check_unique(headers: &[httparse::Header<'_>]) -> Result<(), problem::Problem> {
    for name in UNIQUE_HEADERS {
        let count = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).count();
        if count > 1 {
            return Err(bad_request(&format!("the header {name} stands {count} times")));
        }
    }
    Ok(())
}

fn body_length(
    headers: &[httparse::Header<'_>],
    bounds: &settings::Bounds,
) -> Result<usize, problem::Problem> {
    if header_value(headers, "transfer-encoding").is_some() {
        return Err(bad_request("send the body with Content-Length in place of Transfer-Encoding"));
    }
    let Some(text) = header_value(headers, "content-length") else { return Ok(0) };
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(bad_request("Content-Length is not a number"));
    }
    match text.parse::<usize>() {
        Ok(length) if length <= bounds.body_bytes => Ok(length),
        _ => Err(too_large("body", bounds.body_bytes)),
    }
}

fn header_value<'a>(headers: &'a [httparse::Header<'_>], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    str::from_utf8(header.value).ok().map(str::trim)
}

fn has_token(headers: &[httparse::Header<'_>], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .filter_map(|header| str::from_utf8(header.value).ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

fn bad_request(detail: &str) -> problem::Problem {
    problem::Problem::refused(code::Code::BadRequest, detail)
}

fn too_large(what: &str, limit: usize) -> problem::Problem {
    problem::Problem::refused(code::Code::TooLarge, format!("the {what} is over {limit} bytes"))
}
