//! Messages between entries and their encoding.

mod crash_evidence;
mod details;
mod pool_shares;
mod rollout_counts;
mod state;

use bytes::Bytes;
use eelgrassramp::AccountName;
use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use self::crash_evidence::CrashEvidenceWire;
use self::crash_evidence::blocked_ages_ms;
use self::details::DetailsWire;
use self::rollout_counts::RolloutCountsWire;
use self::rollout_counts::RolloutDetailsWire;
use super::StateVersions;
use super::provenance::MessageId;
use super::provenance::Provenance;
use super::sent_state::SentState;
use crate::dispatcher::RateLimitReport;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::entry::Entry;
use crate::entry::SharedState;
use crate::quota::AccountUsage;

/// Usage message of one entry to another: its shared state and the versions of its tables,
/// endpoints, evacuated failure domains and rollout orders.
#[derive(Debug, Clone)]
pub(super) struct UsageMessage {
    pub(super) usage: UsageWire,
    details: DetailsWire,
}

/// The part of a usage message that all builds read. Fields are encoded by position, so a new one
/// belongs into [`DetailsWire`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct UsageWire {
    pub(super) entry: EntryName,
    pub(super) incarnation: u64,
    pub(super) tables: u64,
    endpoints: u64,
    #[serde(rename = "is_whole")]
    has_all_in_flight: bool,
    in_flight: Vec<(EndpointKey, u32)>,
    accounts: Vec<AccountUsageWire>,
    rollouts: Vec<RolloutCountsWire>,
    #[serde(rename = "leaving")]
    #[serde(default)]
    draining: Vec<IncarnationKey>,
    /// Failure domain of the entry; sent only with all in-flight counts.
    #[serde(default)]
    pub(super) domain: Option<DomainName>,
    #[serde(rename = "emptied")]
    #[serde(default)]
    evacuated: u64,
    /// Left out if it and all later fields are empty, because a build without this field cannot decode
    /// a message with it.
    #[serde(default)]
    #[serde(skip_serializing_if = "Option::is_none")]
    rate_limits: Option<Vec<RateLimitReportWire>>,
    /// Left out if it is empty, for the same reason.
    #[serde(default)]
    #[serde(skip_serializing_if = "Option::is_none")]
    crash_evidence: Option<CrashEvidenceWire>,
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
struct AccountUsageWire {
    account: AccountName,
    admitted: i64,
    #[serde(rename = "asked")]
    demand: i64,
    level: i64,
}

/// Endpoint and its limit in requests per second, if one is in force.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
struct RateLimitReportWire(IncarnationKey, Option<f64>);

impl RateLimitReportWire {
    fn is_valid(&self) -> bool {
        self.1.is_none_or(|rate| rate.is_finite() && rate >= 0.0)
    }
}

impl From<RateLimitReport> for RateLimitReportWire {
    fn from(report: RateLimitReport) -> Self {
        Self(report.endpoint, report.per_second)
    }
}

impl From<RateLimitReportWire> for RateLimitReport {
    fn from(RateLimitReportWire(endpoint, per_second): RateLimitReportWire) -> Self {
        Self {
            endpoint,
            per_second,
        }
    }
}

impl From<AccountUsage> for AccountUsageWire {
    fn from(usage: AccountUsage) -> Self {
        Self {
            account: usage.account,
            admitted: to_units(usage.admitted),
            demand: to_units(usage.demand_per_second),
            level: to_units(usage.level),
        }
    }
}

impl From<AccountUsageWire> for AccountUsage {
    fn from(wire: AccountUsageWire) -> Self {
        Self {
            account: wire.account,
            admitted: wire.admitted as f64,
            demand_per_second: wire.demand as f64,
            level: wire.level as f64,
        }
    }
}

/// What the exchange adds to the shared state of a message.
#[derive(Debug, Clone, Copy)]
pub(super) struct Envelope {
    /// Number of the message.
    pub(super) seq: u64,
    /// The last message read from the receiver.
    pub(super) seen: Option<MessageId>,
    /// Whether the receiver has to send all facts again.
    pub(super) wants_all: bool,
    /// Versions of the state that the sender holds.
    pub(super) versions: StateVersions,
}

