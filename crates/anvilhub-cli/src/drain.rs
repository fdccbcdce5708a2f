use std::time::Duration;

use lexopt::prelude::*;

use crate::command_error::{CommandError, Result};
use crate::command_io::print;
use crate::exit_status::ExitStatus;
use crate::instance_client::InstanceClient;

const HELP: &str = "\
Starts a planned stop of an instance: it finishes its work and exits.

Usage: anvilhub drain --instance http://IP:OPERATOR_PORT

Options:
  --instance URL   Operator address of the instance
  -h, --help       Show this help

Exit codes: 0 the instance drains; 1 it refused; 2 wrong usage; 3 the instance cannot be reached
";

/// Runs `anvilhub drain`.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitStatus> {
    let mut instance = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return print(HELP),
            Long("instance") => instance = Some(parser.value()?.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let instance = instance
        .ok_or_else(|| CommandError::invalid_arguments("option `--instance` is missing"))?;
    let status = InstanceClient::new(&instance, Duration::ZERO)?.post_empty("/drain")?;
    match status.is_success() {
        true => print(&format!(
            "{instance} drains; `anvilhub state` shows its progress\n"
        )),
        false => {
            print(&format!("{instance} refused with HTTP status {status}\n"))?;
            Ok(ExitStatus::Negative)
        }
    }
}
