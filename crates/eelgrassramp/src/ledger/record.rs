//! Records of requests and keys in a ledger.

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::Attempt;
use crate::id::RequestId;
use crate::time::Monotonic;

use super::request::RunOutcome;

/// Record of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    pub(super) attempt: Attempt,
    pub(super) key: Option<RequestId>,
    pub(super) state: State,
    /// Start of the retention time; an expiry queue entry with an earlier time is outdated.
    pub(super) ended_at: Monotonic,
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum State {
    Waiting,
    Running,
    Ended(RunOutcome),
    Revoked,
    /// The request shares the run of another request with the same key.
    Attached(RequestId),
}

/// State of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum KeyState {
    Used {
        request: RequestId,
        fingerprint: u64,
    },
    Closed,
}

/// Expiry queue entry: the time at which the retention of a request or key started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Expiry {
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

impl Expiry {
    pub(super) const fn new(at: Monotonic, id: RequestId) -> Self {
        Self { at, id }
    }
}

/// Removes and returns the oldest entry if its retention time has passed.
pub(super) fn pop_expired(
    queue: &mut VecDeque<Expiry>,
    now: Monotonic,
    retention: Duration,
) -> Option<Expiry> {
    let oldest = queue.front()?;
    if now.since(oldest.at) <= retention {
        return None;
    }
    queue.pop_front()
}
