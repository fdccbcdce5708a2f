use super::SettingsReport;

/// The settings of a running gateway at their origin, where they may change at any time.
pub trait SettingsSource: Send + 'static {
    /// Reads the settings and returns their state; `None` if they are as they were at the last call.
    fn poll_change(&mut self) -> Option<SettingsReport>;
}
