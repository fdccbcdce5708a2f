/// Load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotLoad {
    /// Running requests of all instances.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Current duration of work on the upstream's machine, relative to the typical duration.
    pub slowdown: f64,
}
