use std::time::Duration;

use crate::sheet::UrgencyClass;

/// Weight of a new service time; about 20 requests replace the estimate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of deviations above the mean within which nearly all requests of a class are answered.
const MAX_DEVIATIONS: f64 = 2.0;

/// Estimates how long a request waits for admission and how long it takes after that.
///
/// Service times are kept per urgency class: the queues of the shards serve urgent requests first, so that other
/// requests take several times longer under load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    /// Service times of all requests.
    all: ServiceTime,
    /// Service times of each urgency class, the most urgent first.
    classes: [ServiceTime; 3],
}

/// Moving average of service times and of their absolute deviation from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServiceTime {
    mean_micros: f64,
    deviation_micros: f64,
    /// Whether a service time has been recorded.
    is_known: bool,
}

impl WaitEstimate {
    /// Records the time between admission and answer of a request.
    pub fn record(&mut self, urgency: UrgencyClass, service_time: Duration) {
        let micros = service_time.as_micros() as f64;
        self.all.record(micros);
        self.classes[class_index(urgency)].record(micros);
    }

    /// Returns the typical time between admission and answer of a request of `urgency`; zero until one has finished.
    pub fn typical_service_time(&self, urgency: UrgencyClass) -> Duration {
        let class = &self.classes[class_index(urgency)];
        Duration::from_micros(class.mean_micros as u64)
    }

    /// Returns the time within which nearly every request of `urgency` is answered.
    ///
    /// A waiting request is started only if this much time is left. Under overload, each request is started with
    /// little more than the required time left, so the typical time would be too short for many of them.
    pub fn conservative_service_time(&self, urgency: UrgencyClass) -> Duration {
        let class = &self.classes[class_index(urgency)];
        let micros = class.mean_micros + MAX_DEVIATIONS * class.deviation_micros;
        Duration::from_micros(micros as u64)
    }

    /// Returns the expected wait of a request with `ahead_count` requests before it in the queue, if `limit` requests
    /// run at once.
    pub fn expected_wait(&self, ahead_count: usize, limit: u32) -> Duration {
        let round_count = (ahead_count + 1) as f64 / f64::from(limit.max(1));
        Duration::from_micros((self.all.mean_micros * round_count) as u64)
    }
}

impl ServiceTime {
    fn record(&mut self, micros: f64) {
        if !self.is_known {
            self.is_known = true;
            self.mean_micros = micros;
            return;
        }
        let difference = micros - self.mean_micros;
        self.mean_micros += difference * SAMPLE_WEIGHT;
        self.deviation_micros += (difference.abs() - self.deviation_micros) * SAMPLE_WEIGHT;
    }
}

fn class_index(urgency: UrgencyClass) -> usize {
    match urgency {
        UrgencyClass::Urgent => 0,
        UrgencyClass::Standard => 1,
        UrgencyClass::Deferred => 2,
    }
}
