//! Output as tables for people or as JSON for scripts.

use clap::ArgMatches;
use clap::ValueEnum;
use clap::builder::PossibleValue;
use comfy_table::ContentArrangement;
use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;

use super::failure::Failure;

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OutputFormat {
    /// For people.
    Table,
    /// For scripts.
    Json,
}

impl ValueEnum for OutputFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(match self {
            Self::Table => PossibleValue::new("table").help("For people"),
            Self::Json => PossibleValue::new("json").help("For scripts"),
        })
    }
}

/// Returns the format selected by the operator.
pub(super) fn output_format(m: &ArgMatches) -> OutputFormat {
    m.get_one("output").copied().unwrap_or(OutputFormat::Table)
}

/// Prints `value` as indented JSON.
pub(super) fn print_json(value: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|e| Failure::new(crate::Exit::Failed, vec![format!("write output: {e}")]))?;
    println!("{text}");
    Ok(())
}

/// Prints rows under a header.
pub(super) fn print_table(header: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table
        .load_style(UTF8_HORIZONTAL_ONLY)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header);
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}
