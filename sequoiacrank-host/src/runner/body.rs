//! Builds the body of a call from the request and the outputs of earlier stages.

use sequoiacrank_kernel::plan;
use serde_json::json;

use crate::runner;
use crate::session;

/// The body of a call as JSON.
pub fn build(call: &runner::Call) -> serde_json::Value {
    let context = call.session.context();
    let request = &call.session.request;
    match call.kind {
        plan::Kind::Embed => json!({ "model": call.version, "input": [request.input] }),
        plan::Kind::Retrieve => {
            json!({ "query": request.input, "embedding": context.embedding, "parameters": request.parameters })
        }
        plan::Kind::Rerank => {
            let documents: Vec<&str> = context.documents.iter().map(text).collect();
            json!({ "model": call.version, "query": request.input, "documents": documents })
        }
        plan::Kind::Generate => generate(call, &context),
        plan::Kind::Plain => plain(call, &context),
    }
}

/// The text of a document, which is a string or an object with a field `text`.
pub fn text(document: &serde_json::Value) -> &str {
    match document {
        serde_json::Value::String(text) => text,
        other => other.get("text").and_then(serde_json::Value::as_str).unwrap_or_default(),
    }
}

/// Priority of a class in the scale of inference engines: lower is more urgent.
pub fn priority(class: plan::Class) -> u8 {
    match class {
        plan::Class::Urgent => 50,
        plan::Class::Normal => 100,
        plan::Class::Patient => 150,
    }
}

/// The prompt. It begins with the input, so that prompts of one caller share a prefix in the caches
/// of inference engines.
fn prompt(call: &runner::Call, context: &session::Context) -> String {
    let mut prompt = call.session.request.input.clone();
    if let Some(earlier) = &context.text {
        prompt.push_str("\n\n");
        prompt.push_str(earlier);
    }
    for document in &context.documents {
        prompt.push_str("\n\n");
        prompt.push_str(text(document));
    }
    prompt
}

/// The body of a generation. A retry of the last stage asks only for the tokens that the caller has
/// not received yet.
fn generate(call: &runner::Call, context: &session::Context) -> serde_json::Value {
    let prompt = prompt(call, context);
    let mut body = json!({
        "model": call.version,
        "max_tokens": call.session.request.max_tokens,
        "stream": true,
    });
    let (_, tokens) = call.session.delivered();
    if call.is_last_stage() && tokens > 0 {
        body["resume_from"] = json!(tokens);
    }
    match call.stage() {
        Some(stage) if stage.path.ends_with("/chat/completions") => {
            body["messages"] = json!([{ "role": "user", "content": prompt }]);
        }
        _ => body["prompt"] = json!(prompt),
    }
    body
}

fn plain(call: &runner::Call, context: &session::Context) -> serde_json::Value {
    let request = &call.session.request;
    let mut body = json!({
        "request": request.id.to_string(),
        "input": request.input,
        "parameters": request.parameters,
    });
    if let Some(text) = &context.text {
        body["text"] = json!(text);
    }
    if let Some(plain) = &context.plain {
        body["result"] = plain.clone();
    }
    if !context.documents.is_empty() {
        body["documents"] = json!(context.documents);
    }
    body
}
