/// What the next start of a gateway would make of its settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsReport {
    /// Why the next start would fail; `None` if it would not.
    pub failure: Option<String>,
    /// The values that cannot be used and would be replaced.
    pub problems: Vec<String>,
    /// Whether the settings differ from those with which the gateway was started.
    pub is_pending: bool,
}
