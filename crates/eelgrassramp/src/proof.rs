//! Types that prove that a request did not run.
//!
//! A second dispatch of a request consumes a [`NotRun`], so no code path can retry without proof:
//! see `docs/design/retry.md`, "Proof".

use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::link::LinkError;
use crate::wire::Failure;
use crate::wire::RevokeReply;

/// Origin of a [`NotRun`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSource {
    /// No byte of the dispatch left this process.
    NotSent,
    /// The sidecar refused the request before it started.
    Refused,
    /// The sidecar confirmed that the request never started and never will.
    Revoked,
}

/// Proof that one dispatch had no effect and never will.
///
/// The fields are private, so a value can only be created by the functions of this module, which
/// all require evidence. It is neither `Clone` nor `Copy`: one proof allows one retry.
#[derive(Debug)]
pub struct NotRun {
    source: ProofSource,
    cause: Error,
}

impl NotRun {
    /// Converts a failed call into a proof, or returns the error if it proves nothing.
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

    /// Converts a sidecar's refusal into a proof, or returns the failure as an error.
    ///
    /// # Errors
    ///
    /// Returns the failure if the request ran or may have run.
    pub fn from_refusal(failure: Failure) -> Result<Self, Error> {
        match failure.ran {
            Ran::No => Ok(Self {
                source: ProofSource::Refused,
                cause: failure.into(),
            }),
            Ran::Maybe | Ran::Yes => Err(failure.into()),
        }
    }

    /// Converts the reply to a revocation into a proof, or returns `None` if the reply proves
    /// nothing.
    #[must_use]
    pub fn from_revoke(reply: RevokeReply) -> Option<Self> {
        match reply {
            RevokeReply::NeverStarted => Some(Self {
                source: ProofSource::Revoked,
                cause: Error::new(
                    Kind::Revoked,
                    "the sidecar revoked the request before it started",
                ),
            }),
            RevokeReply::Running
            | RevokeReply::Finished
            | RevokeReply::OtherIncarnation(_)
            | RevokeReply::Forgotten => None,
        }
    }

    /// Returns the origin of the proof.
    #[must_use]
    pub const fn source(&self) -> ProofSource {
        self.source
    }

    /// Returns the kind of failure that led to the proof.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.cause.kind()
    }

    /// Returns the failure that led to the proof, to end the request with it.
    #[must_use]
    pub fn into_error(self) -> Error {
        self.cause
    }
}

/// Permission to dispatch a request once.
///
/// A request gets one permit when it is accepted. Each dispatch consumes the permit, and only a
/// [`NotRun`] of that dispatch yields a new one, so a request is never dispatched twice at the same
/// time.
#[derive(Debug)]
pub struct DispatchPermit {
    _private: (),
}

impl DispatchPermit {
    /// Creates the permit of a newly accepted request.
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