impl UsageMessage {
    /// Creates the next message to a peer and updates `sent_state` accordingly.
    pub(super) fn of(entry: &Entry, envelope: Envelope, sent_state: &mut SentState) -> Self {
        let now = entry.cx().timers.now();
        let update = sent_state.next_update(now, entry.shared_state());
        let rollouts = update.rollouts.iter().filter_map(|counts| {
            let order = counts.order.as_ref()?;
            Some(RolloutDetailsWire::new(order, counts.decision))
        });
        let details = DetailsWire {
            seq: Some(envelope.seq),
            seen: envelope.seen,
            wants_all: envelope.wants_all,
            rollouts: rollouts.collect(),
            blocked_ages_ms: blocked_ages_ms(&update.crash_evidence),
            pool_shares: update.pool_shares.into_iter().map(Into::into).collect(),
            orders: envelope.versions.orders,
        };
        let crash_evidence = Some(update.crash_evidence).filter(|evidence| !evidence.is_empty());
        let has_rate_limits = !update.rate_limits.is_empty() || crash_evidence.is_some();
        let rate_limits = update.rate_limits.into_iter().map(Into::into).collect();
        let usage = UsageWire {
            entry: entry.identity().name.clone(),
            incarnation: entry.identity().incarnation,
            tables: envelope.versions.tables,
            endpoints: envelope.versions.endpoints,
            has_all_in_flight: update.has_all_in_flight,
            in_flight: update.in_flight,
            accounts: update.accounts.into_iter().map(Into::into).collect(),
            rollouts: update.rollouts.into_iter().map(Into::into).collect(),
            draining: update.draining,
            domain: update
                .has_all_in_flight
                .then(|| entry.identity().domain.clone()),
            evacuated: envelope.versions.evacuated,
            rate_limits: has_rate_limits.then_some(rate_limits),
            crash_evidence: crash_evidence.map(Into::into),
        };
        Self { usage, details }
    }

    /// Returns where the message comes from.
    pub(super) const fn provenance(&self) -> Provenance {
        Provenance {
            incarnation: self.usage.incarnation,
            seq: self.details.seq,
            seen: self.details.seen,
        }
    }

    /// Returns whether the sender has to be sent all facts again.
    pub(super) const fn wants_all(&self) -> bool {
        self.details.wants_all
    }

    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when it cannot be encoded.
    pub(super) fn encode(&self) -> Result<Bytes> {
        encode_with_details(&self.usage, &self.details)
    }

    /// Decodes a message of this or an earlier build.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] when it cannot be read.
    pub(super) fn decode(body: &[u8]) -> Result<Self> {
        let (usage, details) = decode_with_details(body)?;
        Ok(Self { usage, details })
    }

    /// Returns the versions of the state that the sender holds.
    pub(super) const fn state_versions(&self) -> StateVersions {
        StateVersions {
            tables: self.usage.tables,
            endpoints: self.usage.endpoints,
            evacuated: self.usage.evacuated,
            orders: self.details.orders,
        }
    }
}

impl From<UsageMessage> for SharedState {
    fn from(
        UsageMessage {
            usage: wire,
            details,
        }: UsageMessage,
    ) -> Self {
        let has_details = details.rollouts.len() == wire.rollouts.len();
        let mut orders = details.rollouts.into_iter().filter(|_| has_details);
        let in_flight = wire.in_flight.into_iter();
        let rate_limits = wire.rate_limits.unwrap_or_default().into_iter();
        let rate_limits = rate_limits.filter(RateLimitReportWire::is_valid);
        Self {
            has_all_in_flight: wire.has_all_in_flight,
            in_flight: in_flight
                .map(|(key, n)| (key, n.min(MAX_IN_FLIGHT)))
                .collect(),
            accounts: wire.accounts.into_iter().map(Into::into).collect(),
            rollouts: wire
                .rollouts
                .into_iter()
                .map(|counts| counts.into_counts(orders.next()))
                .collect(),
            draining: wire.draining,
            rate_limits: rate_limits.map(Into::into).collect(),
            pool_shares: details.pool_shares.into_iter().map(Into::into).collect(),
            crash_evidence: wire
                .crash_evidence
                .map(|evidence| evidence.into_evidence(&details.blocked_ages_ms))
                .unwrap_or_default(),
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
    encode_value(message, rmp_serde::to_vec).map(Bytes::from)
}

/// Encodes a value that all builds read by position, and after it the details, which builds that do not
/// know them leave unread.
fn encode_with_details<T: Serialize, D: Serialize>(value: &T, details: &D) -> Result<Bytes> {
    let mut body = encode_value(value, rmp_serde::to_vec)?;
    body.extend(encode_value(details, rmp_serde::to_vec_named)?);
    Ok(Bytes::from(body))
}

fn encode_value<T: Serialize>(
    value: &T,
    encode: fn(&T) -> std::result::Result<Vec<u8>, rmp_serde::encode::Error>,
) -> Result<Vec<u8>> {
    encode(value)
        .map_err(|e| Error::with_source(Kind::Internal, "cannot encode a message to a peer", e))
}

pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    rmp_serde::from_slice(body).map_err(malformed)
}

/// Decodes a value and its details, which messages of earlier builds do not have.
fn decode_with_details<T: DeserializeOwned, D: DeserializeOwned + Default>(
    body: &[u8],
) -> Result<(T, D)> {
    let mut rest = body;
    let value = rmp_serde::from_read(&mut rest).map_err(malformed)?;
    let details = if rest.is_empty() {
        D::default()
    } else {
        decode(rest)?
    };
    Ok((value, details))
}

fn malformed(e: rmp_serde::decode::Error) -> Error {
    Error::with_source(Kind::Malformed, "cannot decode a message of a peer", e)
}
