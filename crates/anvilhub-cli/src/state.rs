use std::time::Duration;

use anvilhub_coord::border::operator::{SheetState, StateReport};
use anvilhub_coord::border::platform::{InstanceList, InstanceRole};
use lexopt::prelude::*;
use serde::Serialize;

use crate::command_error::{CommandError, Result};
use crate::command_io::{print, print_json};
use crate::exit_status::ExitStatus;
use crate::instance_client::InstanceClient;

const HELP: &str = "\
Shows the state of one instance, or of all that the platform lists.

Usage: anvilhub state --instance http://IP:OPERATOR_PORT [--json]
       anvilhub state --platform http://IP:PORT [--json]

Options:
  --instance URL   Operator address of an instance; may be given several times
  --platform URL   Show every entry instance that the platform lists
  --json           Print the state as JSON
  -h, --help       Show this help

Exit codes: 0 all answered and have the same sheet in force; 1 they differ, are not ready, or one does not
answer; 2 wrong usage; 3 the platform cannot be reached
";

/// Number of characters of a digest that the text output shows.
const SHOWN_DIGEST_CHARS: usize = 12;

/// The state that an instance reported, or why it could not be read. It is printed with `--json`.
#[derive(Serialize)]
struct InstanceReport {
    address: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    state: Option<StateReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Runs `anvilhub state`.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitStatus> {
    let mut instances = Vec::new();
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return print(HELP),
            Long("instance") => instances.push(parser.value()?.string()?),
            Long("platform") => {
                instances.extend(list_operator_addresses(&parser.value()?.string()?)?)
            }
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if instances.is_empty() {
        return Err(CommandError::invalid_arguments(
            "no instance was given or listed",
        ));
    }
    let reports: Vec<_> = instances.into_iter().map(InstanceReport::read).collect();
    match json {
        true => print_json(&reports)?,
        false => print(
            &reports
                .iter()
                .map(InstanceReport::to_text)
                .collect::<String>(),
        )?,
    };
    match are_consistent(&reports) {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Negative),
    }
}

/// Returns the operator addresses of the entry instances that the platform lists.
fn list_operator_addresses(platform: &str) -> Result<Vec<String>> {
    let client = InstanceClient::new(platform, Duration::ZERO)?;
    let list: InstanceList = client.get("/instances")?;
    let instances = list.instances.into_iter();
    let entries = instances.filter(|instance| instance.role == InstanceRole::Entry);
    Ok(entries.filter_map(|entry| entry.operator_address).collect())
}

/// Returns whether all instances are ready with the same sheet in force.
fn are_consistent(reports: &[InstanceReport]) -> bool {
    let sheet = reports.first().and_then(InstanceReport::sheet);
    reports.iter().all(|report| {
        let is_ready = report
            .state
            .as_ref()
            .is_some_and(|state| state.stage == "ready");
        is_ready && report.sheet().is_some() && report.sheet() == sheet
    })
}

impl InstanceReport {
    fn read(address: String) -> Self {
        let read = || InstanceClient::new(&address, Duration::ZERO)?.get("/state");
        let (state, error) = match read() {
            Ok(state) => (Some(state), None),
            Err(error) => (None, Some(error.to_string())),
        };
        Self {
            address,
            state,
            error,
        }
    }

    fn sheet(&self) -> Option<&SheetState> {
        self.state.as_ref()?.sheet.as_ref()
    }

    fn to_text(&self) -> String {
        let Some(state) = &self.state else {
            let error = self.error.as_deref().unwrap_or("no answer");
            return format!("{}: {error}\n", self.address);
        };
        let sheet = state.sheet.as_ref().map_or("none".to_owned(), |sheet| {
            format!(
                "version {} ({})",
                sheet.version,
                &sheet.digest[..sheet.digest.len().min(SHOWN_DIGEST_CHARS)]
            )
        });
        let mut lines = vec![
            format!(
                "{} in {} at {}: {}",
                state.instance, state.failure_domain, self.address, state.stage
            ),
            format!("  sheet in force: {sheet}"),
            format!(
                "  requests in flight: {}, tickets: {}",
                state.requests_in_flight, state.tickets
            ),
        ];
        lines.extend(state.alarms.iter().map(|alarm| format!("  alarm: {alarm}")));
        lines.extend(
            state
                .peers
                .iter()
                .map(|peer| format!("  peer {}: {}", peer.instance, peer.state)),
        );
        lines.extend(state.upstreams.iter().map(|upstream| {
            let shard = format!("{}/{}", upstream.service, upstream.shard);
            format!(
                "  upstream {} of {shard}: {}, {} in flight",
                upstream.id, upstream.status, upstream.in_flight
            )
        }));
        lines.join("\n") + "\n"
    }
}
