//! Reads the status of a move from the object API.

use eelgrassramp::PoolName;
use eelgrassramp::store::ObjectApi;
use serde::Deserialize;
use serde::Serialize;

/// The status of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveStatus {
    /// No move is recorded.
    NotBegun,
    /// The move is in progress.
    UnderWay,
    /// All traffic is on the new version.
    Done,
    /// The new version was bad, so all traffic was returned to the old version.
    TakenBack,
}

impl MoveStatus {
    /// Returns the status as shown to users.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotBegun => "not begun",
            Self::UnderWay => "under way",
            Self::Done => "done",
            Self::TakenBack => "taken back",
        }
    }

    /// Returns whether the move has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}

/// The fields of the move's object that are read here.
#[derive(Debug)]
#[derive(Deserialize)]
struct MoveRecord {
    phase: String,
}

pub(super) async fn read_move(api: &dyn ObjectApi, pool: &PoolName) -> MoveStatus {
    let Ok(object) = api.get(&format!("moves/{pool}")).await else {
        return MoveStatus::UnderWay;
    };
    let record: Option<MoveRecord> = serde_json::from_slice(&object.value).ok();
    match record.as_ref().map(|r| r.phase.as_str()) {
        None => MoveStatus::NotBegun,
        Some("done") => MoveStatus::Done,
        Some("taken_back") => MoveStatus::TakenBack,
        Some(_) => MoveStatus::UnderWay,
    }
}
