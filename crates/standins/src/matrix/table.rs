//! The cells of the fault matrix: what runs and what cannot occur.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use eelgrassramp::Result;

use super::change;
use super::column::Column;
use super::deployment;
use super::request;
use super::step::Course;
use super::step::Step;
use super::stop;
use super::stop::Subject;

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
    /// It can occur and is not run yet.
    Missing,
}

/// Returns what becomes of a cell.
#[must_use]
pub fn cell(step: Step, column: Column) -> Cell {
    match (step, column) {
        (step, _) if step.course() == Course::Move => Cell::Missing,
        (Step::Classify, _) => Cell::CannotOccur(
            "classification does not wait: a fault comes before it (accept) or after it (queue)",
        ),
        (Step::Accept | Step::Queue | Step::Choose, Column::Silent) => {
            Cell::CannotOccur("the request has no connection to a sidecar yet")
        }
        (Step::Answer, Column::Silent) => {
            Cell::CannotOccur("the whole answer has left the connection")
        }
        (step, Column::Silent) if step.course() != Course::Request => Cell::CannotOccur(
            "the step is not tied to one connection; the pair with a dying entry silences many",
        ),
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
        Course::Change => Ok(vec![change::run(step, column, seed).await?]),
        Course::Stop => {
            let entry = stop::run(step, column, Subject::Entry, seed).await?;
            let sidecar = stop::run(step, column, Subject::Sidecar, seed).await?;
            Ok(vec![entry, sidecar])
        }
        // The cells of a move are not run yet, as `cell` tells.
        Course::Move => Ok(Vec::new()),
    }
}

/// One cell that was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellRun {
    /// The row.
    pub step: Step,
    /// The column.
    pub column: Column,
    /// One report for each deployment that was run.
    pub reports: Vec<CellReport>,
}

impl CellRun {
    /// Returns a sentence for every promise that was broken.
    pub fn broken(&self) -> impl Iterator<Item = &str> {
        self.reports
            .iter()
            .flat_map(|r| &r.broken)
            .map(String::as_str)
    }
}

/// Runs all cells of a course that can occur, on several threads.
///
/// Each cell has a runtime of its own whose clock is paused, so the outcome does not depend on
/// the number of threads.
///
/// # Errors
///
/// Returns the error of the first deployment that could not be started.
///
/// # Panics
///
/// Panics when a cell panics, as when an invariant inside the program does not hold.
pub fn run_course(course: Course, seed: u64, threads: usize) -> Result<Vec<CellRun>> {
    let steps = Step::ALL.iter().filter(|s| s.course() == course);
    let cells = steps.flat_map(|step| Column::ALL.iter().map(|column| (*step, *column)));
    let cells: Vec<_> = cells.filter(|(s, c)| cell(*s, *c) == Cell::Runs).collect();
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

/// Runs one cell under a paused clock.
///
/// # Errors
///
/// Returns the error of a deployment that could not be started.
pub fn run_one(step: Step, column: Column, seed: u64) -> Result<CellRun> {
    let reports = run_paused(run(step, column, seed))?;
    Ok(CellRun {
        step,
        column,
        reports,
    })
}
