/// Load that an upstream states in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotLoad {
    /// Requests that run, of all instances.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes on its machine now, relative to the usual time.
    pub slowdown: f64,
}
