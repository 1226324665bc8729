//! The cells of the fault matrix: what runs and what cannot occur.

use eelgrassramp::Result;

use super::column::Column;
use super::deployment;
use super::request;
use super::step::Course;
use super::step::Step;

/// What one run of a cell showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellReport {
    /// Requests sent while the fault lasted.
    pub requests: usize,
    /// A sentence for every promise that was broken.
    pub broken: Vec<String>,
}

/// What becomes of one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cell {
    /// It runs.
    Runs,
    /// It cannot occur, for this reason.
    CannotOccur(&'static str),
}

/// Returns what becomes of a cell.
#[must_use]
pub fn cell(step: Step, column: Column) -> Cell {
    match (step, column) {
        (Step::Classify, _) => Cell::CannotOccur(
            "classification is one function without waiting: a fault comes before (accept) or after (queue)",
        ),
        (Step::Admit | Step::Start | Step::Finish, Column::Silent)
        | (Step::Accept | Step::Queue | Step::Choose | Step::Answer, Column::Silent) => {
            match step {
                Step::Accept | Step::Queue | Step::Choose => {
                    Cell::CannotOccur("no connection to a sidecar is in use yet")
                }
                Step::Answer => Cell::CannotOccur("the whole answer has left the connection"),
                _ => Cell::Runs,
            }
        }
        _ => Cell::Runs,
    }
}

/// Runs one cell; returns one report for each kind of endpoint.
///
/// # Errors
///
/// Returns the error of a deployment that could not be started.
pub async fn run(step: Step, column: Column, seed: u64) -> Result<Vec<CellReport>> {
    match step.course() {
        Course::Request => {
            let model = request::run(step, column, deployment::model_pool(), seed).await?;
            let service = request::run(step, column, deployment::service_pool(), seed).await?;
            Ok(vec![model, service])
        }
        Course::Change | Course::Move | Course::Stop => Ok(Vec::new()),
    }
}
