use std::collections::HashSet;

use serde_json::Value;

/// Maximum number of lines that are shown before the line of a request.
const MAX_LINES_BEFORE: usize = 12;
/// Events that affect every request of an instance.
const INSTANCE_EVENTS: [&str; 6] = [
    "started",
    "draining",
    "readiness changed",
    "dependency lost",
    "dependency regained",
    "configuration adopted",
];

/// The log of one instance.
pub(crate) struct InstanceLog {
    /// Heading of the lines, such as the name of the file.
    pub(crate) name: String,
    /// The text of the log.
    pub(crate) text: String,
}

/// Renders the history of a request from the logs that contain it: the line of the request, and the earlier events of the
/// instance itself and of the services and upstreams of the request. Returns `None` when no log contains the request.
pub(crate) fn render(request: &str, logs: &[InstanceLog]) -> Option<String> {
    let histories: Vec<String> = logs
        .iter()
        .filter_map(|log| instance_history(request, log))
        .collect();
    match histories.is_empty() {
        true => None,
        false => Some(histories.concat()),
    }
}

/// Renders the history of a request from the log of one instance.
fn instance_history(request: &str, log: &InstanceLog) -> Option<String> {
    // Other programs may write to the same output, so lines that are not JSON are skipped.
    let lines: Vec<Value> = log
        .text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let request_index = lines
        .iter()
        .position(|line| field_text(line, "request") == request)?;
    let names = named_targets(&lines[request_index]);
    let is_related = |line: &&Value| {
        let event = field_text(line, "event");
        INSTANCE_EVENTS.contains(&event)
            || names.contains(field_text(line, "service"))
            || names.contains(field_text(line, "upstream"))
    };
    let is_other_event = |line: &&Value| field_text(line, "event") != "request ended";
    let before: Vec<&Value> = lines[..request_index]
        .iter()
        .filter(is_other_event)
        .filter(is_related)
        .collect();
    let shown = &before[before.len().saturating_sub(MAX_LINES_BEFORE)..];
    let mut history = format!("{}\n", log.name);
    for line in shown.iter().copied().chain([&lines[request_index]]) {
        history += &render_line(line);
    }
    Some(history)
}

/// Returns the services and upstreams that the line of a request names.
fn named_targets(line: &Value) -> HashSet<&str> {
    let sub_requests = field_text(line, "unfinished").split("; ");
    let unfinished = sub_requests
        .filter_map(|sub_request| sub_request.split_once(": "))
        .flat_map(|(target, _)| target.split(" at "));
    let names = unfinished.chain([field_text(line, "upstream")]);
    names.filter(|name| !name.is_empty()).collect()
}

fn render_line(line: &Value) -> String {
    let mut text = format!(
        "  {} {}",
        field_text(line, "time"),
        field_text(line, "event")
    );
    let fields = line.as_object().into_iter().flatten();
    for (name, value) in
        fields.filter(|(name, _)| !["time", "event", "level"].contains(&name.as_str()))
    {
        let shown = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        if !shown.is_empty() {
            text += &format!(" {name}={shown}");
        }
    }
    text + "\n"
}

/// Returns the text of a field, empty when the line has no such text.
fn field_text<'a>(line: &'a Value, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}
