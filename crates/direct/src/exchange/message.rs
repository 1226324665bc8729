//! The messages between entries, and how they are encoded.

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

use super::Freshness;
use super::told::Told;
use crate::dispatcher::RolloutCounts;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::entry::Entry;
use crate::entry::Usage;
use crate::quota::AccountUse;
use crate::rollout::Answers;
use crate::rollout::Comparison;
use crate::rollout::End;

/// What one entry tells another; fields are only ever added at the end.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct UsageWire {
    pub(super) entry: EntryName,
    pub(super) incarnation: u64,
    pub(super) tables: u64,
    pub(super) endpoints: u64,
    is_whole: bool,
    in_flight: Vec<(EndpointKey, u32)>,
    accounts: Vec<AccountUseWire>,
    rollouts: Vec<RolloutUseWire>,
    #[serde(default)]
    leaving: Vec<IncarnationKey>,
    /// The entry's failure domain, with the whole of what it knows.
    #[serde(default)]
    pub(super) domain: Option<DomainName>,
    #[serde(default)]
    emptied: u64,
}

/// Most requests in flight at one endpoint that another entry is believed to have; more would
/// only make sums overflow.
const MAX_IN_FLIGHT: u32 = 1 << 16;

/// Says that what was given was taken.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) struct Taken;

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

impl From<Answers> for AnswersWire {
    fn from(a: Answers) -> Self {
        Self(a.sent, a.answered, a.bad, a.timed, a.slowness)
    }
}

impl From<AnswersWire> for Answers {
    fn from(AnswersWire(sent, answered, bad, timed, slowness): AnswersWire) -> Self {
        Self {
            sent,
            answered,
            bad,
            timed,
            slowness,
        }
    }
}

impl From<RolloutCounts> for RolloutUseWire {
    fn from(usage: RolloutCounts) -> Self {
        let answers = usage.answers.into_iter();
        Self {
            pool: usage.pool,
            id: usage.id,
            is_completed: usage.ended == Some(End::Completed),
            is_rolled_back: usage.ended == Some(End::RolledBack),
            answers: answers
                .map(|(route, c)| (route, c.new.into(), c.old.into()))
                .collect(),
        }
    }
}

impl From<RolloutUseWire> for RolloutCounts {
    fn from(wire: RolloutUseWire) -> Self {
        let ended = match (wire.is_rolled_back, wire.is_completed) {
            (true, _) => Some(End::RolledBack),
            (false, true) => Some(End::Completed),
            (false, false) => None,
        };
        let answers = wire.answers.into_iter();
        Self {
            pool: wire.pool,
            id: wire.id,
            ended,
            answers: answers
                .map(|(route, new, old)| {
                    let (new, old) = (new.into(), old.into());
                    (route, Comparison { new, old })
                })
                .collect(),
        }
    }
}

impl From<AccountUse> for AccountUseWire {
    fn from(usage: AccountUse) -> Self {
        Self {
            account: usage.account,
            admitted: whole(usage.admitted),
            asked: whole(usage.asked),
            level: whole(usage.level),
        }
    }
}

impl From<AccountUseWire> for AccountUse {
    fn from(wire: AccountUseWire) -> Self {
        Self {
            account: wire.account,
            admitted: wire.admitted as f64,
            asked: wire.asked as f64,
            level: wire.level as f64,
        }
    }
}

impl UsageWire {
    /// Returns what is to be told on a connection that has carried `told`.
    pub(super) fn of(entry: &Entry, freshness: Freshness, told: &mut Told) -> Self {
        let now = entry.cx().timers.now();
        let usage = told.changes(now, entry.usage());
        Self {
            entry: entry.identity().name.clone(),
            incarnation: entry.identity().incarnation,
            tables: freshness.tables,
            endpoints: freshness.endpoints,
            is_whole: usage.is_whole,
            in_flight: usage.in_flight,
            accounts: usage.accounts.into_iter().map(Into::into).collect(),
            rollouts: usage.rollouts.into_iter().map(Into::into).collect(),
            leaving: usage.leaving,
            domain: usage.is_whole.then(|| entry.identity().domain.clone()),
            emptied: freshness.emptied,
        }
    }

    /// Returns how new what the entry holds is.
    pub(super) const fn freshness(&self) -> Freshness {
        Freshness {
            tables: self.tables,
            endpoints: self.endpoints,
            emptied: self.emptied,
        }
    }
}

impl From<UsageWire> for Usage {
    fn from(wire: UsageWire) -> Self {
        let in_flight = wire.in_flight.into_iter();
        Self {
            is_whole: wire.is_whole,
            in_flight: in_flight
                .map(|(key, n)| (key, n.min(MAX_IN_FLIGHT)))
                .collect(),
            accounts: wire.accounts.into_iter().map(Into::into).collect(),
            rollouts: wire.rollouts.into_iter().map(Into::into).collect(),
            leaving: wire.leaving,
        }
    }
}

/// Rounds a count of units; a part of a unit does not matter to a quota.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the value is clamped to the range of the type"
)]
const fn whole(units: f64) -> i64 {
    units.clamp(-9e15, 9e15) as i64
}

pub(super) fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let bytes = rmp_serde::to_vec(message);
    bytes
        .map(Bytes::from)
        .map_err(|e| Error::with_source(Kind::Internal, "encode a message", e))
}

pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    rmp_serde::from_slice(body).map_err(|e| Error::with_source(Kind::Malformed, "message", e))
}
