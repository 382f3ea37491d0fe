//! HTTP calls with timeouts and bounded answers. Errors tell whether a call may have taken effect.

use std::io;
use std::io::Read;
use std::time;

use quick_error::quick_error;
use serde::de;

/// How a client calls one of the platform's services.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL without a trailing slash.
    pub url: String,
    /// Timeout for connecting.
    pub connect_timeout: time::Duration,
    /// Timeout of a whole call.
    pub timeout: time::Duration,
    /// Largest answer that is read, in bytes.
    pub max_answer: u64,
}

impl Options {
    /// Returns the defaults for the service at `url`.
    pub fn new(url: String) -> Options {
        Options {
            url: url.trim_end_matches('/').to_owned(),
            connect_timeout: time::Duration::from_millis(500),
            timeout: time::Duration::from_secs(3),
            max_answer: 64 << 20,
        }
    }
}

quick_error! {
    /// Why a call failed, and whether it may have taken effect.
    #[derive(Debug)]
    pub enum Error {
        /// The call had no effect.
        Refused(reason: String) {
            display("{reason}")
        }
        /// The call had no effect, since the rate limit is reached.
        Limited(retry_after: time::Duration) {
            display("too many calls; retry after {retry_after:?}")
        }
        /// The call may have taken effect.
        Unclear(reason: String) {
            display("{reason}")
        }
    }
}

/// Time to wait after status 429 without a valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// Length to which the body of an error is cut, in bytes.
const MAX_ERROR_BYTES: u64 = 512;

/// Sends a request and reads the answer as JSON. Proxies named in the environment are not used.
pub(crate) fn call<B, T>(
    options: &Options,
    request: attohttpc::RequestBuilder<B>,
) -> Result<T, Error>
where
    B: attohttpc::body::Body,
    T: de::DeserializeOwned,
{
    let response = request
        .connect_timeout(options.connect_timeout)
        .read_timeout(options.timeout)
        .timeout(options.timeout)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .send()
        .map_err(classify)?;
    let (status, headers, body) = response.split();
    match status.as_u16() {
        200..=299 => {}
        429 => {
            let header = headers.get(attohttpc::header::RETRY_AFTER);
            return Err(Error::Limited(retry_after(header.and_then(|value| value.to_str().ok()))));
        }
        400..=499 => return Err(Error::Refused(error_text(status, body))),
        // An error of the server or of a proxy leaves open whether the call took effect.
        _ => return Err(Error::Unclear(error_text(status, body))),
    }
    let mut bytes = Vec::new();
    let read = body.take(options.max_answer + 1).read_to_end(&mut bytes);
    read.map_err(|error| Error::Unclear(error.to_string()))?;
    if bytes.len() as u64 > options.max_answer {
        return Err(Error::Unclear("the answer is too large".into()));
    }
    serde_json::from_slice(&bytes).map_err(|error| Error::Unclear(error.to_string()))
}

/// Only a refused connection or an invalid request is known to have had no effect.
fn classify(error: attohttpc::Error) -> Error {
    match error.kind() {
        attohttpc::ErrorKind::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => {
            Error::Refused(error.to_string())
        }
        attohttpc::ErrorKind::Http(_)
        | attohttpc::ErrorKind::InvalidBaseUrl
        | attohttpc::ErrorKind::InvalidUrlHost
        | attohttpc::ErrorKind::InvalidUrlPort => Error::Refused(error.to_string()),
        _ => Error::Unclear(error.to_string()),
    }
}

fn error_text(status: attohttpc::StatusCode, body: attohttpc::ResponseReader) -> String {
    let mut text = Vec::new();
    // If the body can't be read, the status alone is reported.
    let _ = body.take(MAX_ERROR_BYTES).read_to_end(&mut text);
    format!("{status}: {}", String::from_utf8_lossy(&text))
}

fn retry_after(header: Option<&str>) -> time::Duration {
    let seconds = header.and_then(|value| value.trim().parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, time::Duration::from_secs)
}

/// Builds a URL of the service; percent-encodes each part of the path.
pub(crate) fn url(options: &Options, parts: &[&str]) -> String {
    let escaped: String = parts.iter().map(|part| format!("/{}", escape(part))).collect();
    options.url.clone() + &escaped
}

fn escape(part: &str) -> String {
    let escape = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    part.bytes().map(escape).collect()
}
