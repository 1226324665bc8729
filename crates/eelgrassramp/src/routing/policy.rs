//! The ways to choose among usable endpoints.

use serde::Deserialize;
use serde::Serialize;

/// How an endpoint is chosen; all but the first are baselines to compare with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The earliest expected completion among a few candidates.
    #[default]
    ExpectedCompletion,
    /// As the first, but without knowledge of prefix caches.
    NoCacheAffinity,
    /// The fewest requests of this entry in progress.
    LeastOutstanding,
    /// Each endpoint in turn.
    RoundRobin,
}

impl Policy {
    /// Tells whether prefix caches count.
    #[must_use]
    pub const fn uses_prefix(self) -> bool {
        matches!(self, Self::ExpectedCompletion)
    }

    /// Tells whether the policy is one of the baselines, which ignore load reports.
    #[must_use]
    pub const fn ignores_load(self) -> bool {
        matches!(self, Self::LeastOutstanding | Self::RoundRobin)
    }
}
