//! Validates the JSON answers of stages and extracts what later stages need.

use sequoiacrank_kernel::id;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;
use serde_json::json;

use crate::session;

const GARBLED: traffic::Fault = traffic::Fault::Garbled;

/// Whether an answer belongs to this attempt; an answer that names no attempt does.
pub fn matches_attempt(answer: &serde_json::Value, attempt: id::AttemptId) -> bool {
    match answer.get("attempt") {
        None | Some(serde_json::Value::Null) => true,
        Some(named) => named.as_str() == Some(&attempt.to_string()),
    }
}

/// The outputs of the stages after a complete answer of a stage of this kind.
///
/// # Errors
///
/// [`traffic::Fault::Garbled`] if the answer does not have the expected form.
pub fn apply(
    kind: plan::Kind,
    before: &session::Context,
    answer: serde_json::Value,
) -> Result<session::Context, traffic::Fault> {
    let mut context = before.clone();
    match kind {
        plan::Kind::Embed => context.embedding = Some(embedding(&answer)?),
        plan::Kind::Retrieve => context.documents = documents(answer)?,
        plan::Kind::Rerank => context.documents = ranked_documents(&answer, &before.documents)?,
        plan::Kind::Plain if answer.is_object() => context.plain = Some(answer),
        plan::Kind::Plain => return Err(GARBLED),
        plan::Kind::Generate => context.text = Some(completion(&answer)?),
    }
    Ok(context)
}

fn embedding(answer: &serde_json::Value) -> Result<serde_json::Value, traffic::Fault> {
    let data = answer.get("data").and_then(serde_json::Value::as_array).ok_or(GARBLED)?;
    let [item] = data.as_slice() else { return Err(GARBLED) };
    let vector = item.get("embedding").and_then(serde_json::Value::as_array).ok_or(GARBLED)?;
    match vector.is_empty() || !vector.iter().all(serde_json::Value::is_number) {
        true => Err(GARBLED),
        false => Ok(json!(vector)),
    }
}

fn documents(answer: serde_json::Value) -> Result<Vec<serde_json::Value>, traffic::Fault> {
    let Some(serde_json::Value::Array(found)) = answer.get("documents") else {
        return Err(GARBLED);
    };
    let is_valid = |document: &serde_json::Value| {
        document.is_string() || document.get("text").is_some_and(serde_json::Value::is_string)
    };
    match found.iter().all(is_valid) {
        true => Ok(found.clone()),
        false => Err(GARBLED),
    }
}

fn ranked_documents(
    answer: &serde_json::Value,
    documents: &[serde_json::Value],
) -> Result<Vec<serde_json::Value>, traffic::Fault> {
    let results = answer.get("results").and_then(serde_json::Value::as_array).ok_or(GARBLED)?;
    let mut scored = Vec::with_capacity(results.len());
    let mut seen = vec![false; documents.len()];
    for result in results {
        let index =
            result.get("index").and_then(serde_json::Value::as_u64).ok_or(GARBLED)? as usize;
        let score =
            result.get("relevance_score").and_then(serde_json::Value::as_f64).ok_or(GARBLED)?;
        let is_seen = seen.get_mut(index).ok_or(GARBLED)?;
        if std::mem::replace(is_seen, true) {
            return Err(GARBLED);
        }
        scored.push((score, index));
    }
    if scored.is_empty() != documents.is_empty() {
        return Err(GARBLED);
    }
    scored.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    Ok(scored.into_iter().map(|(_, index)| documents[index].clone()).collect())
}

fn completion(answer: &serde_json::Value) -> Result<String, traffic::Fault> {
    text_delta(answer).ok_or(GARBLED)
}

/// The text in one chunk or answer of a generation; `None` if it does not have the expected
/// form.
pub fn text_delta(chunk: &serde_json::Value) -> Option<String> {
    let choices = chunk.get("choices")?.as_array()?;
    let Some(choice) = choices.first() else {
        // The last chunk may hold only the usage.
        return chunk.get("usage").is_some_and(serde_json::Value::is_object).then(String::new);
    };
    let text =
        [choice.get("text"), choice.pointer("/delta/content"), choice.pointer("/message/content")];
    let found = text.into_iter().flatten().find(|text| !text.is_null());
    match found {
        Some(text) => text.as_str().map(str::to_owned),
        // The first chunk of a chat holds only a role, the last one only a finish reason.
        None => (choice.get("delta").is_some() || choice.get("finish_reason").is_some())
            .then(String::new),
    }
}
