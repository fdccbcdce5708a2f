use std::time::Duration;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, QueryRequest, TicketEntry};
use anvilhub_coord::ids::{CallerName, RequestId, ServiceName};
use anvilhub_coord::sheet::UrgencyClass;
use lexopt::prelude::*;

use crate::command_error::{CommandError, Result};
use crate::command_io::{print, print_json};
use crate::exit_status::ExitStatus;
use crate::instance_client::InstanceClient;

const HELP: &str = "\
Sends one request to an entry instance.

Usage: anvilhub query --entry http://IP:PORT --caller NAME --service NAME [OPTIONS]

Options:
  --query TEXT        Text for the upstreams
  --key N             The single key that the request touches
  --deadline-ms N     Remaining time in milliseconds, 1000 without the option
  --urgency CLASS     urgent, standard or deferred
  --request-id ID     Identifier for logs
  --once              The request is not idempotent: get a ticket, then run it at most once
  --ticket JSON       Send a request that is not idempotent again with its ticket
  --json              Print the answer as JSON
  -h, --help          Show this help

Exit codes: 0 done and complete; 1 partial, not run or unknown; 2 wrong usage; 3 the instance cannot be reached
";

/// Maximum number of rows in the text output.
const MAX_SHOWN_ROWS: usize = 5;
/// Deadline of requests without `--deadline-ms`.
const DEFAULT_DEADLINE_MS: u64 = 1_000;

/// Parsed arguments of the command.
#[derive(Debug)]
struct QueryOptions {
    entry: Option<String>,
    caller: Option<CallerName>,
    service: Option<ServiceName>,
    query: String,
    key: Option<u64>,
    deadline_ms: u64,
    urgency: Option<UrgencyClass>,
    request_id: Option<RequestId>,
    once: bool,
    ticket: Option<TicketEntry>,
    json: bool,
}

impl Default for QueryOptions {
    fn default() -> Self {
        Self {
            entry: None,
            caller: None,
            service: None,
            query: String::new(),
            key: None,
            deadline_ms: DEFAULT_DEADLINE_MS,
            urgency: None,
            request_id: None,
            once: false,
            ticket: None,
            json: false,
        }
    }
}

/// Runs `anvilhub query`.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitStatus> {
    let mut options = QueryOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return print(HELP),
            Long("entry") => options.entry = Some(parser.value()?.string()?),
            Long("caller") => options.caller = Some(parser.value()?.parse()?),
            Long("service") => options.service = Some(parser.value()?.parse()?),
            Long("query") => options.query = parser.value()?.string()?,
            Long("key") => options.key = Some(parser.value()?.parse()?),
            Long("deadline-ms") => options.deadline_ms = parser.value()?.parse()?,
            Long("urgency") => options.urgency = Some(parser.value()?.parse()?),
            Long("request-id") => options.request_id = Some(parser.value()?.parse()?),
            Long("once") => options.once = true,
            Long("ticket") => options.ticket = Some(parse_ticket(&parser.value()?.string()?)?),
            Long("json") => options.json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let entry = options.entry.clone();
    let entry =
        entry.ok_or_else(|| CommandError::invalid_arguments("option `--entry` is missing"))?;
    let client = InstanceClient::new(&entry, Duration::from_millis(options.deadline_ms))?;
    let json = options.json;
    let answer = send_request(&client, options.into_request()?)?;
    match json {
        true => print_json(&answer)?,
        false => print(&render_answer(&answer))?,
    };
    let is_complete = answer.coverage.is_some_and(|coverage| coverage.complete);
    match is_complete && answer.outcome == QueryOutcome::Done {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Negative),
    }
}

fn parse_ticket(text: &str) -> Result<TicketEntry> {
    serde_json::from_str(text).map_err(|error| {
        CommandError::invalid_arguments(format!("the ticket cannot be read: {error}"))
    })
}

/// Sends the request, and sends it again with its ticket when the answer contains one.
fn send_request(client: &InstanceClient, mut request: QueryRequest) -> Result<QueryAnswer> {
    let had_ticket = request.ticket.is_some();
    let answer = post_request(client, &request)?;
    match answer.ticket {
        Some(ticket) if !had_ticket && !request.idempotent => {
            request.ticket = Some(ticket);
            post_request(client, &request)
        }
        _ => Ok(answer),
    }
}

fn post_request(client: &InstanceClient, request: &QueryRequest) -> Result<QueryAnswer> {
    let body = serde_json::to_string(request).expect("border types serialize to JSON");
    Ok(client.post("/v1/query", body)?.1)
}

impl QueryOptions {
    fn into_request(self) -> Result<QueryRequest> {
        let id = format!("cli-{}", std::process::id());
        let id = id.parse().expect("a process id makes a valid identifier");
        Ok(QueryRequest {
            request_id: self.request_id.unwrap_or(id),
            caller: self
                .caller
                .ok_or_else(|| CommandError::invalid_arguments("option `--caller` is missing"))?,
            service: self
                .service
                .ok_or_else(|| CommandError::invalid_arguments("option `--service` is missing"))?,
            deadline_ms: self.deadline_ms,
            urgency: self.urgency,
            idempotent: !self.once && self.ticket.is_none(),
            key: self.key,
            query: self.query,
            ticket: self.ticket,
        })
    }
}

fn render_answer(answer: &QueryAnswer) -> String {
    let mut lines = vec![format!("request {}: {}", answer.request_id, answer.outcome)];
    if let Some(snapshot) = answer.snapshot {
        lines.push(format!("snapshot: {snapshot}"));
    }
    if let Some(coverage) = &answer.coverage {
        let state = if coverage.complete {
            "complete"
        } else {
            "partial"
        };
        lines.push(format!(
            "coverage: {state}, {:.1}% of the key range",
            coverage.fraction * 100.0
        ));
        let missing = coverage.missing.iter();
        lines.extend(
            missing.map(|gap| format!("missing: {}..{} ({})", gap.start, gap.end, gap.reason)),
        );
    }
    if answer.outcome == QueryOutcome::Done {
        lines.push(format!("rows: {}", answer.rows.len()));
        let shown = answer.rows.iter().take(MAX_SHOWN_ROWS);
        lines.extend(shown.map(|row| format!("  {} {}", row.key, row.value)));
        if answer.rows.len() > MAX_SHOWN_ROWS {
            lines.push("  ... use --json for all rows".to_owned());
        }
    }
    if let Some(error) = &answer.error {
        lines.push(format!("error: {} ({})", error.message, error.code));
        lines.push(format!("remedy: {}", error.remedy));
    }
    lines.join("\n") + "\n"
}
