use derive_more::Display;

/// Names of the guarantees that must always hold (section 2 of the design).
pub const GUARANTEES: [&str; 8] = [
    "one_snapshot",
    "true_coverage",
    "own_answer",
    "true_not_run",
    "at_most_once",
    "leaving_upstream",
    "graceful_stop",
    "config_in_force",
];

/// Names of the faults (section 2 of the design).
pub const FAULTS: [&str; 15] = [
    "straggler_shard",
    "replica_lost",
    "repartition",
    "config_down",
    "config_stale",
    "process_paused",
    "entry_partition",
    "upstream_partition",
    "silent_connection",
    "instance_killed",
    "planned_stop",
    "snapshot_change",
    "late_answer",
    "lagging_list",
    "misleading_load",
];

/// One guarantee under one fault, a pair of faults, or another condition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{guarantee} {fault}")]
pub struct MatrixCell {
    /// One of [`GUARANTEES`].
    pub guarantee: &'static str,
    /// One of [`FAULTS`], a pair such as `paused_and_killed`, or the test's own name.
    pub fault: String,
}

impl MatrixCell {
    /// Returns the cell that the test at `path` proves, such as `matrix::at_most_once::late_answer_at_each_step`, or
    /// `None` for a test outside the matrix.
    ///
    /// The guarantee is the one that the module's name starts with. The fault is the one that the test's name starts
    /// with, unless `_and_` follows, which denotes a pair of faults.
    pub fn from_test_path(path: &str) -> Option<Self> {
        let (parent, path) = path.split_once("matrix::")?;
        if !parent.is_empty() && !parent.ends_with("::") {
            return None;
        }
        let (module, test) = path.split_once("::")?;
        let is_prefix = |guarantee: &&&str| module.starts_with(**guarantee);
        let guarantee = GUARANTEES.iter().find(is_prefix)?;
        let test = test.rsplit("::").next().unwrap_or(test);
        let test = test.trim_end_matches("_at_each_step");
        let is_single = |fault: &&&str| {
            let rest = test.strip_prefix(**fault);
            rest.is_some_and(|rest| !rest.starts_with("_and_"))
        };
        let fault = FAULTS.iter().find(is_single).map_or(test, |fault| *fault);
        Some(Self {
            guarantee,
            fault: fault.to_owned(),
        })
    }

    /// Returns the cell with these names, if the guarantee is known and the fault is known or a pair.
    pub(crate) fn from_names(guarantee: &str, fault: &str) -> Option<Self> {
        let guarantee = GUARANTEES.iter().find(|known| **known == guarantee)?;
        let is_known = FAULTS.contains(&fault) || fault.contains("_and_");
        is_known.then(|| Self {
            guarantee,
            fault: fault.to_owned(),
        })
    }

    /// Returns whether the cell needs a test or an exemption. Each of the 8 guarantees needs one under each of the 15
    /// single faults; pairs of faults and other conditions need none.
    pub fn is_required(&self) -> bool {
        FAULTS.contains(&self.fault.as_str())
    }

    /// Returns every cell that needs a test or an exemption.
    pub fn all_required() -> impl Iterator<Item = Self> {
        GUARANTEES.iter().flat_map(|guarantee| {
            FAULTS.iter().map(|fault| Self {
                guarantee,
                fault: (*fault).to_owned(),
            })
        })
    }
}
