use super::{GUARANTEES, MatrixError, Result};

const FILE_PATH: &str = "docs/mutations.txt";
const LINE_FORMAT: &str = "GUARANTEE MUTATION TEST";

/// A mutation: a switch that breaks a guarantee, and the test that must then fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MutationRecord {
    /// The guarantee that it breaks.
    pub guarantee: String,
    /// Name of the switch, a value of `ANVILHUB_MUTATION`.
    pub mutation: String,
    /// The test that must fail.
    pub test: String,
}

impl MutationRecord {
    /// Parses the records in `text`, one per line. Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error for the first line that does not have the expected format.
    pub fn parse_all(text: &str) -> Result<Vec<Self>> {
        let mut records = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let record = Self::parse(line).ok_or_else(|| MatrixError::InvalidLine {
                file: FILE_PATH,
                line: index + 1,
                found: line.to_owned(),
                expected: LINE_FORMAT,
            })?;
            records.push(record);
        }
        Ok(records)
    }

    /// Checks that every guarantee has a mutation.
    ///
    /// # Errors
    ///
    /// Returns an error that names the guarantees without one.
    pub fn check_coverage(records: &[Self]) -> Result<()> {
        let has_no_mutation =
            |guarantee: &&&str| !records.iter().any(|record| record.guarantee == **guarantee);
        let guarantees: Vec<_> = GUARANTEES
            .iter()
            .filter(has_no_mutation)
            .map(ToString::to_string)
            .collect();
        match guarantees.is_empty() {
            true => Ok(()),
            false => Err(MatrixError::MissingMutations { guarantees }),
        }
    }

    fn parse(line: &str) -> Option<Self> {
        let words: Vec<_> = line.split_whitespace().collect();
        let [guarantee, mutation, test] = words[..] else {
            return None;
        };
        GUARANTEES.contains(&guarantee).then(|| Self {
            guarantee: guarantee.to_owned(),
            mutation: mutation.to_owned(),
            test: test.to_owned(),
        })
    }
}
