//! Splits an event stream into whole events, so that a broken one is never passed on.

use bytes::Bytes;
use bytes::BytesMut;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;

/// Largest event in bytes; a stream with a longer one is no event stream.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Bytes before new ones in which the blank line that ends an event may begin.
const END_OVERLAP: usize = 3;

/// Collects bytes of an event stream and releases them event by event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns those that complete one or more events.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StreamBroken`] when no event ends within [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, data: &Bytes) -> Result<Bytes> {
        if self.partial.is_empty()
            && let Some(end) = end_of_last_event(data)
            && end == data.len()
        {
            self.note_ids(data);
            return Ok(data.clone());
        }
        let searched = self.partial.len().saturating_sub(END_OVERLAP);
        self.partial.extend_from_slice(data);
        let end = end_of_last_event(&self.partial[searched..]).map(|end| searched + end);
        let whole = self.partial.split_to(end.unwrap_or(0)).freeze();
        if self.partial.len() > MAX_EVENT_BYTES {
            let detail = format!("an event has more than {MAX_EVENT_BYTES} bytes");
            return Err(Error::new(Kind::StreamBroken, detail));
        }
        self.note_ids(&whole);
        Ok(whole)
    }

    /// Returns the bytes of an event that has not ended.
    #[must_use]
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Drops the bytes of an event that will not end.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes the bytes of an event that ended with the stream.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn note_ids(&mut self, events: &[u8]) {
        let mut ids = events.rsplit(|b| *b == b'\n').filter_map(id_of_line);
        if let Some(id) = ids.next() {
            self.last_id = Some(id);
        }
    }
}

fn id_of_line(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(rest).ok()?;
    text.trim().parse().ok()
}

/// Returns the position after the last blank line.
fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let unix = rfind(buf, b"\n\n").map(|at| at + 2);
    let dos = rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn rfind(buf: &[u8], needle: &[u8]) -> Option<usize> {
    buf.windows(needle.len()).rposition(|w| w == needle)
}
