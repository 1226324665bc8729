//! The cases: each brings one disruption about and checks one rule.

pub mod broken_off;
pub mod lost_order;
pub mod silent_watch;

use std::path::PathBuf;
use std::sync::Arc;

use crate::record::Record;

/// What a case needs to run.
pub struct Setup {
    /// The program of the deploy file.
    pub program: PathBuf,
    /// Folder for settings files and logs.
    pub temp: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}
