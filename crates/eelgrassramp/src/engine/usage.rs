//! Extracts the token counts and the end marker from a response while it is forwarded.

use bytes::BytesMut;
use serde::Deserialize;

use crate::wire::Usage;

const MAX_SCANNED_BYTES: usize = 256 * 1024;
const EVENT_PREFIX: &[u8] = b"data:";
const END_MARKER: &[u8] = b"[DONE]";

/// Scans the body of one response.
#[derive(Debug)]
pub(super) struct UsageScanner {
    is_event_stream: bool,
    pending: BytesMut,
    usage: Usage,
    has_end_marker: bool,
}

#[derive(Deserialize)]
struct Body {
    usage: Option<BodyUsage>,
}

#[derive(Deserialize)]
struct BodyUsage {
    #[serde(default, rename = "prompt_tokens")]
    prompt: u32,
    #[serde(default, rename = "cached_tokens")]
    cached: u32,
    #[serde(default, rename = "completion_tokens")]
    completion: u32,
}

impl From<BodyUsage> for Usage {
    fn from(body: BodyUsage) -> Self {
        Self {
            prefill_tokens: body.prompt.saturating_sub(body.cached),
            cached_tokens: body.cached,
            output_tokens: body.completion,
        }
    }
}

impl UsageScanner {
    pub(super) fn new(is_event_stream: bool) -> Self {
        Self {
            is_event_stream,
            pending: BytesMut::new(),
            usage: Usage::default(),
            has_end_marker: false,
        }
    }

    /// Scans a chunk of the body.
    pub(super) fn scan(&mut self, bytes: &[u8]) {
        if self.pending.len() + bytes.len() > MAX_SCANNED_BYTES {
            self.pending.clear();
        }
        self.pending.extend_from_slice(bytes);
        if self.is_event_stream {
            self.scan_lines();
        }
    }

    /// Returns the token counts after the end of the body.
    pub(super) fn finish(&mut self) -> Usage {
        if !self.is_event_stream {
            let body = self.pending.split();
            self.read_usage(&body);
        }
        self.usage
    }

    /// Returns whether the end marker was seen; only event streams have one.
    pub(super) const fn is_complete(&self) -> bool {
        !self.is_event_stream || self.has_end_marker
    }

    fn scan_lines(&mut self) {
        while let Some(end) = self.pending.iter().position(|b| *b == b'\n') {
            let line = self.pending.split_to(end + 1);
            let Some(data) = line.strip_prefix(EVENT_PREFIX) else {
                continue;
            };
            let data = data.trim_ascii();
            if data == END_MARKER {
                self.has_end_marker = true;
            } else {
                self.read_usage(data);
            }
        }
    }

    fn read_usage(&mut self, json: &[u8]) {
        if let Ok(Body { usage: Some(usage) }) = serde_json::from_slice(json) {
            self.usage = usage.into();
        }
    }
}
