//! SVG plot of the share of requests within target over the points of a scenario.

use std::{error::Error, path::Path};

use plotters::prelude::*;

use super::Table;
use crate::{policy::Kind, sim::Outcome};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 540);

/// Draws the plot.
pub(super) fn draw(table: &Table, path: &Path) -> Result<(), Box<dyn Error>> {
    let scenario = table.scenario();
    let points = scenario.points();
    let ends = (points[0], points[points.len() - 1]);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(15)
        .set_label_area_size(LabelAreaPosition::Left, 50)
        .set_label_area_size(LabelAreaPosition::Bottom, 40)
        .build_cartesian_2d((ends.0..ends.1).log_scale(), 0.0..100.0)?;
    chart.configure_mesh().x_desc(scenario.axis()).y_desc("requests within target, %").draw()?;
    for (kind, number) in Kind::ALL.into_iter().zip(0..) {
        let color = Palette99::pick(number).stroke_width(2);
        let line = points
            .iter()
            .zip(0..)
            .map(|(&x, point)| (x, 100.0 * table.median(kind, point, Outcome::within_target)));
        chart
            .draw_series(LineSeries::new(line, color))?
            .label(kind.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
