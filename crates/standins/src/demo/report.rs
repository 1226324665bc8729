//! The report of the demonstration.

use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;

use super::move_status::MoveStatus;
use crate::check::Check;
use crate::load::GroupSummary;
use crate::load::Summary;

/// Results of the load over real connections.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Summary of the requests.
    pub summary: Summary,
    /// Prompt tokens computed by the engines.
    pub prefill_tokens: u64,
    /// The checked guarantees.
    pub checks: Vec<Check>,
}

/// Results of the move on a simulated clock.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct MoveReport {
    /// The final status of the move.
    pub status: MoveStatus,
    /// The expected final status.
    pub wanted: MoveStatus,
    /// The duration of the move.
    pub took: Duration,
    /// Summary of the requests during the move.
    pub summary: Summary,
    /// The checked guarantees.
    pub checks: Vec<Check>,
}

/// Results of one demonstration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// The load.
    pub load: LoadReport,
    /// The move.
    pub moved: MoveReport,
}

impl Report {
    /// Returns whether all guarantees held and the move ended as expected.
    #[must_use]
    pub fn is_good(&self) -> bool {
        let mut checks = self.load.checks.iter().chain(&self.moved.checks);
        self.moved.status == self.moved.wanted && checks.all(|c| c.violations == 0)
    }
}

impl LoadReport {
    fn wasted_prefill(&self) -> f64 {
        let needed = self.summary.needed_prefill_tokens;
        let wasted = self.prefill_tokens.saturating_sub(needed);
        wasted as f64 / self.prefill_tokens.max(1) as f64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let moved = &self.moved;
        let done = u8::from(moved.status == MoveStatus::Done);
        let taken_back = u8::from(moved.status == MoveStatus::TakenBack);
        writeln!(
            f,
            "Load over real connections\n{}",
            tiers(&self.load.summary)
        )?;
        let wasted = self.load.wasted_prefill() * 100.0;
        writeln!(
            f,
            "wasted prefill: {wasted:.1} %\n{}\n",
            checks_table(&self.load.checks)
        )?;
        writeln!(f, "Move on a simulated clock\n{}", tiers(&moved.summary))?;
        writeln!(
            f,
            "moves done: {done}, taken back: {taken_back}; this one: {} after {} s, wanted: {}",
            moved.status.as_str(),
            moved.took.as_secs(),
            moved.wanted.as_str()
        )?;
        writeln!(f, "{}", checks_table(&moved.checks))
    }
}

fn tiers(summary: &Summary) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "tier",
        "sent",
        "good",
        "goodput",
        "late",
        "refused",
        "broken",
        "first byte p50/p99 ms",
        "total p50/p99 ms",
    ]);
    for (tier, row) in &summary.tiers {
        table.add_row(cells(tier.as_str(), row));
    }
    table.add_row(cells("all", &summary.all));
    table
}

fn checks_table(checks: &[Check]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    table.set_header(["promise", "cases", "violations", ""]);
    for check in checks {
        let verdict = if check.violations == 0 {
            "kept"
        } else {
            "BROKEN"
        };
        let cases = check.cases.to_string();
        let violations = check.violations.to_string();
        table.add_row([check.promise, &cases, &violations, verdict]);
    }
    table
}

fn cells(name: &str, row: &GroupSummary) -> [String; 9] {
    let first = row.first_byte;
    let total = row.total;
    [
        name.to_owned(),
        row.sent.to_string(),
        row.good.to_string(),
        format!("{:.4}", row.goodput()),
        row.late.to_string(),
        row.refusals().to_string(),
        (row.broken + row.wrong).to_string(),
        format!("{:.0}/{:.0}", first.p50_ms, first.p99_ms),
        format!("{:.0}/{:.0}", total.p50_ms, total.p99_ms),
    ]
}
