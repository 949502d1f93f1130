//! Plots as inline SVG.

use std::fmt::Write as _;

/// Width of a plot's drawing area in pixels.
const WIDTH: f64 = 860.0;

/// Height of a plot's drawing area in pixels.
const HEIGHT: f64 = 180.0;

/// Space around the drawing area in pixels.
const MARGIN: f64 = 46.0;

/// Colours of lines, in turn.
const COLOURS: [&str; 8] =
    ["#1f5fa8", "#c2570c", "#3a7d34", "#8a3b8f", "#a32020", "#5f5f5f", "#0f8080", "#a08000"];

/// Lines over time, with fault_intervals behind them.
#[derive(Debug, Clone, Default)]
pub struct Plot {
    /// Heading.
    pub title: String,
    /// Unit of the vertical axis.
    pub unit: String,
    /// End of the horizontal axis.
    pub end_s: f64,
    /// The lines.
    pub series: Vec<Series>,
    /// Times in which a fault was active.
    pub fault_intervals: Vec<FaultInterval>,
}

/// A line of a plot.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Whether it is a limit, drawn dashed.
    pub is_limit: bool,
    /// Points as seconds and values.
    pub points: Vec<(f64, f64)>,
}

/// A time in which a fault was active.
#[derive(Debug, Clone)]
pub struct FaultInterval {
    /// Name of the fault.
    pub fault: String,
    /// Start.
    pub start_s: f64,
    /// End.
    pub end_s: f64,
}

impl Plot {
    /// The plot as an SVG element.
    pub fn to_svg(&self) -> String {
        let max = self.series.iter().flat_map(|it| &it.points).map(|it| it.1).fold(0.0, f64::max);
        let max = if max > 0.0 { max * 1.05 } else { 1.0 };
        let end_s = self.end_s.max(0.001);
        let x = |at_s: f64| MARGIN + at_s.clamp(0.0, end_s) / end_s * WIDTH;
        let y = |value: f64| MARGIN / 2.0 + (1.0 - value / max) * HEIGHT;
        let (full_width, full_height) = (WIDTH + 2.0 * MARGIN, HEIGHT + 1.5 * MARGIN);
        let mut res = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {full_width} {full_height}\" \
             role=\"img\" aria-label=\"{}\">\n",
            escape(&self.title),
        );
        for interval in &self.fault_intervals {
            let (from, until) = (x(interval.start_s), x(interval.end_s));
            let _ = writeln!(
                res,
                "<rect x=\"{from:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{HEIGHT}\" \
                 fill=\"#f3d9b1\" opacity=\"0.5\"><title>{}</title></rect>",
                y(max),
                (until - from).max(1.0),
                escape(&interval.fault),
            );
        }
        for step in 0..=4 {
            let value = max * f64::from(step) / 4.0;
            let at_s = end_s * f64::from(step) / 4.0;
            let _ = writeln!(
                res,
                "<line x1=\"{MARGIN}\" x2=\"{right:.1}\" y1=\"{at_y:.1}\" y2=\"{at_y:.1}\" \
                 stroke=\"#ddd\"/><text x=\"{left:.1}\" y=\"{at_y:.1}\" text-anchor=\"end\">\
                 {value:.0}</text><text x=\"{at_x:.1}\" y=\"{below:.1}\" \
                 text-anchor=\"middle\">{at_s:.0} s</text>",
                right = MARGIN + WIDTH,
                left = MARGIN - 4.0,
                at_y = y(value),
                at_x = x(at_s),
                below = y(0.0) + 14.0,
            );
        }
        for (at, line) in self.series.iter().enumerate() {
            let points: Vec<String> = line
                .points
                .iter()
                .map(|(at_s, value)| format!("{:.1},{:.1}", x(*at_s), y(*value)))
                .collect();
            let dashes = if line.is_limit { " stroke-dasharray=\"5 4\"" } else { "" };
            let colour = COLOURS[at % COLOURS.len()];
            let _ = writeln!(
                res,
                "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.3\"{dashes} \
                 points=\"{}\"><title>{}</title></polyline>\
                 <text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{}</text>",
                points.join(" "),
                escape(&line.name),
                MARGIN + 130.0 * (at % 7) as f64,
                y(0.0) + 30.0 + 12.0 * (at / 7) as f64,
                escape(&line.name),
            );
        }
        res + "</svg>\n"
    }
}

/// Text for HTML and attributes.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
