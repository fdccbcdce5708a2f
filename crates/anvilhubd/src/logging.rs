//! JSON-lines logs on standard error.

use eyre::{Result, WrapErr};
use flexi_logger::{Logger, LoggerHandle};
use log::LevelFilter;

/// Starts the logger; it stops when the handle is dropped.
pub(crate) fn start(level: LevelFilter) -> Result<LoggerHandle> {
    Logger::with(level)
        .log_to_stderr()
        .format(flexi_logger::json_format)
        .start()
        .wrap_err("cannot start the logger")
}

/// Starts the logger on standard output; it stops when the handle is dropped.
pub(crate) fn start_stdout(level: LevelFilter) -> Result<LoggerHandle> {
    Logger::with(level)
        .log_to_stdout()
        .format(flexi_logger::json_format)
        .start()
        .wrap_err("cannot start the logger")
}
