//! One request's answer as it grows, shared by the run that writes it and all its readers.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;

use crate::error::Kind;
use crate::error::Ran;
use crate::wire::Header;
use crate::wire::Usage;

/// What is known of an answer so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) has_started: bool,
    pub(super) head: Option<Head>,
    pub(super) end: Option<End>,
    pieces: Vec<Piece>,
    length: u64,
}

/// Status and headers.
#[derive(Debug, Clone)]
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: Vec<Header>,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub(super) enum End {
    Whole(Usage),
    Failed {
        kind: Kind,
        ran: Ran,
        detail: String,
    },
}

#[derive(Debug)]
struct Piece {
    offset: u64,
    bytes: Bytes,
}

impl Progress {
    pub(super) const fn length(&self) -> u64 {
        self.length
    }

    /// Returns the rest of the piece that holds the byte at `offset`.
    pub(super) fn piece_at(&self, offset: u64) -> Option<Bytes> {
        let i = self.pieces.partition_point(|p| p.offset <= offset);
        let piece = self.pieces.get(i.checked_sub(1)?)?;
        let skip = crate::num::length(offset - piece.offset);
        let rest = piece.bytes.get(skip..)?;
        (!rest.is_empty()).then(|| piece.bytes.slice_ref(rest))
    }

    fn append(&mut self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        let offset = self.length;
        self.length += crate::num::count(bytes.len());
        self.pieces.push(Piece { offset, bytes });
    }

    fn drop_body(&mut self) {
        self.pieces = Vec::new();
    }
}

/// The writing side of one answer.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    tx: Arc<watch::Sender<Progress>>,
}

impl Answer {
    pub(super) fn new() -> Self {
        Self {
            tx: Arc::new(watch::Sender::new(Progress::default())),
        }
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.tx.subscribe()
    }

    pub(super) fn start(&self) {
        self.tx.send_modify(|p| p.has_started = true);
    }

    /// Takes the head in, unless one is known from before a resumption.
    pub(super) fn set_head(&self, head: Head) {
        self.tx.send_if_modified(|p| {
            let is_first = p.head.is_none();
            p.head.get_or_insert(head);
            is_first
        });
    }

    pub(super) fn append(&self, bytes: Bytes) {
        self.tx.send_modify(|p| p.append(bytes));
    }

    /// Ends the answer; only the first end counts.
    pub(super) fn end(&self, end: End) {
        self.tx.send_if_modified(|p| {
            let is_first = p.end.is_none();
            p.end.get_or_insert(end);
            is_first
        });
    }

    pub(super) fn drop_body(&self) {
        self.tx.send_modify(Progress::drop_body);
    }

    pub(super) fn length(&self) -> u64 {
        self.tx.borrow().length()
    }

    pub(super) fn has_head(&self) -> bool {
        self.tx.borrow().head.is_some()
    }

    pub(super) fn readers(&self) -> usize {
        self.tx.receiver_count()
    }
}
