use crate::ids::ByteSize;

/// Weight of a new observation; about 20 answers replace the old value.
const SIZE_WEIGHT: f64 = 0.05;
/// Size that is expected before the first answer.
const DEFAULT_SIZE_BYTES: f64 = 1_000.0;

/// Expected size of an upstream's answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerSize {
    mean_bytes: Option<f64>,
}

impl AnswerSize {
    /// Records the size of an answer, its head included.
    pub fn record(&mut self, size: ByteSize) {
        let bytes = size.get() as f64;
        let known = self.mean_bytes.unwrap_or(bytes);
        self.mean_bytes = Some(known + (bytes - known) * SIZE_WEIGHT);
    }

    /// Returns the size to expect of the next answer.
    pub fn expected(&self) -> ByteSize {
        ByteSize(self.mean_bytes.unwrap_or(DEFAULT_SIZE_BYTES) as u64)
    }
}
