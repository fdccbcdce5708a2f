use std::time::Duration;

use anvilhub_coord::border::operator::{ExplainReplica, ExplainReport, ExplainShard};
use anvilhub_coord::ids::ServiceName;
use lexopt::prelude::*;

use crate::command_error::{CommandError, Result};
use crate::exit_status::ExitStatus;
use crate::instance_client::InstanceClient;
use crate::sheet_file::{print, print_json};

const USAGE: &str = "\
Explains how an instance would route a request now. Nothing is sent to an upstream.

Usage: anvilhub explain --instance http://IP:OPERATOR_PORT --service NAME [--key N] [--json]

Options:
  --instance URL   Operator address of the instance
  --service NAME   Service of the request
  --key N          The single key that the request touches; the whole key space without it
  --json           Print the explanation as JSON
  -h, --help       Show this help

Exit codes: 0 every shard has a replica to use; 1 at least one has none; 2 wrong usage; 3 the instance cannot
be reached or does not know the service
";

/// Runs `anvilhub explain`.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitStatus> {
    let mut instance = None;
    let mut service: Option<ServiceName> = None;
    let mut key: Option<u64> = None;
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return print(USAGE),
            Long("instance") => instance = Some(parser.value()?.string()?),
            Long("service") => service = Some(parser.value()?.parse()?),
            Long("key") => key = Some(parser.value()?.parse()?),
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let instance = instance.ok_or_else(|| CommandError::usage("option `--instance` is missing"))?;
    let service = service.ok_or_else(|| CommandError::usage("option `--service` is missing"))?;
    let key = key.map(|key| format!("&key={key}")).unwrap_or_default();
    let client = InstanceClient::new(&instance, Duration::ZERO)?;
    let report: ExplainReport = client.get(&format!("/explain?service={service}{key}"))?;
    match json {
        true => print_json(&report)?,
        false => print(&text(&report))?,
    };
    match report.shards.iter().all(|shard| shard.chosen.is_some()) {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Negative),
    }
}

fn text(report: &ExplainReport) -> String {
    let snapshot = report
        .snapshot
        .map_or("unknown".to_owned(), |snapshot| snapshot.to_string());
    let head = format!(
        "{} at {}, sheet version {}, snapshot {snapshot}: {} of {} run, {} wait\n",
        report.service,
        report.instance,
        report.sheet_version,
        report.running,
        report.limit,
        report.waiting
    );
    let shards = report.shards.iter();
    shards.fold(head, |text, shard| text + &shard_text(shard))
}

fn shard_text(shard: &ExplainShard) -> String {
    let chosen = shard
        .chosen
        .as_ref()
        .map_or("no replica", |chosen| chosen.as_str());
    let owner = match (&shard.owner, shard.owner_bypassed) {
        (None, _) => "queued here".to_owned(),
        (Some(owner), false) => format!("queued by {owner}"),
        (Some(owner), true) => format!("sent directly, since the owner {owner} does not answer"),
    };
    let head = format!(
        "{} {}..{}: {chosen} ({}), {owner}\n",
        shard.shard, shard.start, shard.end, shard.reason
    );
    let replicas = shard.replicas.iter();
    replicas.fold(head, |text, replica| text + &replica_text(replica))
}

fn replica_text(replica: &ExplainReplica) -> String {
    let state = match (&replica.leaving, replica.ejected) {
        (Some(signal), _) => format!("leaving, by {signal}"),
        (None, true) => "ejected".to_owned(),
        (None, false) => "usable".to_owned(),
    };
    format!(
        "  {} {}: {state}, {} in flight, {} us expected\n",
        replica.upstream, replica.address, replica.in_flight, replica.expected_us
    )
}
