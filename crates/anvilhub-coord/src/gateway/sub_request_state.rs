/// State of one shard while an answer is gathered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubRequestState {
    /// An attempt is under way that may still answer.
    Waiting,
    /// As `Waiting`, at upstreams that failed lately: nobody waits for them.
    Doubtful,
    /// Its part has arrived.
    Done,
    /// No attempt is under way and none can be sent.
    Lost,
}
