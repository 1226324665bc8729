//! Selects the finished responses whose bodies are retained for entries that reattach.

use std::collections::VecDeque;

use crate::id::RequestId;

/// Retains the newest finished responses up to a total size.
#[derive(Debug)]
pub(super) struct Replay {
    max_bytes: usize,
    bytes: usize,
    retained: VecDeque<RetainedResponse>,
}

#[derive(Debug)]
struct RetainedResponse {
    request: RequestId,
    bytes: usize,
}

impl Replay {
    pub(super) const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            retained: VecDeque::new(),
        }
    }

    /// Adds a finished response and returns the requests whose bodies have to be discarded.
    pub(super) fn push(&mut self, request: RequestId, bytes: usize) -> Vec<RequestId> {
        self.bytes += bytes;
        self.retained.push_back(RetainedResponse { request, bytes });
        let mut evicted = Vec::new();
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.retained.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes;
            evicted.push(oldest.request);
        }
        evicted
    }
}
