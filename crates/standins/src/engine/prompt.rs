//! Parsing of request bodies, prefix block hashes and the generated text.

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

/// The fields of a chat or completion request that the engine uses.
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
    /// The output length at which generation stops; the scheduler does not read it.
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

    /// Returns the prompt text that the prefix cache is keyed on.
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

/// Returns the chained hashes of the complete blocks of `prompt`.
#[must_use]
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let chain = blocks.scan(0, |previous, block| {
        *previous = xxh3_64_with_seed(block, *previous);
        Some(*previous)
    });
    chain.collect()
}

/// Returns the text that every engine generates for `prompt`, so that a caller can verify that
/// it received the complete response to its own request.
#[must_use]
pub fn generated_text(prompt: &str, tokens: u32) -> String {
    let seed = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|i| token_text(seed, i)).collect()
}

/// Returns the text of one generated token.
pub(super) fn token_text(seed: u64, index: u32) -> String {
    format!("{seed:016x}.{index} ")
}

/// Returns the seed for [`token_text`], which depends only on `prompt`.
pub(super) fn output_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}
