//! Calls of an operator: apply declarations through a host and read the status of hosts.

use std::time;

use quick_error::quick_error;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(20);

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum Error {
        /// The HTTP call failed.
        Http(err: attohttpc::Error) {
            from()
            display("HTTP call failed: {err}")
        }
        /// The host refused the declarations.
        Refused(status: u16, text: String) {
            display("the host refused the declarations with status {status}: {text}")
        }
        /// The answer lacks a field.
        MissingField(field: &'static str) {
            display("the answer has no field {field}")
        }
    }
}

/// Applies the declarations in `text` to the revision in force on `host`; returns the new revision.
pub fn apply(host: &str, text: &str) -> Result<u64, Error> {
    let url = format!("{host}/v1/configuration");
    let current =
        attohttpc::get(&url).connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT).send()?;
    let base = current.headers().get("etag").and_then(|etag| etag.to_str().ok()).unwrap_or("\"0\"");
    let call = attohttpc::put(&url).header("if-match", base.to_owned()).text(text);
    let answer = call.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT).send()?;
    let status = answer.status().as_u16();
    match status {
        200..=299 => {
            let body: serde_json::Value = answer.json()?;
            body["revision"].as_u64().ok_or(Error::MissingField("revision"))
        }
        _ => Err(Error::Refused(status, answer.text().unwrap_or_default())),
    }
}

/// Status document of `host`.
pub fn status(host: &str) -> Result<serde_json::Value, Error> {
    let call = attohttpc::get(format!("{host}/v1/status"));
    Ok(call.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT).send()?.json()?)
}

/// Revision in force on `host`; 0 if it can't be read.
pub fn revision(host: &str) -> u64 {
    status(host).ok().and_then(|status| status["revision"].as_u64()).unwrap_or(0)
}

/// State of a move as `host` reports it; empty if it can't be read.
pub fn move_state(host: &str, name: &str) -> String {
    let status = status(host).unwrap_or_default();
    let moves = status["moves"].as_array().cloned().unwrap_or_default();
    let found = moves.iter().find(|entry| entry["move"] == name);
    found.and_then(|entry| entry["state"].as_str()).unwrap_or_default().to_owned()
}
