use std::time::Duration;

use crate::ids::{ByteSize, TransferPrice};

/// Minimum typical latency that a time is divided by, in seconds. Avoids a division by zero.
const MIN_TYPICAL_LATENCY_SECONDS: f64 = 1e-4;
const BYTES_PER_KIB: f64 = 1_024.0;

/// Cost of sending an attempt to another failure domain, as a time.
///
/// Designed for routes whose typical latencies differ by a factor of 20 and for answers of 100 to 1,000 bytes: a fixed
/// multiple of the typical latency keeps slow requests at an overloaded upstream for hundreds of milliseconds, and lets
/// fast ones leave whatever their bytes cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteCost {
    /// By how much a round trip to the other failure domain exceeds one at home.
    pub extra_round_trip: Duration,
    /// Time that the bytes of the request and of its answer are worth.
    pub transfer_time: Duration,
}

impl RemoteCost {
    /// Returns the time that the bytes of a request and of its expected answer are worth at `price`.
    pub fn transfer_time(request: ByteSize, answer: ByteSize, price: TransferPrice) -> Duration {
        let kib = (request.get() + answer.get()) as f64 / BYTES_PER_KIB;
        Duration::from_secs_f64((kib * price.get() / 1_000.0).max(0.0))
    }

    /// Returns the cost in typical latencies.
    pub fn in_latencies(&self, typical_latency: Duration) -> f64 {
        let time = self.extra_round_trip + self.transfer_time;
        time.as_secs_f64()
            / typical_latency
                .as_secs_f64()
                .max(MIN_TYPICAL_LATENCY_SECONDS)
    }
}
