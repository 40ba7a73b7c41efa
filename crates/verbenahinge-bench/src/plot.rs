//! Charts of metrics against load.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::policy::Policy;
use crate::summary::Summary;

/// Width and height in pixels.
const CHART_SIZE: (u32, u32) = (760, 420);

const fn policy_color(policy: Policy) -> RGBColor {
    match policy {
        Policy::Shares => BLUE,
        Policy::RoundRobin => RED,
        Policy::TwoChoices => RGBColor(220, 140, 0),
        Policy::Oracle => BLACK,
    }
}

/// Draws a metric of several runs against their load as an SVG chart with one line per policy.
///
/// # Errors
///
/// Returns an error if the chart cannot be drawn or the file cannot be written.
pub fn draw_chart(
    path: &Path,
    title: &str,
    summaries: &[Summary],
    metric: impl Fn(&Summary) -> f64,
) -> Result<(), Box<dyn Error>> {
    let mut series: BTreeMap<Policy, Vec<(f64, f64)>> = BTreeMap::new();
    let mut max_value: f64 = 0.0;
    let mut max_load: f64 = 0.0;
    for summary in summaries {
        let value = metric(summary);
        max_value = max_value.max(value);
        max_load = max_load.max(summary.load);
        let points = series.entry(summary.policy).or_default();
        points.push((summary.load, value));
    }
    let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_load * 1.05, 0.0..max_value * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("offered load over capacity")
        .draw()?;
    for (policy, mut points) in series {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let line_color = policy_color(policy);
        chart
            .draw_series(LineSeries::new(points, line_color.stroke_width(2)))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], line_color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
