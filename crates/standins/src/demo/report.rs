//! What the demonstration shows at its end.

use std::fmt;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;

use super::follow::MoveStatus;
use crate::check::Check;
use crate::load::Row;
use crate::load::Summary;

/// Figures and checks of one demonstration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// What became of the requests.
    pub summary: Summary,
    /// Prompt tokens that the engines computed.
    pub prefill_tokens: u64,
    /// How the move ended.
    pub moved: MoveStatus,
    /// How it should have ended.
    pub wanted: MoveStatus,
    /// The promises.
    pub checks: Vec<Check>,
}

impl Report {
    /// Tells whether all promises were kept and the move ended as it should.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.moved == self.wanted && self.checks.iter().all(|c| c.violations == 0)
    }

    fn wasted_prefill(&self) -> f64 {
        let needed = self.summary.needed_prefill_tokens;
        let wasted = self.prefill_tokens.saturating_sub(needed);
        wasted as f64 / self.prefill_tokens.max(1) as f64
    }

    fn tiers(&self) -> Table {
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
        for (tier, row) in &self.summary.tiers {
            table.add_row(cells(tier.as_str(), row));
        }
        table.add_row(cells("all", &self.summary.all));
        table
    }

    fn promises(&self) -> Table {
        let mut table = Table::new();
        table.load_style(UTF8_HORIZONTAL_ONLY);
        table.set_header(["promise", "cases", "violations", ""]);
        for check in &self.checks {
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
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let done = u8::from(self.moved == MoveStatus::Done);
        let taken_back = u8::from(self.moved == MoveStatus::TakenBack);
        writeln!(f, "{}\n", self.tiers())?;
        writeln!(f, "wasted prefill: {:.1} %", self.wasted_prefill() * 100.0)?;
        writeln!(f, "moves done: {done}, taken back: {taken_back}")?;
        writeln!(
            f,
            "this move: {}, wanted: {}\n",
            self.moved.as_str(),
            self.wanted.as_str()
        )?;
        writeln!(f, "{}", self.promises())
    }
}

fn cells(name: &str, row: &Row) -> [String; 9] {
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
