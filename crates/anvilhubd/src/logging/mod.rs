//! Logs in JSON lines: on standard error for the daemon, and with a limited number of lines on standard output for the
//! gateway.

mod json_line;
mod line_budget;
mod line_writer;

use eyre::{Result, WrapErr};
use flexi_logger::{Logger, LoggerHandle};
use log::LevelFilter;

pub use line_budget::LineBudget;
pub use line_writer::LineWriter;

/// Starts a logger on standard error; it stops when the handle is dropped.
pub(crate) fn start(level: LevelFilter) -> Result<LoggerHandle> {
    Logger::with(level)
        .log_to_stderr()
        .format(flexi_logger::json_format)
        .start()
        .wrap_err("cannot start the logger")
}

/// Starts a logger with a limited number of lines on standard output; it stops when the handle is dropped.
pub(crate) fn start_bounded(level: LevelFilter) -> Result<LoggerHandle> {
    let writer = LineWriter::spawn(std::io::stdout()).wrap_err("cannot start the log thread")?;
    Logger::with(level)
        .log_to_writer(Box::new(writer))
        .format(json_line::write)
        .start()
        .wrap_err("cannot start the logger")
}
