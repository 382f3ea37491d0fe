//! A caller that checks answers: event numbers, the end of the stream and the complete text.

use std::io;
use std::time;

use sequoiacrank_kernel::code;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Timeout of one read from a stream; hosts send comments at shorter intervals.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Timeout of a call up to the end of the answer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(120);

/// A request to a host.
#[derive(Clone, Debug)]
pub struct Request {
    /// Base URL of the host.
    pub host: String,
    /// Bearer key.
    pub key: String,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Input of the first stage.
    pub input: String,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Idempotency key.
    pub idempotency_key: Option<uuid::Uuid>,
    /// Whether to request a streamed answer.
    pub stream: bool,
}

/// Outcome of a call.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if no response came.
    pub status: u16,
    /// Time from the start of the call to the first text.
    pub first_text: Option<time::Duration>,
    /// Time from the start of the call to the end of the answer.
    pub total_time: time::Duration,
    /// Concatenated text of the events, or the body.
    pub text: String,
    /// Number of events received.
    pub events: u64,
    /// Why the answer is incomplete.
    pub fault: Option<String>,
}

impl Answer {
    /// Whether the answer is complete and its text equals `expected`.
    pub fn is_complete(&self, expected: &str) -> bool {
        self.fault.is_none() && self.status == 200 && self.text == expected
    }

    /// Whether the request did not run because the host is leaving or refuses connections.
    pub fn is_host_leaving(&self) -> bool {
        let problem = self.problem();
        let leaving = problem["code"] == code::Code::NotReady.number() && problem["run"] == "no";
        let fault = self.fault.as_deref().unwrap_or_default();
        leaving || (self.status == 0 && fault.contains("refused"))
    }

    /// Problem document of a refusal, or null.
    pub fn problem(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Sends a request and reads the answer to its end.
pub fn call(request: &Request) -> Answer {
    let body = serde_json::json!({ "input": request.input, "max_tokens": request.tokens });
    let url = format!("{}/v1/pipelines/{}/requests", request.host, request.pipeline);
    let accept = if request.stream { "text/event-stream" } else { "application/json" };
    let call = attohttpc::post(url).header("accept", accept).bearer_auth(&request.key);
    let call = match request.idempotency_key {
        Some(key) => call.header("idempotency-key", key.to_string()),
        None => call,
    };
    read(call.text(body.to_string()).header("content-type", "application/json"), request.stream)
}

/// Calls an engine directly, with the same checks.
pub fn call_engine(engine: &str, input: &str, tokens: u32) -> Answer {
    let body = serde_json::json!({ "prompt": input, "max_tokens": tokens, "stream": true });
    let call = attohttpc::post(format!("{engine}/v1/completions")).text(body.to_string());
    read(call.header("content-type", "application/json"), true)
}

fn read<B>(call: attohttpc::RequestBuilder<B>, stream: bool) -> Answer
where
    B: attohttpc::body::Body,
{
    let start = time::Instant::now();
    let call =
        call.connect_timeout(CONNECT_TIMEOUT).read_timeout(READ_TIMEOUT).timeout(CALL_TIMEOUT);
    let mut answer = Answer::default();
    match call.send() {
        Ok(response) => {
            answer.status = response.status().as_u16();
            let (_, _, reader) = response.split();
            let outcome = match answer.status {
                200 if stream => read_events(&mut answer, start, io::BufReader::new(reader)),
                _ => {
                    reader.text_utf8().map(|text| answer.text = text).map_err(|err| err.to_string())
                }
            };
            answer.fault = outcome.err();
        }
        Err(err) => answer.fault = Some(err.to_string()),
    }
    answer.total_time = start.elapsed();
    answer
}

/// A server-sent event that is being read.
#[derive(Default)]
struct Event {
    number: Option<u64>,
    kind: String,
    data: String,
}

fn read_events<R>(answer: &mut Answer, start: time::Instant, reader: R) -> Result<(), String>
where
    R: io::BufRead,
{
    let mut event = Event::default();
    for line in reader.lines() {
        let line = line.map_err(|err| err.to_string())?;
        let ends = line.is_empty() && !event.data.is_empty();
        if ends && handle_event(answer, start, std::mem::take(&mut event))? {
            return Ok(());
        }
        match line.split_once(':').map(|(name, value)| (name, value.trim_start())) {
            Some(("id", value)) => event.number = value.parse().ok(),
            Some(("event", value)) => event.kind = value.to_owned(),
            Some(("data", value)) => event.data = value.to_owned(),
            _ => {}
        }
    }
    Err("stream ended before its final event".into())
}

/// Checks one event and appends its text; returns whether it was the last.
fn handle_event(answer: &mut Answer, start: time::Instant, event: Event) -> Result<bool, String> {
    answer.events += 1;
    if event.number.is_some_and(|number| number != answer.events) {
        return Err(format!(
            "received event number {:?}, expected {}",
            event.number, answer.events
        ));
    }
    if event.data == "[DONE]" {
        return Ok(true);
    }
    let data: serde_json::Value = serde_json::from_str(&event.data)
        .map_err(|err| format!("event data is not JSON: {err}"))?;
    match event.kind.as_str() {
        "error" => Err(event.data),
        "done" => match data["answer"]["text"].as_str() {
            Some(text) if text != answer.text => {
                Err("text of the final event differs from the streamed text".into())
            }
            _ => Ok(true),
        },
        _ => {
            let text = data["text"].as_str().or_else(|| data["choices"][0]["text"].as_str());
            if let Some(text) = text.filter(|text| !text.is_empty()) {
                answer.first_text.get_or_insert_with(|| start.elapsed());
                answer.text.push_str(text);
            }
            Ok(false)
        }
    }
}
