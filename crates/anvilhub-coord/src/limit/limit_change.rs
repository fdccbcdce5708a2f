use crate::ids::CallRate;

/// A change of the limit that an upstream names; `None` stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before the change.
    pub before: Option<CallRate>,
    /// The limit from now on.
    pub limit: Option<CallRate>,
}
