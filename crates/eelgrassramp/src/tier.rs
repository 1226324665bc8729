//! Priority tiers of requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Priority tier of a request; the most urgent tier compares lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Order placement, deposits and booking charges.
    Order,
    /// Requests that a person waits for.
    Interactive,
    /// Checks and answers that are needed soon.
    Standard,
    /// Drafts and summaries.
    Draft,
    /// Background work that nobody waits for.
    Batch,
}

impl Tier {
    /// All tiers, most urgent first.
    pub const ALL: [Self; 5] = [
        Self::Order,
        Self::Interactive,
        Self::Standard,
        Self::Draft,
        Self::Batch,
    ];

    /// Returns the rank; the most urgent tier has rank 0.
    #[must_use]
    pub const fn rank(self) -> usize {
        self as usize
    }

    /// Returns the name used in tables, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Draft => "draft",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
