//! Line charts as SVG.

use plotters::backend::SVGBackend;
use plotters::{
    chart::{ChartBuilder, SeriesLabelPosition},
    drawing::{DrawingAreaErrorKind, IntoDrawingArea},
    element::{Circle, PathElement},
    series::LineSeries,
    style::{BLACK, Color, Palette, Palette99, WHITE},
};

/// One line of a chart.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Label in the legend.
    pub(crate) label: String,
    /// Points in ascending order of x.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A line chart.
#[derive(Clone, Debug)]
pub(crate) struct Chart {
    pub(crate) title: String,
    /// Label of the x axis with its unit.
    pub(crate) x: String,
    /// Label of the y axis with its unit.
    pub(crate) y: String,
    pub(crate) lines: Vec<Line>,
}

/// Width and height of a chart.
const SIZE_PX: (u32, u32) = (760, 380);
/// Upper end of the y axis as a multiple of the maximum value.
const Y_AXIS_MARGIN: f64 = 1.15;

type DrawError = DrawingAreaErrorKind<std::io::Error>;

impl Chart {
    /// Returns the chart as SVG, or `None` if there are no points or drawing fails.
    pub(crate) fn svg(&self) -> Option<String> {
        let points = self.lines.iter().flat_map(|line| &line.points);
        let max_of = |axis: fn(&(f64, f64)) -> f64| points.clone().map(axis).fold(0.0, f64::max);
        points.clone().next()?;
        let (x_end, y_end) = (max_of(|point| point.0), max_of(|point| point.1));
        let y_end = if y_end > 0.0 {
            y_end * Y_AXIS_MARGIN
        } else {
            1.0
        };
        let mut svg = String::new();
        self.draw(&mut svg, x_end.max(f64::MIN_POSITIVE), y_end)
            .ok()?;
        Some(svg)
    }

    fn draw(&self, svg: &mut String, x_end: f64, y_end: f64) -> Result<(), DrawError> {
        let root = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(42)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..x_end, 0.0..y_end)?;
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .light_line_style(WHITE)
            .draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let drawn = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
            chart
                .draw_series(drawn)?
                .label(&line.label)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], color.stroke_width(3))
                });
            let dots = line
                .points
                .iter()
                .map(|&point| Circle::new(point, 3, color.filled()));
            chart.draw_series(dots)?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        root.present()
    }
}
