/// State of one sub-request of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubRequestState {
    /// At least one attempt is in flight and may still be answered.
    Waiting,
    /// As `Waiting`, but all attempts in flight are at upstreams that failed recently. A gathered answer doesn't wait
    /// for the sub-request.
    Suspect,
    /// An upstream has answered.
    Done,
    /// No attempt is in flight and none can be sent.
    Failed,
}
