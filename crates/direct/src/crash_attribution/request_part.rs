//! The part that stands for a whole request among the parts of its prompt.
//!
//! A request that comes again and again may crash endpoints although nothing that it shares with others does.
//! Seen as a further part, which only its copies have, it is found and blocked like any other.

use std::sync::Arc;

use bytes::Bytes;
use eelgrassramp::AccountName;
use eelgrassramp::PromptPart;
use http::Method;
use http::Uri;
use xxhash_rust::xxh3::Xxh3;

/// Start of the part that stands for a request. Other parts contain no colon.
const PREFIX: &str = "request:";

/// What the copies of a request have in common. Each has an id of its own.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a Method,
    /// The path with its query.
    pub uri: &'a Uri,
    /// The client account, if the route needs one.
    pub account: Option<&'a AccountName>,
    /// The body in blocks, however it is divided.
    pub body: &'a [Bytes],
    /// The parts of the prompt in order.
    pub prompt_parts: &'a [PromptPart],
}

impl RequestContent<'_> {
    /// Returns the parts of the prompt, with the one that stands for the request before the last.
    ///
    /// The last part of a prompt belongs to the request or its session, and is never suspected by itself.
    #[must_use]
    pub fn suspect_parts(&self) -> Arc<[PromptPart]> {
        let (own, shared) = match self.prompt_parts.split_last() {
            Some((own, shared)) => (own.clone(), shared),
            None => (PromptPart::from(""), self.prompt_parts),
        };
        let shared = shared.iter().cloned();
        shared.chain([self.request_part(), own]).collect()
    }

    fn request_part(&self) -> PromptPart {
        let account = self.account.map_or("", AccountName::as_str);
        let parts = self.prompt_parts.iter().map(PromptPart::as_str);
        let texts = [self.method.as_str(), account].into_iter().chain(parts);
        let mut hash = Xxh3::new();
        for text in texts {
            hash.update(text.as_bytes());
            hash.update(b"\n");
        }
        let path = self.uri.path_and_query();
        hash.update(path.map_or("", |path| path.as_str()).as_bytes());
        hash.update(b"\n");
        for block in self.body {
            hash.update(block);
        }
        PromptPart::new(format!("{PREFIX}{:016x}", hash.digest()))
    }
}

/// Returns whether a part stands for a whole request.
pub(super) fn is_whole_request(part: &PromptPart) -> bool {
    part.as_str().starts_with(PREFIX)
}
