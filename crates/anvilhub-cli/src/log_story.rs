use std::collections::HashSet;

use serde_json::Value;

/// Lines before a request's line that the story shows at most.
const MOST_BEFORE: usize = 12;
/// Events that concern every request of an instance.
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
    /// What the lines are shown under, such as the name of the file.
    pub(crate) name: String,
    /// The text of the log.
    pub(crate) text: String,
}

/// The story of one request: its line, and what its instance had concluded before about the instance itself and about the
/// services and upstreams of the request.
pub(crate) fn tell(request: &str, logs: &[InstanceLog]) -> Option<String> {
    let chapters: Vec<String> = logs
        .iter()
        .filter_map(|log| chapter(request, log))
        .collect();
    match chapters.is_empty() {
        true => None,
        false => Some(chapters.concat()),
    }
}

fn chapter(request: &str, log: &InstanceLog) -> Option<String> {
    // Other programs may write to the same output; what is no JSON object is none of our lines.
    let lines: Vec<Value> = log
        .text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let end = lines
        .iter()
        .position(|line| text(line, "request") == request)?;
    let names = names_of(&lines[end]);
    let concerns = |line: &&Value| {
        let event = text(line, "event");
        INSTANCE_EVENTS.contains(&event)
            || names.contains(text(line, "service"))
            || names.contains(text(line, "upstream"))
    };
    let is_belief = |line: &&Value| text(line, "event") != "request ended";
    let before: Vec<&Value> = lines[..end]
        .iter()
        .filter(is_belief)
        .filter(concerns)
        .collect();
    let shown = &before[before.len().saturating_sub(MOST_BEFORE)..];
    let mut story = format!("{}\n", log.name);
    for line in shown.iter().copied().chain([&lines[end]]) {
        story += &sentence(line);
    }
    Some(story)
}

/// Services and upstreams that a request's line names.
fn names_of(line: &Value) -> HashSet<&str> {
    let parts = text(line, "unfinished").split("; ");
    let from_parts = parts
        .filter_map(|part| part.split_once(": "))
        .flat_map(|(place, _)| place.split(" at "));
    let names = from_parts.chain([text(line, "upstream")]);
    names.filter(|name| !name.is_empty()).collect()
}

fn sentence(line: &Value) -> String {
    let mut sentence = format!("  {} {}", text(line, "time"), text(line, "event"));
    let fields = line.as_object().into_iter().flatten();
    for (name, value) in
        fields.filter(|(name, _)| !["time", "event", "level"].contains(&name.as_str()))
    {
        let shown = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        if !shown.is_empty() {
            sentence += &format!(" {name}={shown}");
        }
    }
    sentence + "\n"
}

fn text<'a>(line: &'a Value, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}
