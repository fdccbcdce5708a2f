use std::path::PathBuf;
use std::time::Duration;

use anvilhub_coord::border::operator::{ExplainReport, ExplainShard};
use anvilhub_coord::ids::ServiceName;
use lexopt::prelude::*;

use crate::command_error::{CommandError, Result};
use crate::command_io::{print, print_json};
use crate::exit_status::ExitStatus;
use crate::instance_client::InstanceClient;
use crate::request_history::{self, InstanceLog};

const HELP: &str = "\
Explains how an instance would route a request now, or what happened to a past request. Nothing is sent to an upstream.

Usage: anvilhub explain --instance http://IP:OPERATOR_PORT --service NAME [--key N] [--json]
       anvilhub explain --request ID LOG...

Options:
  --request ID     Identifier of a request; LOG are logs of instances on the platform, one file each
  --instance URL   Operator address of the instance
  --service NAME   Service of the request
  --key N          The single key that the request touches; the whole key space without it
  --json           Print the explanation as JSON
  -h, --help       Show this help

Exit codes: 0 every shard has a replica to use, or the request was found; 1 a shard has no replica to use, or the
request was not found; 2 wrong usage; 3 the instance cannot be reached or does not know the service
";

/// Runs `anvilhub explain`.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitStatus> {
    let mut instance = None;
    let mut service: Option<ServiceName> = None;
    let mut key: Option<u64> = None;
    let mut json = false;
    let mut request = None;
    let mut logs: Vec<PathBuf> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return print(HELP),
            Long("instance") => instance = Some(parser.value()?.string()?),
            Long("service") => service = Some(parser.value()?.parse()?),
            Long("key") => key = Some(parser.value()?.parse()?),
            Long("json") => json = true,
            Long("request") => request = Some(parser.value()?.string()?),
            Value(path) if request.is_some() => logs.push(path.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    if let Some(request) = request {
        return explain_request(&request, logs);
    }
    let instance = instance
        .ok_or_else(|| CommandError::invalid_arguments("option `--instance` is missing"))?;
    let service =
        service.ok_or_else(|| CommandError::invalid_arguments("option `--service` is missing"))?;
    let key = key.map(|key| format!("&key={key}")).unwrap_or_default();
    let client = InstanceClient::new(&instance, Duration::ZERO)?;
    let report: ExplainReport = client.get(&format!("/explain?service={service}{key}"))?;
    match json {
        true => print_json(&report)?,
        false => print(&render_report(&report))?,
    };
    match report.shards.iter().all(|shard| shard.chosen.is_some()) {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Negative),
    }
}

/// Explains what happened to a request, from the logs of instances.
fn explain_request(request: &str, paths: Vec<PathBuf>) -> Result<ExitStatus> {
    if paths.is_empty() {
        return Err(CommandError::invalid_arguments(
            "option `--request` needs the logs to search",
        ));
    }
    let read = |path: PathBuf| match std::fs::read_to_string(&path) {
        Ok(text) => Ok(InstanceLog {
            name: path.display().to_string(),
            text,
        }),
        Err(source) => Err(CommandError::UnreadableFile { path, source }),
    };
    let logs: Vec<InstanceLog> = paths.into_iter().map(read).collect::<Result<_>>()?;
    match request_history::render_history(request, &logs) {
        Some(history) => print(&history),
        None => {
            print(&format!("request {request} is in none of the logs\n"))?;
            Ok(ExitStatus::Negative)
        }
    }
}

fn render_report(report: &ExplainReport) -> String {
    let snapshot = report
        .snapshot
        .map_or("unknown".to_owned(), |snapshot| snapshot.to_string());
    let heading = format!(
        "{}, keys {}..{}, snapshot {snapshot}\n",
        report.service, report.start, report.end
    );
    report
        .shards
        .iter()
        .fold(heading, |text, shard| text + &render_shard(shard))
}

fn render_shard(shard: &ExplainShard) -> String {
    let chosen = shard
        .chosen
        .as_ref()
        .map_or("no replica", |chosen| chosen.as_str());
    let mut text = format!(
        "{} {}..{}: {chosen} ({}), owner {}\n",
        shard.shard, shard.start, shard.end, shard.reason, shard.owner
    );
    for replica in &shard.replicas {
        let latency = replica
            .latency_us
            .map_or("no latency yet".to_owned(), |latency_us| {
                format!("{latency_us} us")
            });
        text += &format!(
            "  {}: {}, {} in flight, {latency}\n",
            replica.id, replica.status, replica.in_flight
        );
    }
    text
}
