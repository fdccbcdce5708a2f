use std::collections::HashSet;

use serde_json::Value;

/// Maximum number of lines that are shown before the line of a request.
const MAX_EARLIER_LINES: usize = 12;
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
    /// Heading of the lines, for example the name of the file.
    pub(crate) name: String,
    /// The text of the log.
    pub(crate) text: String,
}

/// Renders the history of a request from the logs that contain it: the line of the request, and the earlier events of
/// the instance itself and of the services and upstreams of the request. Returns `None` when no log contains the
/// request.
pub(crate) fn render_history(request: &str, logs: &[InstanceLog]) -> Option<String> {
    let histories: Vec<String> = logs
        .iter()
        .filter_map(|log| render_instance_history(request, log))
        .collect();
    match histories.is_empty() {
        true => None,
        false => Some(histories.concat()),
    }
}

/// Renders the history of a request from the log of one instance.
fn render_instance_history(request: &str, log: &InstanceLog) -> Option<String> {
    // Other programs may write to the same output, so lines that are not JSON are skipped.
    let lines: Vec<Value> = log
        .text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let request_index = lines
        .iter()
        .position(|line| read_field(line, "request") == request)?;
    let targets = collect_targets(&lines[request_index]);
    let is_related = |line: &&Value| {
        let event = read_field(line, "event");
        INSTANCE_EVENTS.contains(&event)
            || targets.contains(read_field(line, "service"))
            || targets.contains(read_field(line, "upstream"))
    };
    let is_other_event = |line: &&Value| read_field(line, "event") != "request ended";
    let earlier: Vec<&Value> = lines[..request_index]
        .iter()
        .filter(is_other_event)
        .filter(is_related)
        .collect();
    let shown = &earlier[earlier.len().saturating_sub(MAX_EARLIER_LINES)..];
    let mut history = format!("{}\n", log.name);
    for line in shown.iter().copied().chain([&lines[request_index]]) {
        history += &render_line(line);
    }
    Some(history)
}

/// Returns the services and upstreams that the line of a request names.
fn collect_targets(line: &Value) -> HashSet<&str> {
    let sub_requests = read_field(line, "unfinished").split("; ");
    let unfinished = sub_requests
        .filter_map(|sub_request| sub_request.split_once(": "))
        .flat_map(|(target, _)| target.split(" at "));
    let names = unfinished.chain([read_field(line, "upstream")]);
    names.filter(|name| !name.is_empty()).collect()
}

fn render_line(line: &Value) -> String {
    let mut text = format!(
        "  {} {}",
        read_field(line, "time"),
        read_field(line, "event")
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
fn read_field<'a>(line: &'a Value, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}
