//! What the engine reads from a request body.

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of one block of the prefix cache in bytes of prompt text.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of prompt text that make up one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// A chat or completion request, as far as the engine reads it.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct Body {
    pub(super) model: Option<String>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    max_tokens: Option<u32>,
    /// The length at which this answer happens to end, which only the engine knows.
    standin_output_tokens: Option<u32>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Message {
    content: String,
}

impl Body {
    pub(super) fn from_slice(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes)
            .map_err(|e| Error::with_source(Kind::BadRequest, "request body", e))
    }

    /// Returns the text whose blocks the prefix cache holds.
    pub(super) fn prompt(&self) -> String {
        let contents = self.messages.iter().map(|m| m.content.as_str());
        let parts: Vec<&str> = [self.prompt.as_str()].into_iter().chain(contents).collect();
        parts.concat()
    }

    /// Returns the number of tokens to generate.
    pub(super) fn output_tokens(&self, default: u32) -> u32 {
        let limit = self.max_tokens.unwrap_or(u32::MAX);
        let natural = self.standin_output_tokens.or(self.max_tokens);
        natural.unwrap_or(default).clamp(1, limit.max(1))
    }
}

/// Returns the hash chain of the whole blocks of `prompt`.
#[must_use]
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let chain = blocks.scan(0, |previous, block| {
        *previous = xxh3_64_with_seed(block, *previous);
        Some(*previous)
    });
    chain.collect()
}

/// Returns the text that any engine generates for `prompt`, so that a caller can check that
/// it got the whole answer to its own request.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    let answer = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|i| token_text(answer, i)).collect()
}

/// Returns the text of one generated token.
pub(super) fn token_text(answer: u64, index: u32) -> String {
    format!("{answer:016x}.{index} ")
}

/// Returns what [`token_text`] needs to know of `prompt`.
pub(super) fn answer_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}
