//! Reads how far a move has come from the platform.

use eelgrassramp::PoolName;
use eelgrassramp::store::ObjectApi;
use serde::Deserialize;
use serde::Serialize;

/// How far a move has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveStatus {
    /// No move is recorded.
    NotBegun,
    /// It goes on.
    UnderWay,
    /// All traffic is on the new version.
    Done,
    /// The new version was bad, and all traffic is on the old one.
    TakenBack,
}

impl MoveStatus {
    /// Returns the words for people.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotBegun => "not begun",
            Self::UnderWay => "under way",
            Self::Done => "done",
            Self::TakenBack => "taken back",
        }
    }

    /// Tells whether the move has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}

/// The part of the move's object that matters here.
#[derive(Debug)]
#[derive(Deserialize)]
struct Recorded {
    phase: String,
}

pub(super) async fn read_move(api: &dyn ObjectApi, pool: &PoolName) -> MoveStatus {
    let Ok(object) = api.get(&format!("moves/{pool}")).await else {
        return MoveStatus::UnderWay;
    };
    let recorded: Option<Recorded> = serde_json::from_slice(&object.value).ok();
    match recorded.as_ref().map(|r| r.phase.as_str()) {
        None => MoveStatus::NotBegun,
        Some("done") => MoveStatus::Done,
        Some("taken_back") => MoveStatus::TakenBack,
        Some(_) => MoveStatus::UnderWay,
    }
}
