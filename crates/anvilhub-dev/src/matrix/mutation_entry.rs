use super::{GUARANTEES, MatrixError, Result};

const FILE: &str = "docs/mutations.txt";
const FORM: &str = "GUARANTEE MUTATION TEST";

/// A switch that breaks a guarantee, and the test that fails then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MutationEntry {
    /// The guarantee.
    pub guarantee: String,
    /// Name of the switch, for `ANVILHUB_MUTATION`.
    pub mutation: String,
    /// The test.
    pub test: String,
}

impl MutationEntry {
    /// Reads the entries of `text`, one a line; empty lines and lines that start with `#` are left out.
    ///
    /// # Errors
    ///
    /// Fails at the first line of another form, and when a guarantee has no entry.
    pub fn parse_all(text: &str) -> Result<Vec<Self>> {
        let mut entries = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let entry = Self::parse(line).ok_or_else(|| MatrixError::Line {
                file: FILE,
                line: index + 1,
                found: line.to_owned(),
                expected: FORM,
            })?;
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Checks that every guarantee has an entry.
    ///
    /// # Errors
    ///
    /// Names the guarantees without one.
    pub fn check_all(entries: &[Self]) -> Result<()> {
        let is_unbroken =
            |guarantee: &&&str| !entries.iter().any(|entry| entry.guarantee == **guarantee);
        let guarantees: Vec<_> = GUARANTEES
            .iter()
            .filter(is_unbroken)
            .map(ToString::to_string)
            .collect();
        match guarantees.is_empty() {
            true => Ok(()),
            false => Err(MatrixError::Unbroken { guarantees }),
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
