//! Renders the fault matrix as a page.

use std::fmt::Write;

use super::column::Column;
use super::step::Step;
use super::table::Cell;
use super::table::cell;

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
            format_args!("| {} | {} |", step.as_str(), step.meaning()),
        );
    }
    out.push_str("\n## Faults\n\n| fault | what it does |\n|---|---|\n");
    for column in Column::ALL {
        line(
            out,
            format_args!("| {} | {} |", column.as_str(), column.meaning()),
        );
    }
}

fn write_matrix(out: &mut String) {
    out.push_str("\n## Matrix\n\n`run`: the cell runs in every test run; `-`: it cannot occur, ");
    out.push_str("see below; `missing`: it can occur and is not run yet.\n\n| step |");
    for column in Column::ALL {
        let _infallible = write!(out, " {} |", column.as_str());
    }
    out.push_str("\n|---|");
    out.push_str(&"---|".repeat(Column::ALL.len()));
    out.push('\n');
    for step in Step::ALL {
        let _infallible = write!(out, "| {} |", step.as_str());
        for column in Column::ALL {
            let _infallible = write!(out, " {} |", mark(cell(*step, *column)));
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
        let mut told = None;
        for column in Column::ALL {
            if let Cell::CannotOccur(reason) = cell(*step, *column)
                && told != Some(reason)
            {
                told = Some(reason);
                line(
                    out,
                    format_args!("- {} × {}: {reason}.", step.as_str(), column.as_str()),
                );
            }
        }
    }
}

fn line(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _infallible = writeln!(out, "{text}");
}
