//! SVG plots of attainment against load, with one line for each scheduling mode.

use crate::LoadReport;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Width and height of the image.
const SIZE_PX: (u32, u32) = (900, 520);

/// Plots the attainment of `class` in all `reports`.
///
/// # Errors
/// If the file can't be written.
pub fn plot(reports: &[LoadReport], class: &str, out: &Path) -> eyre::Result<()> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for report in reports {
        if let Some(row) = report.row(class) {
            lines.entry(&report.name).or_default().push((report.load, row.attainment()));
        }
    }
    let max_load = reports.iter().map(|r| r.load).fold(1.0, f64::max);
    let root = SVGBackend::new(out, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{class}: share in time against load"), ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..max_load * 1.05, 0.0..1.05)?;
    chart.configure_mesh().x_desc("load as a multiple of capacity").y_desc("share in time").draw()?;
    for (index, (name, mut points)) in lines.into_iter().enumerate() {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let colour = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(points, colour.stroke_width(2));
        chart.draw_series(line)?.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
