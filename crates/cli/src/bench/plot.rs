//! Renders plots as inline SVG.

use crate::bench::html::escape;
use std::fmt::Write;

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 300.0;
const LEFT: f64 = 60.0;
const BOTTOM: f64 = 40.0;
const TOP: f64 = 46.0;
const RIGHT: f64 = 30.0;
/// Intervals between the marks of a linear axis.
const TICKS: u32 = 5;
/// Rows over which the labels of vertical lines are staggered.
const LABEL_ROWS: usize = 4;
const BAR_HEIGHT: f64 = 22.0;
const BAR_LEFT: f64 = 140.0;
const COLOURS: [&str; 6] = ["#1f6f8b", "#b5532a", "#5a7d2a", "#7a4b94", "#8a6d1d", "#444444"];

/// A data series, drawn as a line.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y), in order of x.
    pub points: Vec<(f64, f64)>,
}

/// An axis that starts at zero.
#[derive(Debug, Clone, PartialEq)]
pub struct Axis {
    /// Label of the axis, with the unit.
    pub name: String,
    /// Marks as pairs of value and text, in increasing order; the last one is the end of the axis.
    pub marks: Vec<(f64, String)>,
}

impl Axis {
    /// An axis with evenly spaced marks up to the highest of `values`.
    pub fn linear(name: &str, values: impl Iterator<Item = f64>) -> Axis {
        let max = axis_end(values);
        let value = |tick: u32| max * f64::from(tick) / f64::from(TICKS);
        let marks = (0..=TICKS).map(|tick| (value(tick), format_mark(value(tick)))).collect();
        Axis { name: name.to_owned(), marks }
    }

    /// An axis with `marks` at 0, 1, 2 and so on.
    pub fn from_labels(name: &str, marks: &[&str]) -> Axis {
        let marks = marks.iter().enumerate();
        let marks = marks.map(|(index, text)| (index as f64, (*text).to_owned())).collect();
        Axis { name: name.to_owned(), marks }
    }

    fn max(&self) -> f64 {
        self.marks.last().map_or(1.0, |mark| mark.0)
    }
}

/// Renders a line plot, with labelled vertical lines at the x values of `events`.
pub fn lines(
    title: &str,
    x: &Axis,
    y: &Axis,
    series: &[Series],
    events: &[(f64, String)],
) -> String {
    let mut out = open_svg(title, HEIGHT);
    axes(&mut out, x, y);
    vertical_lines(&mut out, x, events);
    for (index, series) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let path: Vec<_> = series
            .points
            .iter()
            .map(|point| format!("{:.1},{:.1}", to_x(point.0, x.max()), to_y(point.1, y.max())))
            .collect();
        let path = path.join(" ");
        let _ = writeln!(
            out,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" points=\"{path}\"/>"
        );
        legend(&mut out, index, colour, &series.name);
    }
    out.push_str("</svg>\n");
    out
}

/// Draws labelled vertical lines. Labels are staggered over rows, so that those of close lines
/// don't overlap.
fn vertical_lines(out: &mut String, axis: &Axis, events: &[(f64, String)]) {
    for (index, (value, name)) in events.iter().enumerate() {
        let x = to_x(value.min(axis.max()), axis.max());
        let y = TOP + 12.0 + 12.0 * (index % LABEL_ROWS) as f64;
        let _ = writeln!(
            out,
            "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{TOP}\" y2=\"{:.1}\" stroke=\"#999\" \
             stroke-dasharray=\"3 3\"/><text x=\"{:.1}\" y=\"{y:.1}\" font-size=\"10\" \
             fill=\"#666\">{}</text>",
            HEIGHT - BOTTOM,
            x + 3.0,
            escape(name)
        );
    }
}

/// Renders a bar chart of shares from 0 to 1, one horizontal bar for each.
pub fn bars(title: &str, bars: &[(String, f64)]) -> String {
    let height = TOP + BAR_HEIGHT * bars.len() as f64 + RIGHT;
    let mut out = open_svg(title, height);
    let max_length = WIDTH - BAR_LEFT - 90.0;
    for (index, (name, share)) in bars.iter().enumerate() {
        let y = TOP + BAR_HEIGHT * index as f64;
        let length = max_length * share.clamp(0.0, 1.0);
        let _ = writeln!(
            out,
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
             <rect x=\"{BAR_LEFT}\" y=\"{y:.1}\" width=\"{length:.1}\" height=\"{:.1}\" \
             fill=\"{}\"/><text x=\"{:.1}\" y=\"{:.1}\">{:.2} %</text>",
            BAR_LEFT - 8.0,
            y + 14.0,
            escape(name),
            BAR_HEIGHT - 6.0,
            COLOURS[0],
            BAR_LEFT + length + 6.0,
            y + 14.0,
            share * 100.0
        );
    }
    out.push_str("</svg>\n");
    out
}

fn open_svg(title: &str, height: f64) -> String {
    format!(
        "<svg viewBox=\"0 0 {WIDTH} {height}\" width=\"{WIDTH}\" height=\"{height}\" \
         font-size=\"12\" role=\"img\"><text x=\"0\" y=\"14\" font-size=\"14\">{}</text>\n",
        escape(title)
    )
}

fn axes(out: &mut String, x_axis: &Axis, y_axis: &Axis) {
    let (bottom, right) = (HEIGHT - BOTTOM, WIDTH - RIGHT);
    for (value, text) in &y_axis.marks {
        let y = to_y(*value, y_axis.max());
        let _ = writeln!(
            out,
            "<line x1=\"{LEFT}\" x2=\"{right}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
            LEFT - 6.0,
            y + 4.0,
            escape(text)
        );
    }
    for (value, text) in &x_axis.marks {
        let _ = writeln!(
            out,
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>",
            to_x(*value, x_axis.max()),
            bottom + 16.0,
            escape(text)
        );
    }
    let _ = writeln!(
        out,
        "<text x=\"{right}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
         <text x=\"0\" y=\"{:.1}\">{}</text>",
        bottom + 34.0,
        escape(&x_axis.name),
        TOP - 8.0,
        escape(&y_axis.name)
    );
}

fn legend(out: &mut String, index: usize, colour: &str, name: &str) {
    let x = LEFT + 100.0 + 125.0 * index as f64;
    let y = TOP - 12.0;
    let _ = writeln!(
        out,
        "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"10\" height=\"10\" fill=\"{colour}\"/>\
         <text x=\"{:.1}\" y=\"{:.1}\">{}</text>",
        y - 6.0,
        x + 14.0,
        y + 3.0,
        escape(name)
    );
}

fn to_x(x: f64, max: f64) -> f64 {
    LEFT + (WIDTH - LEFT - RIGHT) * x / max
}

fn to_y(y: f64, max: f64) -> f64 {
    HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * y / max
}

/// The highest value; 1 if none is above zero, so that the axis has a length.
fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    let highest = values.fold(0.0, f64::max);
    if highest > 0.0 { highest } else { 1.0 }
}

fn format_mark(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.2}"),
    }
}
