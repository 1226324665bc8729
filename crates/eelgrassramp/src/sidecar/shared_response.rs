//! A response under construction, shared by the run that writes it and all of its readers.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;

use crate::error::Kind;
use crate::error::Ran;
use crate::wire::Header;
use crate::wire::Usage;

/// The part of a response received so far.
#[derive(Debug, Default)]
pub(super) struct ResponseState {
    pub(super) has_started: bool,
    pub(super) head: Option<ResponseHead>,
    pub(super) end: Option<ResponseEnd>,
    chunks: Vec<Chunk>,
    length: u64,
}

/// Status and headers.
#[derive(Debug, Clone)]
pub(super) struct ResponseHead {
    pub(super) status: u16,
    pub(super) headers: Vec<Header>,
}

/// The end of a response.
#[derive(Debug, Clone)]
pub(super) enum ResponseEnd {
    Complete(Usage),
    Failed {
        kind: Kind,
        ran: Ran,
        detail: String,
    },
}

#[derive(Debug)]
struct Chunk {
    offset: u64,
    bytes: Bytes,
}

impl ResponseState {
    pub(super) const fn length(&self) -> u64 {
        self.length
    }

    /// Returns the rest of the chunk that contains the byte at `offset`.
    pub(super) fn chunk_at(&self, offset: u64) -> Option<Bytes> {
        let i = self.chunks.partition_point(|p| p.offset <= offset);
        let chunk = self.chunks.get(i.checked_sub(1)?)?;
        let skip = crate::num::length(offset - chunk.offset);
        let rest = chunk.bytes.get(skip..)?;
        (!rest.is_empty()).then(|| chunk.bytes.slice_ref(rest))
    }

    fn append(&mut self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        let offset = self.length;
        self.length += crate::num::count(bytes.len());
        self.chunks.push(Chunk { offset, bytes });
    }

    fn discard_body(&mut self) {
        self.chunks = Vec::new();
    }
}

/// The writing side of one response.
#[derive(Debug, Clone)]
pub(super) struct SharedResponse {
    tx: Arc<watch::Sender<ResponseState>>,
}

impl SharedResponse {
    pub(super) fn new() -> Self {
        Self {
            tx: Arc::new(watch::Sender::new(ResponseState::default())),
        }
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<ResponseState> {
        self.tx.subscribe()
    }

    pub(super) fn mark_started(&self) {
        self.tx.send_modify(|p| p.has_started = true);
    }

    /// Sets the head unless one was received before the stream was resumed.
    pub(super) fn set_head(&self, head: ResponseHead) {
        self.tx.send_if_modified(|p| {
            let is_first = p.head.is_none();
            p.head.get_or_insert(head);
            is_first
        });
    }

    pub(super) fn append(&self, bytes: Bytes) {
        self.tx.send_modify(|p| p.append(bytes));
    }

    /// Ends the response; later calls have no effect.
    pub(super) fn end(&self, end: ResponseEnd) {
        self.tx.send_if_modified(|p| {
            let is_first = p.end.is_none();
            p.end.get_or_insert(end);
            is_first
        });
    }

    pub(super) fn discard_body(&self) {
        self.tx.send_modify(ResponseState::discard_body);
    }

    pub(super) fn length(&self) -> u64 {
        self.tx.borrow().length()
    }

    pub(super) fn has_head(&self) -> bool {
        self.tx.borrow().head.is_some()
    }

    pub(super) fn reader_count(&self) -> usize {
        self.tx.receiver_count()
    }
}
