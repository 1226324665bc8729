//! Messages between entries and their encoding.

use bytes::Bytes;
use eelgrassramp::AccountName;
use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::PoolName;
use eelgrassramp::Result;
use eelgrassramp::RouteName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::StateVersions;
use super::sent_state::SentState;
use crate::dispatcher::RolloutCounts;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::entry::Entry;
use crate::entry::PeerUsage;
use crate::quota::AccountUsage;
use crate::rollout::Comparison;
use crate::rollout::ResponseStats;
use crate::rollout::RolloutOutcome;

/// Usage message of one entry to another. New fields must be added at the end, because fields are
/// encoded by position.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct UsageWire {
    pub(super) entry: EntryName,
    pub(super) incarnation: u64,
    pub(super) tables: u64,
    pub(super) endpoints: u64,
    #[serde(rename = "is_whole")]
    is_full: bool,
    in_flight: Vec<(EndpointKey, u32)>,
    accounts: Vec<AccountUseWire>,
    rollouts: Vec<RolloutUseWire>,
    #[serde(default)]
    leaving: Vec<IncarnationKey>,
    /// Failure domain of the entry; sent only with the full state.
    #[serde(default)]
    pub(super) domain: Option<DomainName>,
    #[serde(default)]
    emptied: u64,
}

/// Upper limit for the in-flight requests of one entry at one endpoint; larger received counts are
/// clamped so that totals cannot overflow.
const MAX_IN_FLIGHT: u32 = 1 << 16;

/// Acknowledges a pushed snapshot.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) struct Ack;

#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct AccountUseWire {
    account: AccountName,
    admitted: i64,
    asked: i64,
    level: i64,
}

#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct RolloutUseWire {
    pool: PoolName,
    id: u64,
    is_completed: bool,
    is_rolled_back: bool,
    answers: Vec<(RouteName, AnswersWire, AnswersWire)>,
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
struct AnswersWire(f64, f64, f64, f64, f64);

impl From<ResponseStats> for AnswersWire {
    fn from(a: ResponseStats) -> Self {
        Self(a.sent, a.finished, a.failed, a.timed, a.slowness_sum)
    }
}

impl From<AnswersWire> for ResponseStats {
    fn from(AnswersWire(sent, finished, failed, timed, slowness_sum): AnswersWire) -> Self {
        Self {
            sent,
            finished,
            failed,
            timed,
            slowness_sum,
        }
    }
}

impl From<RolloutCounts> for RolloutUseWire {
    fn from(usage: RolloutCounts) -> Self {
        let answers = usage.stats.into_iter();
        Self {
            pool: usage.pool,
            id: usage.id,
            is_completed: usage.outcome == Some(RolloutOutcome::Completed),
            is_rolled_back: usage.outcome == Some(RolloutOutcome::RolledBack),
            answers: answers
                .map(|(route, c)| (route, c.new.into(), c.old.into()))
                .collect(),
        }
    }
}

impl From<RolloutUseWire> for RolloutCounts {
    fn from(wire: RolloutUseWire) -> Self {
        let outcome = match (wire.is_rolled_back, wire.is_completed) {
            (true, _) => Some(RolloutOutcome::RolledBack),
            (false, true) => Some(RolloutOutcome::Completed),
            (false, false) => None,
        };
        let answers = wire.answers.into_iter();
        Self {
            pool: wire.pool,
            id: wire.id,
            outcome,
            stats: answers
                .map(|(route, new, old)| {
                    let (new, old) = (new.into(), old.into());
                    (route, Comparison { new, old })
                })
                .collect(),
        }
    }
}

impl From<AccountUsage> for AccountUseWire {
    fn from(usage: AccountUsage) -> Self {
        Self {
            account: usage.account,
            admitted: to_units(usage.admitted),
            asked: to_units(usage.demand_per_second),
            level: to_units(usage.level),
        }
    }
}

impl From<AccountUseWire> for AccountUsage {
    fn from(wire: AccountUseWire) -> Self {
        Self {
            account: wire.account,
            admitted: wire.admitted as f64,
            demand_per_second: wire.asked as f64,
            level: wire.level as f64,
        }
    }
}

impl UsageWire {
    /// Creates the next message for a connection and updates its `sent_state`.
    pub(super) fn of(
        entry: &Entry,
        state_versions: StateVersions,
        sent_state: &mut SentState,
    ) -> Self {
        let now = entry.cx().timers.now();
        let usage = sent_state.take_changes(now, entry.usage());
        Self {
            entry: entry.identity().name.clone(),
            incarnation: entry.identity().incarnation,
            tables: state_versions.tables,
            endpoints: state_versions.endpoints,
            is_full: usage.is_full,
            in_flight: usage.in_flight,
            accounts: usage.accounts.into_iter().map(Into::into).collect(),
            rollouts: usage.rollouts.into_iter().map(Into::into).collect(),
            leaving: usage.leaving,
            domain: usage.is_full.then(|| entry.identity().domain.clone()),
            emptied: state_versions.emptied,
        }
    }

    /// Returns the versions of the state that the sender holds.
    pub(super) const fn state_versions(&self) -> StateVersions {
        StateVersions {
            tables: self.tables,
            endpoints: self.endpoints,
            emptied: self.emptied,
        }
    }
}

impl From<UsageWire> for PeerUsage {
    fn from(wire: UsageWire) -> Self {
        let in_flight = wire.in_flight.into_iter();
        Self {
            is_full: wire.is_full,
            in_flight: in_flight
                .map(|(key, n)| (key, n.min(MAX_IN_FLIGHT)))
                .collect(),
            accounts: wire.accounts.into_iter().map(Into::into).collect(),
            rollouts: wire.rollouts.into_iter().map(Into::into).collect(),
            leaving: wire.leaving,
        }
    }
}

/// Converts units to an integer; quotas do not depend on fractions of a unit.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the value is clamped to the range of the type"
)]
const fn to_units(units: f64) -> i64 {
    units.clamp(-9e15, 9e15) as i64
}

pub(super) fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let bytes = rmp_serde::to_vec(message);
    bytes
        .map(Bytes::from)
        .map_err(|e| Error::with_source(Kind::Internal, "encode a message to another entry", e))
}

pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    rmp_serde::from_slice(body)
        .map_err(|e| Error::with_source(Kind::Malformed, "decode a message of another entry", e))
}
