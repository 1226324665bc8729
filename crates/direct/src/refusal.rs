//! An error together with what the caller is told about coming back.

use std::time::Duration;

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Ran;

/// The answer to a request that this system ends by itself.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) error: Error,
    /// Time after which the caller may come back; `None` takes the kind's own.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn with_retry_after(
        kind: Kind,
        detail: impl Into<Box<str>>,
        wait: Duration,
    ) -> Self {
        Self {
            error: Error::new(kind, detail),
            retry_after: Some(wait),
        }
    }

    /// Withdraws the claim that the request did not run when an earlier send may have run it.
    pub(crate) fn with_prior_runs(self, runs: u32) -> Self {
        if runs == 0 || self.error.kind().answer().ran != Ran::No {
            return self;
        }
        let detail = self.error.to_string();
        Self::from(Error::new(Kind::OutcomeUnknown, detail))
    }

    /// Returns the HTTP status.
    pub(crate) const fn status(&self) -> u16 {
        self.error.kind().answer().status
    }

    /// Returns when the caller may come back, if at all.
    pub(crate) fn retry_delay(&self) -> Option<Duration> {
        self.retry_after
            .or_else(|| self.error.kind().answer().retry_after)
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        Self {
            error,
            retry_after: None,
        }
    }
}
