//! What a usage message says about its facts beyond what builds before this one read.
//!
//! Details follow the usage as a second MessagePack value. Builds that do not know them read only the
//! first value, and fields that a build does not know are skipped, because details are a map.

use serde::Deserialize;
use serde::Serialize;

use super::super::provenance::MessageId;
use super::pool_shares::PoolSharesWire;
use super::rollout_counts::RolloutDetailsWire;

/// Details of a usage message; all of them are missing in messages of earlier builds.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub(super) struct DetailsWire {
    /// Number of the message among those of the sending process.
    pub(super) seq: Option<u64>,
    /// The last message of the receiver that the sender had read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) seen: Option<MessageId>,
    /// Whether the sender did not use an earlier message, so that all facts are to be sent again.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) wants_all: bool,
    /// Details of each rollout, in the order of the usage.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) rollouts: Vec<RolloutDetailsWire>,
    /// Milliseconds since the sender found each blocked part or was asked for it, in the order of the
    /// usage.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) blocked_ages_ms: Vec<u64>,
    /// Work granted to accounts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) pool_shares: Vec<PoolSharesWire>,
    /// Version of the rollout orders that the sender holds.
    #[serde(skip_serializing_if = "is_unset")]
    pub(super) orders: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
const fn is_unset(version: &u64) -> bool {
    *version == 0
}
