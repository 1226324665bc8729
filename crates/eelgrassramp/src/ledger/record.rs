//! What a ledger keeps of each request and key.

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::Attempt;
use crate::id::RequestId;
use crate::time::Monotonic;

use super::request::RunOutcome;

/// One remembered request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    pub(super) attempt: Attempt,
    pub(super) key: Option<RequestId>,
    pub(super) state: State,
    /// When the retention began; an older note in a queue of ended requests is outdated.
    pub(super) ended_at: Monotonic,
}

/// How far a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum State {
    Waiting,
    Running,
    Ended(RunOutcome),
    Revoked,
    /// The request shares the run of another request with the same key.
    Attached(RequestId),
}

/// What is known of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum KeyState {
    Used {
        request: RequestId,
        fingerprint: u64,
    },
    Closed,
}

/// A note that the retention of a request or key began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Ended {
    pub(super) at: Monotonic,
    pub(super) id: RequestId,
}

impl State {
    pub(super) const fn is_ended(self) -> bool {
        matches!(self, Self::Ended(_) | Self::Revoked | Self::Attached(_))
    }

    pub(super) const fn is_not_run(self) -> bool {
        matches!(self, Self::Ended(RunOutcome::NotRun(_)) | Self::Revoked)
    }

    pub(super) const fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Ended(RunOutcome::Complete | RunOutcome::MayHaveRun(_))
        )
    }
}

impl Ended {
    pub(super) const fn new(at: Monotonic, id: RequestId) -> Self {
        Self { at, id }
    }
}

/// Takes the oldest note whose retention has passed.
pub(super) fn pop_older(
    queue: &mut VecDeque<Ended>,
    now: Monotonic,
    retention: Duration,
) -> Option<Ended> {
    let oldest = queue.front()?;
    if now.since(oldest.at) <= retention {
        return None;
    }
    queue.pop_front()
}
