//! Renders the fault matrix as Markdown.

use std::fmt::Write;

use super::cell::Cell;
use super::cell::cell_status;
use super::fault_kind::FaultKind;
use super::step::Step;

/// Returns the matrix as Markdown, for `docs/FAULTS.md`.
#[must_use]
pub fn to_markdown() -> String {
    let mut out = String::new();
    write_legend(&mut out);
    write_matrix(&mut out);
    write_reasons(&mut out);
    out
}

fn write_legend(out: &mut String) {
    out.push_str("## Steps\n\n| step | the fault is injected |\n|---|---|\n");
    for step in Step::ALL {
        line(
            out,
            format_args!("| {} | {} |", step.as_str(), step.description()),
        );
    }
    out.push_str("\n## Faults\n\n| fault | what it does |\n|---|---|\n");
    for fault_kind in FaultKind::ALL {
        line(
            out,
            format_args!("| {} | {} |", fault_kind.as_str(), fault_kind.description()),
        );
    }
}

fn write_matrix(out: &mut String) {
    out.push_str("\n## Matrix\n\n`run`: the cell runs in every test run; `-`: it cannot occur, ");
    out.push_str("see below; `missing`: it can occur and is not run yet.\n\n| step |");
    for fault_kind in FaultKind::ALL {
        let _infallible = write!(out, " {} |", fault_kind.as_str());
    }
    out.push_str("\n|---|");
    out.push_str(&"---|".repeat(FaultKind::ALL.len()));
    out.push('\n');
    for step in Step::ALL {
        let _infallible = write!(out, "| {} |", step.as_str());
        for fault_kind in FaultKind::ALL {
            let _infallible = write!(out, " {} |", mark(cell_status(*step, *fault_kind)));
        }
        out.push('\n');
    }
}

const fn mark(cell: Cell) -> &'static str {
    match cell {
        Cell::Runs => "run",
        Cell::CannotOccur(_) => "-",
        Cell::Missing => "missing",
    }
}

fn write_reasons(out: &mut String) {
    out.push_str("\n## Cells that cannot occur\n\n");
    for step in Step::ALL {
        let mut last_reason = None;
        for fault_kind in FaultKind::ALL {
            if let Cell::CannotOccur(reason) = cell_status(*step, *fault_kind)
                && last_reason != Some(reason)
            {
                last_reason = Some(reason);
                line(
                    out,
                    format_args!("- {} × {}: {reason}.", step.as_str(), fault_kind.as_str()),
                );
            }
        }
    }
}

fn line(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _infallible = writeln!(out, "{text}");
}
