//! Endpoint selection policies.

use serde::Deserialize;
use serde::Serialize;

/// How an endpoint is selected. All policies except the default exist for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The lowest expected completion time among a few candidates.
    #[default]
    ExpectedCompletion,
    /// Like [`Policy::ExpectedCompletion`], but ignores prefix caches.
    NoCacheAffinity,
    /// The fewest outstanding requests from this entry.
    LeastOutstanding,
    /// All endpoints in rotation.
    RoundRobin,
}

impl Policy {
    /// Returns whether the policy considers prefix caches.
    #[must_use]
    pub const fn uses_prefix(self) -> bool {
        matches!(self, Self::ExpectedCompletion)
    }

    /// Returns whether the policy ignores load reports.
    #[must_use]
    pub const fn ignores_load(self) -> bool {
        matches!(self, Self::LeastOutstanding | Self::RoundRobin)
    }
}
