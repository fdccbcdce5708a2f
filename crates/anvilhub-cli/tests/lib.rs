//! Tests of the command-line tool, one file per feature.

mod check_command;
mod diff_command;
mod explain_request;
mod tool;
