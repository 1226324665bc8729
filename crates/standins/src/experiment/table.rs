//! Renders the results as a terminal table.

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use eelgrassramp::AccountName;
use eelgrassramp::Tier;

use super::run::CaseResult;

/// Returns a table with one row for each case.
#[must_use]
pub fn table(results: &[CaseResult]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY);
    let tiers = Tier::ALL.map(|t| format!("{t} good"));
    let fixed = ["scheduling", "load", "silent", "sent/s", "good/s"].map(str::to_owned);
    let rest = [
        "orders shed while lower served",
        "wasted prefill",
        "first byte p50/p99 ms",
        "broken promises",
    ];
    let rest = rest.map(str::to_owned);
    table.set_header(fixed.into_iter().chain(tiers).chain(rest));
    for result in results {
        table.add_row(row(result));
    }
    table
}

fn row(result: &CaseResult) -> Vec<String> {
    let case = &result.case;
    let silent: Vec<&str> = case.silent.iter().map(AccountName::as_str).collect();
    let mut cells = vec![
        case.scheduling.as_str().to_owned(),
        format!("{:.2}", case.load),
        silent.join(" "),
        format!("{:.1}", result.per_second),
        format!("{:.1}", result.good_per_second),
    ];
    let tiers = &result.summary.tiers;
    cells.extend(Tier::ALL.iter().map(|tier| match tiers.get(tier) {
        Some(row) => format!("{:.4}", row.goodput()),
        None => "-".to_owned(),
    }));
    let latency = result.summary.all.first_byte;
    let broken: u64 = result.checks.iter().map(|c| c.violations).sum();
    cells.extend([
        result.summary.orders_shed_while_lower_served.to_string(),
        format!("{:.3}", result.wasted_prefill),
        format!("{:.0}/{:.0}", latency.p50_ms, latency.p99_ms),
        broken.to_string(),
    ]);
    cells
}
