//! Shows the fault matrix from the output of `cargo test` on standard input.

use std::fs;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use anvilhub_dev::matrix::{
    CellNote, FaultMatrix, MatrixPage, MutationEntry, TestVerdict, VerdictReport,
};
use eyre::{Result, WrapErr, bail};
use lexopt::prelude::*;

const NOTES: &str = "docs/fault-matrix-exempt.txt";
const MUTATIONS: &str = "docs/mutations.txt";

const HELP: &str = "\
anvilhub-matrix: shows the fault matrix from the output of `cargo test` on standard input

Run it from the repository's root. It reads docs/fault-matrix-exempt.txt and docs/mutations.txt.

Modes:
  --page            print docs/fault-matrix.md; the input is that of `cargo test --workspace -- --list`
  --verdicts        print a verdict for each cell; the input is that of a run
  --help            print this text

Exit codes: 0 done, 1 a cell failed or has neither a test nor a reason, 2 wrong usage or files";

enum PageMode {
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
    let mode = parse()?;
    let mut out = io::stdout().lock();
    if let PageMode::Help = mode {
        writeln!(out, "{HELP}")?;
        return Ok(ExitCode::SUCCESS);
    }
    let mut output = String::new();
    io::stdin().read_to_string(&mut output)?;
    let matrix = FaultMatrix::read(&output);
    let notes = CellNote::parse_all(&read(NOTES)?)?;
    let mutations = MutationEntry::parse_all(&read(MUTATIONS)?)?;
    let failed = match mode {
        PageMode::Page => {
            let page = MatrixPage {
                matrix: &matrix,
                notes: &notes,
                mutations: &mutations,
            };
            write!(out, "{page}")?;
            0
        }
        _ => {
            let report = VerdictReport {
                matrix: &matrix,
                notes: &notes,
            };
            write!(out, "{report}")?;
            report.count(TestVerdict::Failed)
        }
    };
    let checked = matrix
        .check(&notes)
        .and_then(|()| MutationEntry::check_all(&mutations));
    if let Err(error) = &checked {
        eprintln!("anvilhub-matrix: {error}");
    }
    Ok(ExitCode::from(u8::from(failed > 0 || checked.is_err())))
}

fn read(path: &str) -> Result<String> {
    fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {path}; run from the repository's root"))
}

fn parse() -> Result<PageMode> {
    let mut parser = lexopt::Parser::from_env();
    let mode = match parser.next()? {
        Some(Long("page")) => PageMode::Page,
        Some(Long("verdicts")) => PageMode::Verdicts,
        Some(Long("help") | Short('h')) => PageMode::Help,
        Some(other) => bail!("{}; see --help", other.unexpected()),
        None => bail!("no mode; see --help"),
    };
    match parser.next()? {
        Some(other) => bail!("{}; see --help", other.unexpected()),
        None => Ok(mode),
    }
}
