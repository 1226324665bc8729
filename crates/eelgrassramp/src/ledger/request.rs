//! What a ledger is asked and what it decides.

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
    /// Which attempt the dispatch is.
    pub attempt: Attempt,
    /// The life of the sidecar that the dispatch was meant for.
    pub incarnation: Incarnation,
    /// The sidecar's clock as the entry last heard it.
    pub mark: ClockMark,
    /// The idempotency key, when the caller gave one.
    pub key: Option<IdempotencyInfo>,
}

/// The part of a dispatch that concerns an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IdempotencyInfo {
    /// Identity of the key within its account.
    pub key: RequestId,
    /// Unix time in milliseconds at which the caller made the key, where the key tells it.
    pub made_ms: Option<u64>,
    /// Hash of the call, so that a key used for another call is noticed.
    pub fingerprint: u64,
    /// Whether the request must not run twice even across restarts of the sidecar.
    pub non_idempotent: bool,
}

/// What is to be done with a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request is new and is now in the ledger as waiting.
    Run,
    /// The request is known; its caller gets the answer of this request's first run.
    Attach(RequestId),
    /// The request is not run because of this dispatch.
    Refuse(Refusal),
}

/// Why a dispatch does not lead to a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request, or another one with its key, ran before.
    pub ran: Ran,
    /// What it concerns.
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
    /// The endpoint was provably never given the request.
    NotRun(Kind),
    /// The endpoint was given the request and the answer is not whole.
    MayHaveRun(Kind),
    /// The answer is whole.
    Complete,
}

/// The outcome of a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevokeOutcome {
    /// What the entry is told.
    pub reply: RevokeReply,
    /// Whether the request was waiting, so that it has to be taken out of the queue.
    pub was_waiting: bool,
}
