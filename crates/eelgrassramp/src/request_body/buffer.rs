//! A body while it is received.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use super::RequestBody;
use super::budget::Reservation;
use crate::error::Result;

/// Size of the first block of a body that declares no length.
const MIN_BLOCK_BYTES: usize = 4 * 1024;

/// Maximum size of a block.
///
/// The allocator takes larger ones from the operating system and gives them back late.
pub(super) const MAX_BLOCK_BYTES: usize = 32 * 1024;

/// A body of which a part was received.
///
/// It grows by blocks, each of which is reserved before it is allocated. A caller that declares a large body
/// costs no memory for what it does not send, and blocks of ended requests have the size of the next ones.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    full: Vec<Bytes>,
    full_bytes: usize,
    last: BytesMut,
    declared_bytes: Option<usize>,
    reservation: Reservation,
}

impl BodyBuffer {
    pub(super) fn new(declared_bytes: Option<usize>, reservation: Reservation) -> Self {
        Self {
            full: Vec::new(),
            full_bytes: 0,
            last: BytesMut::new(),
            declared_bytes,
            reservation,
        }
    }

    pub(super) fn extend_from_slice(&mut self, mut data: &[u8]) -> Result<()> {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.start_block()?;
            }
            let n = data.len().min(self.last.capacity() - self.last.len());
            let (head, rest) = data.split_at(n);
            self.last.extend_from_slice(head);
            data = rest;
        }
        Ok(())
    }

    fn start_block(&mut self) -> Result<()> {
        self.end_block();
        let bytes = self.next_block_bytes();
        self.reservation.extend(bytes)?;
        self.last = BytesMut::with_capacity(bytes);
        Ok(())
    }

    fn end_block(&mut self) {
        if !self.last.is_empty() {
            self.full_bytes += self.last.len();
            self.full.push(std::mem::take(&mut self.last).freeze());
        }
    }

    /// Returns the size of the next block: no more than what is missing of a declared length, and otherwise as
    /// much as was received.
    fn next_block_bytes(&self) -> usize {
        match self.declared_bytes {
            Some(bytes) => bytes
                .saturating_sub(self.full_bytes)
                .clamp(1, MAX_BLOCK_BYTES),
            None => self.full_bytes.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES),
        }
    }

    pub(super) fn freeze(mut self) -> RequestBody {
        self.end_block();
        RequestBody {
            blocks: self.full.into(),
            reservation: Arc::new(self.reservation),
        }
    }
}
