//! Renders the report as a self-contained HTML page, with inline styles and plots.

use crate::bench::measure::Measures;
use crate::bench::plot::{self, Axis, Series};
use crate::bench::report::{self, Report, Run};
use std::fmt::Write;

const STYLE: &str = "body{font:15px system-ui,sans-serif;margin:2em auto;max-width:62em;\
padding:0 1em;color:#222}pre{background:#f5f5f2;padding:1em;overflow-x:auto}\
h2{margin-top:2em}svg{max-width:100%}.bad{color:#a1260d}.good{color:#2b6a30}";

/// Renders `report` as a page; it refers to no other file.
pub fn page(report: &Report) -> String {
    let title = escape(&format!("bergamotvale bench: {}", report.scenario));
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>\n"
    );
    out.push_str(&verdict(report));
    let _ = writeln!(out, "<pre>{}</pre>", escape(&report::human(report)));
    for run in &report.runs {
        out.push_str(&section(run));
    }
    out.push_str("</body></html>\n");
    out
}

fn verdict(report: &Report) -> String {
    match report.broken.is_empty() {
        true => "<p class=\"good\">All goals are met.</p>\n".to_owned(),
        false => {
            let broken = escape(&report.broken.join("; "));
            format!("<p class=\"bad\">Not met: {broken}</p>\n")
        }
    }
}

fn section(run: &Run) -> String {
    let mut out = format!("<h2>{}</h2><p>{}</p>\n", escape(run.name), escape(run.about));
    out.push_str(&timeline(&run.measures));
    out.push_str(&latency(&run.measures));
    out.push_str(&accounts(&run.measures));
    out
}

fn timeline(measures: &Measures) -> String {
    let points = &measures.timeline;
    let series = |name, value: fn(&crate::bench::measure::Point) -> u64| Series {
        name: String::from(name),
        points: points.iter().map(|point| (point.at_s, value(point) as f64)).collect(),
    };
    let lines = [
        series("answered", |point| point.answered),
        series("answered writes", |point| point.writes),
        series("refused over rate", |point| point.over_rate),
        series("refused otherwise", |point| point.refused),
    ];
    let values = lines.iter().flat_map(|line| &line.points).map(|point| point.1);
    let x = Axis::linear("time since the start, s", points.iter().map(|point| point.at_s));
    let y = Axis::linear("operations", values);
    plot::lines("Operations per quarter second, with the faults", &x, &y, &lines, &measures.faults)
}

fn latency(measures: &Measures) -> String {
    let curves: Vec<_> = measures
        .latency
        .iter()
        .map(|(kind, latency)| Series {
            name: kind.to_string(),
            points: latency
                .curve
                .iter()
                .map(|(share, ms)| (quantile_position(*share), latency_position(*ms)))
                .collect(),
        })
        .collect();
    let x = Axis::from_labels(
        "share of the operations below",
        &["0 %", "90 %", "99 %", "99.9 %", "99.99 %"],
    );
    let y = Axis::from_labels("ms, log scale", &["0.1", "1", "10", "100", "1,000", "10,000"]);
    plot::lines("Latency from the due time", &x, &y, &curves, &[])
}

/// Position on the logarithmic axis: 0.1 ms is 0, 1 ms is 1, 10 ms is 2 and so on, at most 5.
fn latency_position(millis: f64) -> f64 {
    (millis.max(0.1).log10() + 1.0).min(5.0)
}

/// Position on an axis that stretches the tail: 0.9 is 1, 0.99 is 2 and so on, at most 4.
fn quantile_position(share: f64) -> f64 {
    -(1.0 - share.min(0.9999)).log10()
}

fn accounts(measures: &Measures) -> String {
    let bars: Vec<_> =
        measures.accounts.iter().map(|account| (account.name.clone(), account.share)).collect();
    plot::bars("Share served correctly and on time, worst first", &bars)
}

/// Escapes text for use between tags and in attributes.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
