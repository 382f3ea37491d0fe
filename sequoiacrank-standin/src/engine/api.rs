//! JSON bodies of the engine's HTTP interface.

use serde::Deserialize;
use serde::Serialize;

const DEFAULT_MAX_TOKENS: u32 = 16;

/// Body of a call to `/v1/completions` or `/v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion {
    prompt: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
    /// Number of tokens that the client has already; the answer starts after them.
    #[serde(default)]
    pub(crate) resume_from: u32,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

impl Completion {
    /// The prompt, or the contents of the messages joined by newlines. `None` if both are missing.
    pub(crate) fn prompt(&self) -> Option<String> {
        let contents = |messages: &Vec<ChatMessage>| {
            let contents: Vec<_> =
                messages.iter().map(|message| message.content.as_str()).collect();
            contents.join("\n")
        };
        self.prompt.clone().or_else(|| self.messages.as_ref().map(contents))
    }

    pub(crate) fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Event of a stream, or body of a whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct Chunk<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) model: &'a str,
    pub(crate) choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<Usage>,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct Choice<'a> {
    pub(crate) index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) message: Option<Delta<'a>>,
    pub(crate) finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Delta<'a> {
    pub(crate) role: &'static str,
    pub(crate) content: &'a str,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    pub(crate) cached_tokens: u32,
}

/// Body of a call to `/v1/embeddings`.
#[derive(Debug, Deserialize)]
pub(crate) struct Embed {
    pub(crate) input: Input,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum Input {
    One(String),
    Many(Vec<String>),
}

#[derive(Debug, Serialize)]
pub(crate) struct Embeddings {
    pub(crate) id: String,
    pub(crate) object: &'static str,
    pub(crate) model: String,
    pub(crate) data: Vec<Embedding>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Embedding {
    pub(crate) index: usize,
    pub(crate) object: &'static str,
    pub(crate) embedding: Vec<f64>,
}

/// Body of a call to `/v1/rerank`.
#[derive(Debug, Deserialize)]
pub(crate) struct Rerank {
    pub(crate) query: String,
    pub(crate) documents: Vec<String>,
    pub(crate) top_n: Option<usize>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Ranking {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) results: Vec<Ranked>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Ranked {
    pub(crate) index: usize,
    pub(crate) relevance_score: f64,
}
