//! Client of a host's HTTP interface.

use std::time;

use crate::exit;

/// Timeout for connecting to a host.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Timeout of a whole call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A client of one host.
#[derive(Debug)]
pub struct Client {
    url: String,
    token: Option<String>,
}

/// The configuration in force on a host.
#[derive(Debug)]
pub struct Configuration {
    /// Revision; 0 if no configuration was applied yet.
    pub revision: u64,
    /// Text of the configuration.
    pub text: String,
}

impl Client {
    /// Creates a client of the host at `url`; `token` is the operators' bearer token.
    pub fn new(url: &str, token: Option<String>) -> Client {
        Client { url: url.trim_end_matches('/').to_owned(), token }
    }

    /// Fetches the configuration in force.
    pub fn configuration(&self) -> Result<Configuration, exit::Error> {
        let url = format!("{}/v1/configuration", self.url);
        let response = self.send(attohttpc::get(&url))?;
        let etag = response.headers().get("etag").and_then(|value| value.to_str().ok());
        let revision = etag.and_then(|etag| etag.trim_matches('"').parse().ok());
        let text = response.text().map_err(|err| exit::Error::Unreachable(url, err.to_string()))?;
        match revision {
            Some(revision) => Ok(Configuration { revision, text }),
            None => Err(exit::Error::Failed("the host's answer has no revision".into())),
        }
    }

    /// Applies `text` as the successor of revision `base`; returns the new revision. Fails with
    /// [`exit::Error::Unknown`] if the host does not answer or does not know the outcome.
    pub fn apply(&self, base: u64, text: &str) -> Result<u64, exit::Error> {
        let url = format!("{}/v1/configuration", self.url);
        let request = attohttpc::put(&url).header("if-match", format!("\"{base}\"")).text(text);
        let response = self.json(self.send(request).map_err(outcome_unknown)?)?;
        match response["revision"].as_u64() {
            Some(revision) => Ok(revision),
            None => Err(exit::Error::Unknown("the host's answer has no new revision".into())),
        }
    }

    /// Fetches the status of the host, its peers, endpoints and moves.
    pub fn status(&self) -> Result<serde_json::Value, exit::Error> {
        self.json(self.send(attohttpc::get(format!("{}/v1/status", self.url)))?)
    }

    fn send<B>(
        &self,
        request: attohttpc::RequestBuilder<B>,
    ) -> Result<attohttpc::Response, exit::Error>
    where
        B: attohttpc::body::Body,
    {
        let request = request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
        let request = match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        };
        let unreachable =
            |err: attohttpc::Error| exit::Error::Unreachable(self.url.clone(), err.to_string());
        let response = request.send().map_err(unreachable)?;
        match response.status().as_u16() {
            200..=299 => Ok(response),
            status => Err(exit::Error::Answer(status, response.text().unwrap_or_default())),
        }
    }

    fn json(&self, response: attohttpc::Response) -> Result<serde_json::Value, exit::Error> {
        let not_json = |err: attohttpc::Error| {
            exit::Error::Failed(format!("the host's answer is not JSON: {err}"))
        };
        response.json().map_err(not_json)
    }
}

/// Maps errors that leave open whether a change was made to [`exit::Error::Unknown`].
fn outcome_unknown(err: exit::Error) -> exit::Error {
    match err {
        exit::Error::Unreachable(url, detail) => exit::Error::Unknown(format!(
            "{url}: {detail}; `sequoiacrank status` shows whether it was applied"
        )),
        exit::Error::Answer(504, detail) => exit::Error::Unknown(detail),
        other => other,
    }
}
