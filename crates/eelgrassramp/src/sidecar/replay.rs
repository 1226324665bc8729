//! Which finished answers are kept for entries that ask again.

use std::collections::VecDeque;

use crate::id::RequestId;

/// Keeps the newest finished answers within a budget of bytes.
#[derive(Debug)]
pub(super) struct Replay {
    budget: usize,
    bytes: usize,
    kept: VecDeque<Kept>,
}

#[derive(Debug)]
struct Kept {
    request: RequestId,
    bytes: usize,
}

impl Replay {
    pub(super) const fn new(budget: usize) -> Self {
        Self {
            budget,
            bytes: 0,
            kept: VecDeque::new(),
        }
    }

    /// Adds a finished answer and returns those whose bodies have to go.
    pub(super) fn push(&mut self, request: RequestId, bytes: usize) -> Vec<RequestId> {
        self.bytes += bytes;
        self.kept.push_back(Kept { request, bytes });
        let mut gone = Vec::new();
        while self.bytes > self.budget {
            let Some(oldest) = self.kept.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes;
            gone.push(oldest.request);
        }
        gone
    }
}
