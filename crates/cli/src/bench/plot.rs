//! Plots as inline SVG.

use crate::bench::html::escape;
use std::fmt::Write;

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 300.0;
const LEFT: f64 = 60.0;
const BOTTOM: f64 = 40.0;
const TOP: f64 = 46.0;
const RIGHT: f64 = 16.0;
/// Marks on an axis.
const TICKS: u32 = 5;
const BAR_HEIGHT: f64 = 22.0;
const BAR_LEFT: f64 = 140.0;
const COLOURS: [&str; 6] = ["#1f6f8b", "#b5532a", "#5a7d2a", "#7a4b94", "#8a6d1d", "#444444"];

/// A line of a plot.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Its name in the legend.
    pub name: String,
    /// Its points, in order of x.
    pub points: Vec<(f64, f64)>,
}

/// A plot of lines from zero on both axes.
pub fn lines(title: &str, x_name: &str, y_name: &str, series: &[Series]) -> String {
    let points = || series.iter().flat_map(|series| &series.points);
    let x_max = ceiling(points().map(|point| point.0));
    let y_max = ceiling(points().map(|point| point.1));
    let mut out = open(title, HEIGHT);
    axes(&mut out, (x_name, x_max), (y_name, y_max));
    for (place, series) in series.iter().enumerate() {
        let colour = COLOURS[place % COLOURS.len()];
        let path: Vec<_> = series
            .points
            .iter()
            .map(|(x, y)| format!("{:.1},{:.1}", across(*x, x_max), down(*y, y_max)))
            .collect();
        let path = path.join(" ");
        let _ = writeln!(
            out,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" points=\"{path}\"/>"
        );
        legend(&mut out, place, colour, &series.name);
    }
    out.push_str("</svg>\n");
    out
}

/// Horizontal bars of shares from 0 to 1.
pub fn bars(title: &str, bars: &[(String, f64)]) -> String {
    let height = TOP + BAR_HEIGHT * bars.len() as f64 + RIGHT;
    let mut out = open(title, height);
    let room = WIDTH - BAR_LEFT - 90.0;
    for (place, (name, share)) in bars.iter().enumerate() {
        let y = TOP + BAR_HEIGHT * place as f64;
        let length = room * share.clamp(0.0, 1.0);
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

fn open(title: &str, height: f64) -> String {
    format!(
        "<svg viewBox=\"0 0 {WIDTH} {height}\" width=\"{WIDTH}\" height=\"{height}\" \
         font-size=\"12\" role=\"img\"><text x=\"0\" y=\"14\" font-size=\"14\">{}</text>\n",
        escape(title)
    )
}

fn axes(out: &mut String, (x_name, x_max): (&str, f64), (y_name, y_max): (&str, f64)) {
    let (floor, end) = (HEIGHT - BOTTOM, WIDTH - RIGHT);
    for tick in 0..=TICKS {
        let share = f64::from(tick) / f64::from(TICKS);
        let (x, y) = (across(share, 1.0), down(share, 1.0));
        let _ = writeln!(
            out,
            "<line x1=\"{LEFT}\" x2=\"{end}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
             <text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>",
            LEFT - 6.0,
            y + 4.0,
            short(share * y_max),
            floor + 16.0,
            short(share * x_max)
        );
    }
    let _ = writeln!(
        out,
        "<text x=\"{end}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
         <text x=\"{LEFT}\" y=\"{:.1}\">{}</text>",
        floor + 34.0,
        escape(x_name),
        TOP - 8.0,
        escape(y_name)
    );
}

fn legend(out: &mut String, place: usize, colour: &str, name: &str) {
    let x = LEFT + 90.0 + 150.0 * place as f64;
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

fn across(x: f64, max: f64) -> f64 {
    LEFT + (WIDTH - LEFT - RIGHT) * x / max
}

fn down(y: f64, max: f64) -> f64 {
    HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * y / max
}

/// The highest value; 1 when there is none above zero.
fn ceiling(values: impl Iterator<Item = f64>) -> f64 {
    let highest = values.fold(0.0, f64::max);
    if highest > 0.0 { highest } else { 1.0 }
}

fn short(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.2}"),
    }
}
