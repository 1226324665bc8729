//! Splits a server-sent event stream into complete events, so that a truncated one is never
//! forwarded.

use bytes::Bytes;
use bytes::BytesMut;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;

/// Maximum size of an event in bytes; a stream that exceeds it is treated as broken.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Number of buffered bytes to search again when new data arrives, because the blank line that ends
/// an event may span both.
const TERMINATOR_OVERLAP: usize = 3;

/// Buffers the bytes of an event stream and returns them in complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends data and returns the bytes of all events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StreamBroken`] when no event ends within [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, data: &Bytes) -> Result<Bytes> {
        if self.partial.is_empty()
            && let Some(end) = end_of_last_event(data)
            && end == data.len()
        {
            self.record_last_id(data);
            return Ok(data.clone());
        }
        let search_start = self.partial.len().saturating_sub(TERMINATOR_OVERLAP);
        self.partial.extend_from_slice(data);
        let end = end_of_last_event(&self.partial[search_start..]).map(|end| search_start + end);
        let complete = self.partial.split_to(end.unwrap_or(0)).freeze();
        if self.partial.len() > MAX_EVENT_BYTES {
            let detail = format!("event in the stream exceeds {MAX_EVENT_BYTES} bytes");
            return Err(Error::new(Kind::StreamBroken, detail));
        }
        self.record_last_id(&complete);
        Ok(complete)
    }

    /// Returns the buffered bytes of the incomplete event.
    #[must_use]
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Discards the buffered bytes of the incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes the buffered bytes of the last event if the stream ended without a final blank line.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn record_last_id(&mut self, events: &[u8]) {
        let mut ids = events.rsplit(|b| *b == b'\n').filter_map(parse_id_line);
        if let Some(id) = ids.next() {
            self.last_id = Some(id);
        }
    }
}

fn parse_id_line(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(rest).ok()?;
    text.trim().parse().ok()
}

/// Returns the offset after the last blank line.
fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let lf_end = rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf_end = rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    lf_end.max(crlf_end)
}

fn rfind(buf: &[u8], needle: &[u8]) -> Option<usize> {
    buf.windows(needle.len()).rposition(|w| w == needle)
}
