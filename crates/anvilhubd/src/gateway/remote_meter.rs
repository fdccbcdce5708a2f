use anvilhub_coord::ids::ByteSize;

/// Counts the attempts that leave the failure domain of this instance, and their bytes.
pub(super) struct RemoteMeter;

impl RemoteMeter {
    /// Counts an attempt to another failure domain, whose request has this size.
    pub(super) fn record_send(size: ByteSize) {
        metrics::counter!("anvilhub_remote_attempts_total").increment(1);
        metrics::counter!("anvilhub_remote_bytes_total", "kind" => "request").increment(size.get());
    }

    /// Counts an answer of this size from another failure domain.
    pub(super) fn record_answer(size: ByteSize) {
        metrics::counter!("anvilhub_remote_bytes_total", "kind" => "answer").increment(size.get());
    }
}
