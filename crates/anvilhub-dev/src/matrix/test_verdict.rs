use derive_more::Display;

/// How a test ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum TestVerdict {
    /// It passed.
    #[display("passed")]
    Passed,
    /// It was listed and not run.
    #[display("not run")]
    NotRun,
    /// It failed.
    #[display("failed")]
    Failed,
}

impl TestVerdict {
    /// The test and its verdict that a line of the test program's output states.
    ///
    /// `NAME: test` comes from `--list`, `test NAME ... ok` from a run. What a test prints itself may stand
    /// between a name and its verdict, so such a line without a verdict counts as failed.
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
