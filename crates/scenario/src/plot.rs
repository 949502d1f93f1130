//! Line plots as inline SVG.

use std::fmt::Write as _;

const PLOT_WIDTH_PX: f64 = 860.0;

const PLOT_HEIGHT_PX: f64 = 180.0;

const MARGIN_PX: f64 = 46.0;

/// Colours of the series, used in turn.
const SERIES_COLOURS: [&str; 8] =
    ["#1f5fa8", "#c2570c", "#3a7d34", "#8a3b8f", "#a32020", "#5f5f5f", "#0f8080", "#a08000"];

/// Line plot of series over time, with fault intervals shaded in the background.
#[derive(Debug, Clone, Default)]
pub struct Plot {
    /// Heading above the plot.
    pub title: String,
    /// Unit of the vertical axis.
    pub unit: String,
    /// End of the time axis, which starts at 0.
    pub end_s: f64,
    /// Plotted series in the order of the legend.
    pub series: Vec<Series>,
    /// Shaded intervals in which faults were active.
    pub fault_intervals: Vec<FaultInterval>,
}

/// One line of a plot.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Whether the series is a limit, which is drawn as a dashed line.
    pub is_limit: bool,
    /// Points as pairs of time in seconds and value.
    pub points: Vec<(f64, f64)>,
}

/// Interval in which a fault was active.
#[derive(Debug, Clone)]
pub struct FaultInterval {
    /// Kind of the fault, shown as a tooltip.
    pub fault: String,
    /// Start on the time axis.
    pub start_s: f64,
    /// End on the time axis.
    pub end_s: f64,
}

impl Plot {
    /// Renders the plot as an SVG element.
    pub fn to_svg(&self) -> String {
        let max = self.series.iter().flat_map(|it| &it.points).map(|it| it.1).fold(0.0, f64::max);
        let max = if max > 0.0 { max * 1.05 } else { 1.0 };
        let end_s = self.end_s.max(0.001);
        let x = |at_s: f64| MARGIN_PX + at_s.clamp(0.0, end_s) / end_s * PLOT_WIDTH_PX;
        let y = |value: f64| MARGIN_PX / 2.0 + (1.0 - value / max) * PLOT_HEIGHT_PX;
        let (full_width, full_height) =
            (PLOT_WIDTH_PX + 2.0 * MARGIN_PX, PLOT_HEIGHT_PX + 1.5 * MARGIN_PX);
        let mut res = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {full_width} {full_height}\" \
             role=\"img\" aria-label=\"{}\">\n",
            escape(&self.title),
        );
        for interval in &self.fault_intervals {
            let (start_x, end_x) = (x(interval.start_s), x(interval.end_s));
            let _ = writeln!(
                res,
                "<rect x=\"{start_x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{PLOT_HEIGHT_PX}\" \
                 fill=\"#f3d9b1\" opacity=\"0.5\"><title>{}</title></rect>",
                y(max),
                (end_x - start_x).max(1.0),
                escape(&interval.fault),
            );
        }
        for step in 0..=4 {
            let value = max * f64::from(step) / 4.0;
            let at_s = end_s * f64::from(step) / 4.0;
            let _ = writeln!(
                res,
                "<line x1=\"{MARGIN_PX}\" x2=\"{right:.1}\" y1=\"{at_y:.1}\" y2=\"{at_y:.1}\" \
                 stroke=\"#ddd\"/><text x=\"{left:.1}\" y=\"{at_y:.1}\" text-anchor=\"end\">\
                 {value:.0}</text><text x=\"{at_x:.1}\" y=\"{below:.1}\" \
                 text-anchor=\"middle\">{at_s:.0} s</text>",
                right = MARGIN_PX + PLOT_WIDTH_PX,
                left = MARGIN_PX - 4.0,
                at_y = y(value),
                at_x = x(at_s),
                below = y(0.0) + 14.0,
            );
        }
        for (index, series) in self.series.iter().enumerate() {
            let points: Vec<String> = series
                .points
                .iter()
                .map(|(at_s, value)| format!("{:.1},{:.1}", x(*at_s), y(*value)))
                .collect();
            let dashes = if series.is_limit { " stroke-dasharray=\"5 4\"" } else { "" };
            let colour = SERIES_COLOURS[index % SERIES_COLOURS.len()];
            let _ = writeln!(
                res,
                "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.3\"{dashes} \
                 points=\"{}\"><title>{}</title></polyline>\
                 <text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{}</text>",
                points.join(" "),
                escape(&series.name),
                MARGIN_PX + 130.0 * (index % 7) as f64,
                y(0.0) + 30.0 + 12.0 * (index / 7) as f64,
                escape(&series.name),
            );
        }
        res + "</svg>\n"
    }
}

/// Escapes text for HTML content and attribute values.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
