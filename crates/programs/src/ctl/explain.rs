//! `explain`: shows the log lines of one request from the logs of all processes.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use clap::ArgMatches;
use jiff::Span;
use jiff::Timestamp;
use serde_json::Value;

use super::failure::Failure;

/// Seconds before the request's first line from which context lines are shown.
const CONTEXT_SECONDS: i64 = 3;

/// Messages about the state of a process that are shown as context of a request.
const CONTEXT_MESSAGES: [&str; 10] = [
    "store call failed",
    "store answers again",
    "tables in force",
    "objects taken from another entry",
    "entry lost",
    "entry found again",
    "stop began",
    "process started",
    "move decided",
    "log lines left out",
];

/// Fields that are common to all lines or shown in the first columns.
const COMMON_FIELDS: [&str; 5] = ["ts", "level", "msg", "process", "request"];

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
struct LogLine {
    at: Timestamp,
    source: String,
    fields: serde_json::Map<String, Value>,
}

impl LogLine {
    /// Parses a line; the last word before the JSON object is its source, or else the file name.
    fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: serde_json::Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let at = fields.get("ts")?.as_str()?.parse().ok()?;
        let prefix = text[..start].split_whitespace().last();
        Some(Self {
            at,
            source: prefix.unwrap_or(file).to_owned(),
            fields,
        })
    }

    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn is_about(&self, id: &str) -> bool {
        self.text("request") == id
    }

    fn render(&self, first: Timestamp) -> String {
        let ms = self.at.duration_since(first).as_millis();
        let details = self.fields.iter();
        let details = details
            .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null())
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name} {text}"),
                None => format!("{name} {value}"),
            });
        let details: Vec<String> = details.collect();
        format!(
            "{ms:>7} ms  {}  {}: {}",
            self.source,
            self.text("msg"),
            details.join(", ")
        )
    }
}

/// Returns the lines about the request `id` among log lines, each given with the name of its file.
///
/// The lines are ordered by time, shown in milliseconds from the request's first line. They include
/// lines about the state of the processes that handled the request at that time.
#[must_use]
pub fn explain<'a>(id: &str, lines: impl IntoIterator<Item = (&'a str, &'a str)>) -> Vec<String> {
    let lines = lines.into_iter();
    let mut lines: Vec<LogLine> = lines
        .filter_map(|(file, text)| LogLine::parse(text, file))
        .collect();
    lines.sort_by_key(|line| line.at);
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let from = first.at - Span::new().seconds(CONTEXT_SECONDS);
    let sources: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    let endpoints: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.text("endpoint"))
        .collect();
    let is_context = |line: &LogLine| {
        let is_in_period = line.at >= from && line.at <= last.at;
        let is_context_message = CONTEXT_MESSAGES.contains(&line.text("msg"));
        let endpoint = line.text("endpoint");
        let is_endpoint_message =
            line.text("msg").starts_with("endpoint ") && endpoints.contains(endpoint);
        is_in_period
            && sources.contains(line.source.as_str())
            && (is_context_message || is_endpoint_message)
    };
    let shown = lines.iter().filter(|l| l.is_about(id) || is_context(l));
    shown.map(|line| line.render(first.at)).collect()
}

/// Runs the command.
pub(super) fn run(m: &ArgMatches) -> Result<(), Failure> {
    let id = m.get_one::<String>("id").map_or("", String::as_str);
    let files = m.get_many::<PathBuf>("files").unwrap_or_default();
    let mut lines = Vec::new();
    for path in files {
        let name = path.display().to_string();
        let failed = |e| Failure::usage(format!("{name}: {e}"));
        let file = File::open(path).map_err(failed)?;
        for line in BufReader::new(file).lines() {
            lines.push((name.clone(), line.map_err(failed)?));
        }
    }
    let pairs = lines.iter().map(|(f, l)| (f.as_str(), l.as_str()));
    let report = explain(id, pairs);
    if report.is_empty() {
        return Err(Failure::usage(format!(
            "no log line is about request {id}; its lines were dropped under load or are in other files"
        )));
    }
    for line in report {
        println!("{line}");
    }
    Ok(())
}
