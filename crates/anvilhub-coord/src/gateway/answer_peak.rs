use crate::ids::ByteSize;

/// Weight of an answer that is smaller than the expected size; about 5 answers replace the old value.
const SMALLER_WEIGHT: f64 = 0.2;

/// Size up to which the next answer to a caller is expected to be.
///
/// Designed for a route with long answers under memory pressure: requests are admitted by what their answers will take, and
/// an answer that is longer than expected is held without room for it. A longer answer therefore counts at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerPeak {
    bytes: f64,
}

impl AnswerPeak {
    /// Records the size of an answer.
    pub fn record(&mut self, size: ByteSize) {
        let bytes = size.get() as f64;
        self.bytes = match bytes >= self.bytes {
            true => bytes,
            false => self.bytes + (bytes - self.bytes) * SMALLER_WEIGHT,
        };
    }

    /// Returns the expected size; 0 before the first answer.
    pub fn expected(&self) -> ByteSize {
        ByteSize(self.bytes.ceil() as u64)
    }
}
