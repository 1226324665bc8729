//! What the demonstration shows at its end.

use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;

use super::follow::MoveStatus;
use crate::check::Check;
use crate::load::GroupSummary;
use crate::load::Summary;

/// Figures and checks of the load over real connections.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LoadReport {
    /// What became of the requests.
    pub summary: Summary,
    /// Prompt tokens that the engines computed.
    pub prefill_tokens: u64,
    /// The promises.
    pub checks: Vec<Check>,
}

/// Figures and checks of the move on a simulated clock.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct MoveReport {
    /// How the move ended.
    pub status: MoveStatus,
    /// How it should have ended.
    pub wanted: MoveStatus,
    /// How long it took.
    pub took: Duration,
    /// What became of the requests meanwhile.
    pub summary: Summary,
    /// The promises.
    pub checks: Vec<Check>,
}

/// Figures and checks of one demonstration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// The load.
    pub load: LoadReport,
    /// The move.
    pub moved: MoveReport,
}

impl Report {
    /// Tells whether all promises were kept and the move ended as it should.
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
            promises(&self.load.checks)
        )?;
        writeln!(f, "Move on a simulated clock\n{}", tiers(&moved.summary))?;
        writeln!(
            f,
            "moves done: {done}, taken back: {taken_back}; this one: {} after {} s, wanted: {}",
            moved.status.as_str(),
            moved.took.as_secs(),
            moved.wanted.as_str()
        )?;
        writeln!(f, "{}", promises(&moved.checks))
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

fn promises(checks: &[Check]) -> Table {
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
