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

/// Prefix of the keys of all moves.
pub const PREFIX: &str = "moves/";

/// Returns the key of the move of `pool`.
#[must_use]
pub fn key(pool: &PoolName) -> String {
    format!("{PREFIX}{pool}")
}

/// How far a move has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The earliest time to begin has not come.
    Waiting,
    /// Endpoints load the new version.
    Loading,
    /// Traffic moves over, step by step.
    Ramping,
    /// Nearly all traffic is on the new version; a rest stays on the old one to compare with.
    Watching,
    /// All traffic is on the new version, which is still watched.
    Done,
    /// The new version was bad; all traffic is on the old one for good.
    TakenBack,
}

/// What operators are told of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The move has not begun.
    Waiting,
    /// The move goes on and will be done by its date.
    Underway,
    /// The move goes on but will not be done, or was not done, by its date.
    Late,
    /// The move is done.
    Done,
    /// The move was taken back.
    TakenBack,
}

impl Status {
    /// Returns the words that operators read.
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

/// How far one route has come.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteProgress {
    /// The route.
    pub route: RouteName,
    /// Its step.
    pub step: Step,
}

/// The object `moves/<pool>`, written by the holder of the pool's lease only.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The pool.
    pub pool: PoolName,
    /// The table version at which the move was first seen; with pool and version it names it.
    pub tables: TableVersion,
    /// The version that traffic moves away from.
    pub old: VersionName,
    /// The version that traffic moves to.
    pub new: VersionName,
    /// The time by which the move has to be done.
    pub by: Timestamp,
    /// The earliest time to begin.
    pub not_before: Option<Timestamp>,
    /// The fencing token of the last writer.
    pub fence: FencingToken,
    /// Identifies the last write, so that a lost reply can be settled.
    pub edit: RequestId,
    /// How far the move has come.
    pub phase: Phase,
    /// What was seen when the move was taken back.
    pub evidence: Option<String>,
    /// Why the move is late.
    pub late: Option<String>,
    /// How far each route has come.
    pub routes: Vec<RouteProgress>,
    /// When the move was first seen.
    pub began: Timestamp,
    /// When the last write was decided.
    pub updated: Timestamp,
}

impl Progress {
    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] when `value` is not the progress of a move.
    pub fn from_bytes(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value)
            .map_err(|e| Error::with_source(Kind::Malformed, "read progress of a move", e))
    }

    /// Returns the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the progress cannot be written as JSON.
    pub fn to_bytes(&self) -> Result<Bytes> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|e| Error::with_source(Kind::Internal, "write progress of a move", e))
    }

    /// Returns what operators are told.
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

    /// Returns the reason behind the status, where there is one.
    #[must_use]
    pub fn reason(&self) -> Option<&str> {
        let reason = match self.status() {
            Status::TakenBack => &self.evidence,
            _ => &self.late,
        };
        reason.as_deref()
    }

    /// Tells whether this is the progress of the move that the pool table asks for.
    #[must_use]
    pub fn is_of(&self, old: &VersionName, wanted: &Move) -> bool {
        self.old == *old
            && self.new == wanted.to
            && self.by == wanted.by
            && self.not_before == wanted.not_before
    }

    /// Returns the step of a route; a route that was added later has not begun.
    #[must_use]
    pub fn step_of(&self, route: &RouteName) -> Step {
        let known = self.routes.iter().find(|r| r.route == *route);
        known.map_or(Step::NONE, |r| r.step)
    }
}
