//! Plots of the flow-level comparison, as SVG files.

use std::path::Path;

use plotters::prelude::*;

use super::figures::{Figures, ImbalanceFigure};
use super::report_error::ReportError;
use super::way::Way;
use super::workload::Workload;

const SIZE: (u32, u32) = (900, 540);
const MARGIN: u32 = 16;
const LABEL_AREA: u32 = 48;
const LEGEND_LENGTH: i32 = 24;
const STROKE: u32 = 2;
/// Greatest imbalance that a plot shows.
const IMBALANCE_TOP: f64 = 4.0;

/// Draws all plots into a directory; gives the names of the files.
///
/// # Errors
/// [`ReportError::Plot`] when one cannot be drawn.
pub fn draw_all(figures: &Figures, directory: &Path) -> Result<Vec<String>, ReportError> {
    let mut names = Vec::new();
    for workload in Workload::ALL {
        for plan in &workload.deployment().services {
            let curves: Vec<&ImbalanceFigure> = figures
                .planned_imbalance()
                .filter(|figure| figure.workload == workload && figure.service == plan.name)
                .filter(|figure| !figure.curve.is_empty())
                .collect();
            if curves.is_empty() {
                continue;
            }
            let name = format!("imbalance-{workload}-{}.svg", plan.name);
            let title = format!(
                "Imbalance of {} under {workload}, seeds {}",
                plan.name, figures.seeds
            );
            let path = directory.join(&name);
            draw(&path, &title, &curves).map_err(|error| ReportError::Plot {
                path: path.clone(),
                message: error.to_string(),
            })?;
            names.push(name);
        }
    }
    Ok(names)
}

fn draw(
    path: &Path,
    title: &str,
    curves: &[&ImbalanceFigure],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..100.0, 1.0..IMBALANCE_TOP)?;
    chart
        .configure_mesh()
        .x_desc("percentile of samples")
        .y_desc("maximum over mean of busy slots over slots")
        .draw()?;
    for figure in curves {
        let style = colour(figure.way).stroke_width(STROKE);
        chart
            .draw_series(LineSeries::new(points(&figure.curve), style))?
            .label(figure.way.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LENGTH, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "a curve has few points")]
fn points(curve: &[f64]) -> impl Iterator<Item = (f64, f64)> + '_ {
    let steps = curve.len().saturating_sub(1).max(1) as f64;
    let place = move |index: usize| index as f64 / steps * 100.0;
    let values = curve.iter().enumerate();
    values.map(move |(index, value)| (place(index), value.min(IMBALANCE_TOP)))
}

fn colour(way: Way) -> RGBColor {
    match way {
        Way::Chosen => RGBColor(0, 90, 200),
        Way::Hash => RGBColor(200, 60, 40),
        Way::HashWithPrevious => RGBColor(230, 150, 30),
        Way::PolledLeastLoad => RGBColor(120, 60, 160),
        Way::RandomTwoStale => RGBColor(60, 150, 70),
        Way::Omniscient => BLACK,
    }
}
