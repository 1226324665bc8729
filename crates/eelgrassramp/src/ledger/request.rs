//! Inputs and decisions of a ledger.

use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::id::Attempt;
use crate::id::ClockMark;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::wire::RevokeReply;

/// The part of a dispatch that decides whether the request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DispatchHeader {
    /// The request.
    pub request: RequestId,
    /// Attempt number of the dispatch.
    pub attempt: Attempt,
    /// Incarnation of the sidecar that the dispatch is addressed to.
    pub incarnation: Incarnation,
    /// Clock mark that the sidecar last reported to the entry.
    pub mark: ClockMark,
    /// The idempotency key, if the caller sent one.
    pub key: Option<IdempotencyInfo>,
}

/// The part of a dispatch that concerns an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IdempotencyInfo {
    /// Identity of the key within its account.
    pub key: RequestId,
    /// Unix time in milliseconds at which the caller created the key, if the key contains it.
    pub made_ms: Option<u64>,
    /// Hash of the call, to detect a key that is reused for a different call.
    pub fingerprint: u64,
    /// Whether the request must not run twice even across restarts of the sidecar.
    pub non_idempotent: bool,
}

/// How a dispatch is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request is new and is now recorded as waiting.
    Run,
    /// The request or its key is recorded; the caller gets the answer of this request's run.
    Attach(RequestId),
    /// This dispatch does not start a run.
    Refuse(Refusal),
}

/// Reason for which a dispatch does not start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request, or another one with the same key, ran before.
    pub ran: Ran,
    /// Detail for the error message.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: Ran::No,
            detail: detail.into(),
        }
    }

    /// Creates a refusal of a request that may have run before.
    pub fn may_have_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: Ran::Maybe,
            detail: detail.into(),
        }
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        Self::new(refusal.kind, refusal.detail)
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The request was never sent to the endpoint.
    NotRun(Kind),
    /// The request was sent to the endpoint and the answer is incomplete.
    MayHaveRun(Kind),
    /// The answer is complete.
    Complete,
}

/// The outcome of a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevokeOutcome {
    /// Reply to the entry.
    pub reply: RevokeReply,
    /// Whether the request was waiting and has to be removed from the queue.
    pub was_waiting: bool,
}
