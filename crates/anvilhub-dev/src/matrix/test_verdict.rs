use derive_more::Display;

/// The result of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum TestVerdict {
    /// It passed.
    #[display("passed")]
    Passed,
    /// It was listed or ignored, not run.
    #[display("not run")]
    NotRun,
    /// It failed.
    #[display("failed")]
    Failed,
}

impl TestVerdict {
    /// Parses the name of a test and its verdict from a line of the test program's output.
    ///
    /// `NAME: test` is printed by `--list`, `test NAME ... ok` by a run. Output of a test itself can separate the name
    /// from its verdict; a line without a verdict counts as failed.
    pub fn parse(line: &str) -> Option<(&str, Self)> {
        if let Some(name) = line.strip_suffix(": test") {
            return Some((name, Self::NotRun));
        }
        let (name, rest) = line.strip_prefix("test ")?.split_once(" ... ")?;
        let verdict = match rest.split(',').next().unwrap_or(rest).trim() {
            "ok" => Self::Passed,
            "ignored" => Self::NotRun,
            _ => Self::Failed,
        };
        Some((name.trim_end_matches(" - should panic"), verdict))
    }
}
