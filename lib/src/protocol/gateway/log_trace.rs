//! Traces one request through the saved logs of several hosts.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Fields that every line has and that a trace of one request need not repeat.
const COMMON_FIELDS: [&str; 4] = ["msg", "level", "ts", "request"];
/// Fields that name a server: the one of a send, and those of the sends that a hedged request raced.
const SERVER_FIELDS: [&str; 3] = ["server", "slow_server", "loser"];
/// Messages about the process and its dependencies, which show the conditions during a request.
const DEPENDENCY_MESSAGES: [&str; 14] = [
    "start",
    "stop begins",
    "stop ends",
    "store lost",
    "store is back",
    "readiness changed",
    "configuration accepted",
    "configuration rejected",
    "servers listed",
    "missing servers dropped",
    "settings reloaded",
    "log lines were left out",
    "prompt part isolated",
    "prompt part cleared",
];
/// Messages about evacuations. They may come long before the requests that they explain.
const ZONE_MESSAGES: [&str; 2] = ["zone evacuated", "zone restored"];

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TraceLine {
    /// The timestamp as written in the log.
    pub time: String,
    /// The name of the host whose log has the line.
    pub host: String,
    /// The message, followed by the remaining fields.
    pub text: String,
}

struct LogLine<'a> {
    host: &'a str,
    fields: Map<String, Value>,
}

impl LogLine<'_> {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn to_trace_line(&self) -> TraceLine {
        let mut names: Vec<&String> = self.fields.keys().collect();
        names.retain(|name| !COMMON_FIELDS.contains(&name.as_str()));
        names.sort();
        let mut text = self.text("msg").to_owned();
        for name in names {
            let value = &self.fields[name];
            let formatted = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(" {name}={formatted}"));
        }
        TraceLine { time: self.text("ts").to_owned(), host: self.host.to_owned(), text }
    }
}

/// Returns the lines of `request` ordered by time, together with the lines about changes and pauses of
/// the servers that they name, those about evacuations up to its end if it met one, and, between its first and last line, about the processes and their
/// dependencies.
///
/// `logs` contains pairs of a host's name and its log. Lines without a JSON object are skipped.
///
/// ```
/// use wasabicrank_lib::protocol::trace_request;
/// let log = r#"{"ts":"2","msg":"request ended","request":"r1","outcome":"cut"}"#;
/// let lines = trace_request(&[("host-1", log)], "r1");
/// assert_eq!(lines[0].text, "request ended outcome=cut");
/// ```
pub fn trace_request(logs: &[(&str, &str)], request: &str) -> Vec<TraceLine> {
    let lines: Vec<LogLine<'_>> = logs
        .iter()
        .flat_map(|(host, text)| text.lines().filter_map(|line| parse_line(host, line)))
        .collect();
    let request_lines: Vec<&LogLine<'_>> =
        lines.iter().filter(|line| line.text("request") == request).collect();
    let (Some(first), Some(last)) = (
        request_lines.iter().map(|line| line.text("ts")).min(),
        request_lines.iter().map(|line| line.text("ts")).max(),
    ) else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| SERVER_FIELDS.map(|name| line.text(name)))
        .filter(|id| !id.is_empty())
        .collect();
    let meets_evacuation = request_lines.iter().any(|line| {
        line.text("outcome") == "zones_evacuated"
            || line.text("cause") == "zones_evacuated"
            || line.text("reason") == "zones_evacuated"
            || line.text("result") == "evacuated"
    });
    let is_relevant = |line: &&LogLine<'_>| {
        let message = line.text("msg");
        let is_within = (first..=last).contains(&line.text("ts"));
        let names_server = || servers.iter().any(|id| line.text("change").contains(id));
        line.text("request") == request
            || (is_within && DEPENDENCY_MESSAGES.contains(&message))
            || (ZONE_MESSAGES.contains(&message)
                && (is_within || (meets_evacuation && line.text("ts") <= last)))
            || (message == "server changed" && names_server())
            || (message == "server leaving" && servers.contains(line.text("server")))
            || (message == "server paused" && servers.contains(line.text("server")))
    };
    let mut trace: Vec<TraceLine> =
        lines.iter().filter(is_relevant).map(LogLine::to_trace_line).collect();
    trace.sort();
    trace
}

/// Parses a line. A log collector may have put a timestamp or a name before the JSON object.
fn parse_line<'a>(host: &'a str, line: &str) -> Option<LogLine<'a>> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    fields.contains_key("msg").then_some(LogLine { host, fields })
}
