//! The cells of the fault matrix: which ones run and which ones cannot occur.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use eelgrassramp::Result;

use super::change;
use super::deployment;
use super::fault_kind::FaultKind;
use super::request;
use super::step::Scenario;
use super::step::Step;
use super::stop;
use super::stop::StoppedProcess;

/// The result of one run of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellReport {
    /// Requests sent during the run.
    pub requests: usize,
    /// A message for every violated guarantee.
    pub broken: Vec<String>,
}

/// The status of one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cell {
    /// The cell is run.
    Runs,
    /// The cell cannot occur, for this reason.
    CannotOccur(&'static str),
    /// The cell can occur but is not implemented.
    Missing,
}

/// Returns the status of a cell.
#[must_use]
pub fn cell_status(step: Step, column: FaultKind) -> Cell {
    match (step, column) {
        (step, _) if step.scenario() == Scenario::Move => Cell::Missing,
        (Step::Classify, _) => Cell::CannotOccur(
            "classification does not wait: a fault comes before it (accept) or after it (queue)",
        ),
        (Step::Accept | Step::Queue | Step::Choose, FaultKind::Silent) => {
            Cell::CannotOccur("the request has no connection to a sidecar yet")
        }
        (Step::Answer, FaultKind::Silent) => {
            Cell::CannotOccur("the whole answer has left the connection")
        }
        (step, FaultKind::Silent) if step.scenario() != Scenario::Request => Cell::CannotOccur(
            "the step is not tied to one connection; the pair with a dying entry silences many",
        ),
        _ => Cell::Runs,
    }
}

/// Runs one cell; returns one report for each kind of endpoint.
///
/// # Errors
///
/// Returns an error if a deployment does not start.
pub async fn run(step: Step, column: FaultKind, seed: u64) -> Result<Vec<CellReport>> {
    match step.scenario() {
        Scenario::Request => {
            let model = request::run(step, column, deployment::model_pool(), seed).await?;
            let service = request::run(step, column, deployment::service_pool(), seed).await?;
            Ok(vec![model, service])
        }
        Scenario::Change => Ok(vec![change::run(step, column, seed).await?]),
        Scenario::Stop => {
            let entry = stop::run(step, column, StoppedProcess::Entry, seed).await?;
            let sidecar = stop::run(step, column, StoppedProcess::Sidecar, seed).await?;
            Ok(vec![entry, sidecar])
        }
        // The cells of a move are not implemented; `cell_status` returns `Missing` for them.
        Scenario::Move => Ok(Vec::new()),
    }
}

/// One cell that was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellRun {
    /// The row.
    pub step: Step,
    /// The column.
    pub column: FaultKind,
    /// One report for each deployment.
    pub reports: Vec<CellReport>,
}

impl CellRun {
    /// Returns a message for every violated guarantee.
    pub fn violations(&self) -> impl Iterator<Item = &str> {
        self.reports
            .iter()
            .flat_map(|r| &r.broken)
            .map(String::as_str)
    }
}

/// Runs all cells of a scenario that can occur, on several threads.
///
/// Each cell has its own runtime with a paused clock, so the result does not depend on the number
/// of threads.
///
/// # Errors
///
/// Returns the error of the first deployment that does not start.
///
/// # Panics
///
/// Panics if a cell panics, for example because an internal invariant does not hold.
pub fn run_scenario(scenario: Scenario, seed: u64, threads: usize) -> Result<Vec<CellRun>> {
    let steps = Step::ALL.iter().filter(|s| s.scenario() == scenario);
    let cells = steps.flat_map(|step| FaultKind::ALL.iter().map(|column| (*step, *column)));
    let cells: Vec<_> = cells
        .filter(|(s, c)| cell_status(*s, *c) == Cell::Runs)
        .collect();
    let next = AtomicUsize::new(0);
    let work = || -> Result<Vec<CellRun>> {
        let mut runs = Vec::new();
        while let Some((step, column)) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
            let reports = run_paused(run(*step, *column, seed))?;
            runs.push(CellRun {
                step: *step,
                column: *column,
                reports,
            });
        }
        Ok(runs)
    };
    let mut runs = std::thread::scope(|scope| -> Result<Vec<CellRun>> {
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let mut runs = Vec::new();
        for thread in threads {
            runs.extend(thread.join().expect("a cell panicked")?);
        }
        Ok(runs)
    })?;
    runs.sort_by_key(|run| (run.step, run.column));
    Ok(runs)
}

fn run_paused<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without sockets starts");
    runtime.block_on(work)
}

/// Runs one cell on a paused clock.
///
/// # Errors
///
/// Returns an error if a deployment does not start.
pub fn run_one(step: Step, column: FaultKind, seed: u64) -> Result<CellRun> {
    let reports = run_paused(run(step, column, seed))?;
    Ok(CellRun {
        step,
        column,
        reports,
    })
}
