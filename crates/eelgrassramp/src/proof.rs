//! Proof that a request did not run.
//!
//! Dispatching a request a second time takes a [`NotRun`] by value, so no code path can retry
//! on a guess: see `docs/design/retry.md`, "Proof".

use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::link::LinkError;
use crate::wire::Failure;
use crate::wire::RevokeReply;

/// Where a [`NotRun`] comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSource {
    /// No byte of the dispatch left this process.
    NotSent,
    /// The sidecar refused the request before it started.
    Refused,
    /// The sidecar promised that the request never started and never will.
    Revoked,
}

/// Proves that one dispatch had no effect and never will.
///
/// The fields are private; the functions of this module are the only way to a value, and each
/// one takes the evidence. It is neither `Clone` nor `Copy`: one proof pays for one retry.
#[derive(Debug)]
pub struct NotRun {
    source: ProofSource,
    cause: Error,
}

impl NotRun {
    /// Takes the proof out of a failed call, or gives the error back when it proves nothing.
    ///
    /// # Errors
    ///
    /// Returns the error of a call that may have reached the sidecar.
    pub fn from_link(err: LinkError) -> Result<Self, Error> {
        match err {
            LinkError::NotSent(cause) => Ok(Self {
                source: ProofSource::NotSent,
                cause,
            }),
            LinkError::Broken(cause) => Err(cause),
        }
    }

    /// Takes the proof out of a sidecar's refusal, or gives the failure back as an error.
    ///
    /// # Errors
    ///
    /// Returns the failure when the request ran or may have run.
    pub fn from_refusal(failure: Failure) -> Result<Self, Error> {
        match failure.ran {
            Ran::No => Ok(Self {
                source: ProofSource::Refused,
                cause: failure.into(),
            }),
            Ran::Maybe | Ran::Yes => Err(failure.into()),
        }
    }

    /// Takes the proof out of the reply to a revocation; any other reply proves nothing.
    #[must_use]
    pub fn from_revoke(reply: RevokeReply) -> Option<Self> {
        match reply {
            RevokeReply::NeverStarted => Some(Self {
                source: ProofSource::Revoked,
                cause: Error::new(Kind::Revoked, "the sidecar revoked the request unstarted"),
            }),
            RevokeReply::Running
            | RevokeReply::Finished
            | RevokeReply::OtherIncarnation(_)
            | RevokeReply::Forgotten => None,
        }
    }

    /// Returns where the proof comes from.
    #[must_use]
    pub const fn source(&self) -> ProofSource {
        self.source
    }

    /// Returns the kind of failure that led to the proof.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.cause.kind()
    }

    /// Ends the request with the failure that led to the proof.
    #[must_use]
    pub fn into_error(self) -> Error {
        self.cause
    }
}

/// The right to dispatch a request once.
///
/// A request is accepted with one; each dispatch takes it by value, and only a [`NotRun`] of
/// that dispatch gives another. A request can thus not be under way twice at a time.
#[derive(Debug)]
pub struct DispatchPermit {
    _private: (),
}

impl DispatchPermit {
    /// Gives a newly accepted request its right to be dispatched.
    #[must_use]
    pub(crate) const fn accepted() -> Self {
        Self { _private: () }
    }
}

impl From<NotRun> for DispatchPermit {
    fn from(_proof: NotRun) -> Self {
        Self { _private: () }
    }
}
