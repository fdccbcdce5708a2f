//! Runs the tool with the folder `examples` as its working directory.

use std::process::Command;

/// Result of one run of the tool.
pub struct ToolRun {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

/// Runs the tool with `arguments`.
pub fn run_tool(arguments: &[&str]) -> ToolRun {
    let output = Command::new(env!("CARGO_BIN_EXE_anvilhub"))
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"))
        .output()
        .unwrap();
    ToolRun {
        code: output.status.code(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}
