//! Shows the fault matrix from the output of `cargo test` on standard input.

use std::fs;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use anvilhub_dev::matrix::{
    CellExemption, FaultMatrix, MatrixPage, MutationRecord, TestVerdict, VerdictReport,
};
use eyre::{Result, WrapErr, bail};
use lexopt::prelude::*;

const EXEMPTIONS_FILE: &str = "docs/fault-matrix-exempt.txt";
const MUTATIONS_FILE: &str = "docs/mutations.txt";

const HELP: &str = "\
anvilhub-matrix: shows the fault matrix from the output of `cargo test` on standard input

Run it from the repository's root. It reads docs/fault-matrix-exempt.txt and docs/mutations.txt.

Modes:
  --page            print docs/fault-matrix.md; the input is that of `cargo test --workspace -- --list`
  --verdicts        print a verdict for each cell; the input is that of a run
  --help            print this text

Exit codes: 0 success, 1 a cell failed, has neither a test nor a reason or has both, or a guarantee has no mutation,
2 wrong usage or files";

enum OutputMode {
    Page,
    Verdicts,
    Help,
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("anvilhub-matrix: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<ExitCode> {
    let mode = parse_mode()?;
    let mut out = io::stdout().lock();
    if let OutputMode::Help = mode {
        writeln!(out, "{HELP}")?;
        return Ok(ExitCode::SUCCESS);
    }
    let mut test_output = String::new();
    io::stdin().read_to_string(&mut test_output)?;
    let matrix = FaultMatrix::from_test_output(&test_output);
    let exemptions = CellExemption::parse_all(&read_file(EXEMPTIONS_FILE)?)?;
    let mutations = MutationRecord::parse_all(&read_file(MUTATIONS_FILE)?)?;
    let failed = match mode {
        OutputMode::Page => {
            let page = MatrixPage {
                matrix: &matrix,
                exemptions: &exemptions,
                mutations: &mutations,
            };
            write!(out, "{page}")?;
            0
        }
        _ => {
            let report = VerdictReport {
                matrix: &matrix,
                exemptions: &exemptions,
            };
            write!(out, "{report}")?;
            report.count(TestVerdict::Failed)
        }
    };
    let check_result = matrix
        .check(&exemptions)
        .and_then(|()| MutationRecord::check_coverage(&mutations));
    if let Err(error) = &check_result {
        eprintln!("anvilhub-matrix: {error}");
    }
    Ok(ExitCode::from(u8::from(
        failed > 0 || check_result.is_err(),
    )))
}

fn read_file(path: &str) -> Result<String> {
    fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {path}; run from the repository's root"))
}

fn parse_mode() -> Result<OutputMode> {
    let mut parser = lexopt::Parser::from_env();
    let mode = match parser.next()? {
        Some(Long("page")) => OutputMode::Page,
        Some(Long("verdicts")) => OutputMode::Verdicts,
        Some(Long("help") | Short('h')) => OutputMode::Help,
        Some(other) => bail!("{}; see --help", other.unexpected()),
        None => bail!("no mode; see --help"),
    };
    match parser.next()? {
        Some(other) => bail!("{}; see --help", other.unexpected()),
        None => Ok(mode),
    }
}
