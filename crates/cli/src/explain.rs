//! Explains a request from the logs of session hosts.
//!
//! The timeline of a request has the log lines that name it, and the state changes of the hosts and
//! database groups around that time which may explain its outcome.

use crate::error::{Error, Result};
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io::Read;
use std::path::PathBuf;

/// Time before the start of a request from which state changes are included.
const LOOKBACK_MS: u64 = 3_000;
/// Time after the last line of a request up to which state changes are included.
const LOOKAHEAD_MS: u64 = 500;
/// Events of a single host that may affect all of its requests.
const HOST_EVENTS: [&str; 10] = [
    "started",
    "stopping",
    "settings_read",
    "configured",
    "row_unreadable",
    "ready",
    "lease",
    "feed_abandoned",
    "dependency_lost",
    "dependency_regained",
];
/// Events about the primary of a group, which count on any host.
const GROUP_EVENTS: [&str; 2] = ["primary", "promotion"];
/// Fields that are not printed as `name=value`: shown in a column of their own, or not at all.
const OMITTED_FIELDS: [&str; 3] = ["at_ms", "unix_ms", "event"];

/// Event in one line of a log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Name of the host that wrote the line; `-` if unknown.
    pub host: String,
    /// Wall-clock time of the event, in milliseconds since 1970.
    pub unix_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Whether the line names the explained request.
    pub is_own: bool,
    /// All fields of the line.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. None if it contains no event.
    ///
    /// If `host` is None, the last word before the JSON object is the name of the host.
    pub fn parse(text: &str, host: Option<&str>) -> Option<Line> {
        let (prefix, rest) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(rest).ok()?;
        let named = prefix.split_whitespace().next_back();
        Some(Line {
            host: host.or(named).unwrap_or("-").to_owned(),
            unix_ms: fields.get("unix_ms")?.as_u64()?,
            event: fields.get("event")?.as_str()?.to_owned(),
            is_own: false,
            fields,
        })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str).filter(|text| !text.is_empty())
    }

    fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// Time span, hosts, services and targets that the lines of a request refer to.
struct Scope {
    from_ms: u64,
    to_ms: u64,
    hosts: BTreeSet<String>,
    services: BTreeSet<String>,
    targets: BTreeSet<String>,
}

impl Scope {
    fn new(own: &[&Line]) -> Scope {
        let began = |line: &&Line| line.unix_ms.saturating_sub(line.number("elapsed_ms"));
        let texts = |field: &str| -> BTreeSet<String> {
            own.iter().filter_map(|line| line.text(field)).map(str::to_owned).collect()
        };
        Scope {
            from_ms: own.iter().map(began).min().unwrap_or_default().saturating_sub(LOOKBACK_MS),
            to_ms: own.iter().map(|line| line.unix_ms).max().unwrap_or_default() + LOOKAHEAD_MS,
            hosts: own.iter().map(|line| line.host.clone()).collect(),
            services: texts("service"),
            targets: texts("target"),
        }
    }

    /// Returns whether a line that does not name the request may explain its outcome.
    fn covers(&self, line: &Line) -> bool {
        if line.unix_ms < self.from_ms || line.unix_ms > self.to_ms {
            return false;
        }
        let is_of_group = line.text("service").is_some_and(|s| self.services.contains(s));
        let is_of_target = line.text("target").is_some_and(|t| self.targets.contains(t));
        let is_on_host = self.hosts.contains(&line.host);
        let event = line.event.as_str();
        (GROUP_EVENTS.contains(&event) && is_of_group)
            || (event == "target" && is_on_host && (is_of_group || is_of_target))
            || (HOST_EVENTS.contains(&event) && is_on_host)
    }
}

/// Selects the lines that explain a request, by wall-clock time. Empty if no line names it.
pub fn timeline(request: &str, lines: &[Line]) -> Vec<Line> {
    let is_own = |line: &&Line| line.text("request") == Some(request);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    if own.is_empty() {
        return Vec::new();
    }
    let scope = Scope::new(&own);
    let mut timeline: Vec<Line> = lines
        .iter()
        .filter(|line| is_own(line) || scope.covers(line))
        .map(|line| Line { is_own: is_own(&line), ..line.clone() })
        .collect();
    timeline.sort_by_key(|line| line.unix_ms);
    timeline
}

/// Renders a timeline. Times are relative to the last line that names the request; the lines that
/// name it are marked with `>`.
pub fn render(timeline: &[Line]) -> String {
    let end = timeline.iter().filter(|line| line.is_own).map(|line| line.unix_ms).max();
    let end = i128::from(end.unwrap_or_default());
    let mut text = String::new();
    for line in timeline {
        let mark = if line.is_own { '>' } else { ' ' };
        let offset = i128::from(line.unix_ms) - end;
        // Writing to a string can't fail.
        let _ = write!(text, "{mark} {offset:>7} ms  {}  {}", line.host, line.event);
        for (name, value) in
            line.fields.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()))
        {
            let _ = match value {
                Value::String(value) => write!(text, " {name}={value}"),
                value => write!(text, " {name}={value}"),
            };
        }
        text.push('\n');
    }
    text
}

/// Reads `logs`, or standard input if there are none, and returns the timeline of a request.
///
/// Lines of a file belong to the host that the file is named after.
pub fn explain(request: &str, logs: &[PathBuf]) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        lines.extend(text.lines().filter_map(|line| Line::parse(line, None)));
    }
    for path in logs {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::Usage(format!("{}: {error}", path.display())))?;
        let host = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
        lines.extend(text.lines().filter_map(|line| Line::parse(line, host.as_deref())));
    }
    let timeline = timeline(request, &lines);
    if timeline.is_empty() {
        return Err(Error::Verdict(format!(
            "no log line names request {request}: it succeeded at its first attempt, or its line \
             was dropped under load (counted in left_out)"
        )));
    }
    Ok(timeline)
}
