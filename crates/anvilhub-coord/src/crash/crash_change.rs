/// How the belief about a request changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// From now on the request is blamed for the crashes.
    Blamed,
    /// The request was blamed, and an upstream has run it to its end.
    Cleared,
}
