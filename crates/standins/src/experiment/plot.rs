//! Plots the results.

use std::collections::BTreeMap;
use std::path::Path;

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::Tier;
use plotters::prelude::*;

use super::run::CaseResult;
use crate::cluster::Scheduling;

const SIZE: (u32, u32) = (1100, 460);
const FONT: (&str, u32) = ("sans-serif", 16);
const LABEL_AREA: u32 = 48;
const MARGIN: u32 = 14;
const HEADROOM: f64 = 1.1;

type Points = Vec<(f64, f64)>;
type Series = BTreeMap<Scheduling, Points>;

/// Plots the good responses per second and the goodput of the order tier against the load.
///
/// # Errors
///
/// Returns [`Kind::Internal`] when the file cannot be written.
pub fn plot(results: &[CaseResult], path: &Path) -> Result<()> {
    let fail = |e: String| Error::new(Kind::Internal, format!("plot {}: {e}", path.display()));
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| fail(e.to_string()))?;
    let panels = root.split_evenly((1, 2));
    let all = series(results, |r| r.good_per_second);
    panel(&panels[0], "good answers per second", &all).map_err(fail)?;
    let orders = series(results, |r| {
        let row = r.summary.tiers.get(&Tier::Order);
        row.map_or(0.0, crate::load::GroupSummary::goodput)
    });
    panel(&panels[1], "goodput of the order tier", &orders).map_err(fail)?;
    root.present().map_err(|e| fail(e.to_string()))
}

fn series(results: &[CaseResult], value: impl Fn(&CaseResult) -> f64) -> Series {
    let mut series = Series::new();
    for result in results.iter().filter(|r| r.case.silent.is_empty()) {
        let points = series.entry(result.case.scheduling).or_default();
        points.push((result.case.load, value(result)));
    }
    series
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    series: &Series,
) -> Result<(), String> {
    let points = || series.values().flatten();
    let right = points().map(|p| p.0).fold(0.0, f64::max) * HEADROOM;
    let top = points().map(|p| p.1).fold(0.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|e| e.to_string())?;
    chart
        .configure_mesh()
        .x_desc("load as a fraction of capacity")
        .draw()
        .map_err(|e| e.to_string())?;
    for (i, (scheduling, points)) in series.iter().enumerate() {
        let color = Palette99::pick(i).stroke_width(2);
        let line = LineSeries::new(points.iter().copied(), color);
        chart
            .draw_series(line.point_size(3))
            .map_err(|e| e.to_string())?
            .label(scheduling.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .position(SeriesLabelPosition::LowerRight)
        .draw()
        .map_err(|e| e.to_string())
}
