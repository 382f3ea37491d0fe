//! Texts, embeddings and scores that an engine returns. They are derived from the input alone, so
//! that a caller can check a whole answer.

use xxhash_rust::xxh3;

const WORDS: [&str; 16] = [
    "block ", "vein ", "white ", "grove ", "brine ", "salt ", "olive ", "pit ", "saw ", "lot ",
    "fine ", "grey ", "acid ", "batch ", "jar ", "slab ",
];
const EMBEDDING_DIMENSIONS: u64 = 8;
/// Bytes of text that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Hash of a prompt, from which its answer is derived.
pub(crate) fn hash(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Token `index`, counted from 0, of the answer to a prompt with this hash.
pub(crate) fn token(hash: u64, index: u32) -> &'static str {
    let token_hash = xxh3::xxh3_64_with_seed(&hash.to_le_bytes(), index.into());
    WORDS[(token_hash % WORDS.len() as u64) as usize]
}

/// Text of `max_tokens` tokens that an engine generates for a prompt. The prompt of a chat is the
/// contents of its messages, joined by newlines.
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    let hash = hash(prompt);
    (0..max_tokens).map(|index| token(hash, index)).collect()
}

/// Embedding of a text.
pub fn embedding(input: &str) -> Vec<f64> {
    (0..EMBEDDING_DIMENSIONS).map(|seed| hash_fraction(input.as_bytes(), seed)).collect()
}

/// Relevance of a document to a query, from 0 to 1.
pub fn score(query: &str, document: &str) -> f64 {
    hash_fraction(document.as_bytes(), xxh3::xxh3_64(query.as_bytes()))
}

/// A number from 0 to 1, derived from the bytes. It has four decimal digits, so that
/// conversion to text and back does not change it.
fn hash_fraction(bytes: &[u8], seed: u64) -> f64 {
    (xxh3::xxh3_64_with_seed(bytes, seed) % 10_000) as f64 / 10_000.0
}

/// Length of a text, in tokens.
pub(crate) fn token_count(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
