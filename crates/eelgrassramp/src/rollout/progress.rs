//! The stored progress of a move.

use std::fmt;

use bytes::Bytes;
use jiff::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use super::step::Step;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::FencingToken;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::tables::Move;

/// Key prefix of all moves in the object API.
pub const PREFIX: &str = "moves/";

/// Returns the key of the move of `pool`.
#[must_use]
pub fn key(pool: &PoolName) -> String {
    format!("{PREFIX}{pool}")
}

/// Phase of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The earliest start time has not been reached.
    Waiting,
    /// Endpoints are loading the new version.
    Loading,
    /// Traffic is shifted to the new version step by step.
    Ramping,
    /// Most traffic is on the new version; a holdback stays on the old one for comparison.
    Watching,
    /// All traffic is on the new version, which is still monitored.
    Done,
    /// The move was rolled back permanently because the new version regressed.
    TakenBack,
}

/// Status of a move as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The move has not started.
    Waiting,
    /// The move is in progress and expected to finish by its deadline.
    Underway,
    /// The move is in progress but has missed, or is expected to miss, its deadline.
    Late,
    /// The move is complete.
    Done,
    /// The move was rolled back.
    TakenBack,
}

impl Status {
    /// Returns the text shown to operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Underway => "under way",
            Self::Late => "late",
            Self::Done => "done",
            Self::TakenBack => "taken back",
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Progress of one route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteProgress {
    /// The route.
    pub route: RouteName,
    /// Its current step.
    pub step: Step,
}

/// The object `moves/<pool>`, written only by the holder of the pool's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The pool.
    pub pool: PoolName,
    /// The table version in which the move first appeared; identifies it together with the pool
    /// and the versions.
    pub tables: TableVersion,
    /// The version that traffic is shifted from.
    pub old: VersionName,
    /// The version that traffic is shifted to.
    pub new: VersionName,
    /// The deadline of the move.
    pub by: Timestamp,
    /// The earliest start time.
    pub not_before: Option<Timestamp>,
    /// The fencing token of the last writer.
    pub fence: FencingToken,
    /// Identifies the last write, so that its result can be determined after a lost reply.
    pub edit: RequestId,
    /// The current phase.
    pub phase: Phase,
    /// The evidence that led to the rollback.
    pub evidence: Option<String>,
    /// The reason why the move is late.
    pub late: Option<String>,
    /// The progress of each route.
    pub routes: Vec<RouteProgress>,
    /// When the move was first observed.
    pub began: Timestamp,
    /// When the last write was decided.
    pub updated: Timestamp,
}

impl Progress {
    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] if `value` is not valid progress of a move.
    pub fn from_bytes(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).map_err(|e| {
            Error::with_source(
                Kind::Malformed,
                "cannot decode the stored progress of a move",
                e,
            )
        })
    }

    /// Encodes the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] if the progress cannot be encoded as JSON.
    pub fn to_bytes(&self) -> Result<Bytes> {
        serde_json::to_vec(self).map(Bytes::from).map_err(|e| {
            Error::with_source(Kind::Internal, "cannot encode the progress of a move", e)
        })
    }

    /// Returns the status shown to operators.
    #[must_use]
    pub const fn status(&self) -> Status {
        match self.phase {
            Phase::TakenBack => Status::TakenBack,
            Phase::Done => Status::Done,
            _ if self.late.is_some() => Status::Late,
            Phase::Waiting => Status::Waiting,
            Phase::Loading | Phase::Ramping | Phase::Watching => Status::Underway,
        }
    }

    /// Returns the reason for the status, if any.
    #[must_use]
    pub fn reason(&self) -> Option<&str> {
        let reason = match self.status() {
            Status::TakenBack => &self.evidence,
            _ => &self.late,
        };
        reason.as_deref()
    }

    /// Returns whether this is the progress of the move specified in the pool table.
    #[must_use]
    pub fn is_of(&self, old: &VersionName, wanted: &Move) -> bool {
        self.old == *old
            && self.new == wanted.to
            && self.by == wanted.by
            && self.not_before == wanted.not_before
    }

    /// Returns the step of a route; [`Step::NONE`] if it was added after the move started.
    #[must_use]
    pub fn step_of(&self, route: &RouteName) -> Step {
        let known = self.routes.iter().find(|r| r.route == *route);
        known.map_or(Step::NONE, |r| r.step)
    }
}
