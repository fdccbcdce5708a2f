/// State of one sub-request of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubRequestState {
    /// An attempt is in flight that may still be answered.
    Waiting,
    /// As `Waiting`, but only at upstreams that failed recently; a gathered answer doesn't wait for it.
    Suspect,
    /// An upstream has answered.
    Done,
    /// No attempt is in flight and none can be sent.
    Failed,
}
