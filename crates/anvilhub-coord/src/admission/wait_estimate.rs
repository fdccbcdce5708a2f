use std::time::Duration;

use crate::sheet::UrgencyClass;

/// Weight of a new service time; about 20 requests replace the estimate.
const SERVICE_WEIGHT: f64 = 0.1;
/// Deviations above the mean within which nearly all requests of a class are answered.
const DEVIATIONS: f64 = 2.0;

/// Estimates how long a request waits for admission and then takes.
///
/// Urgency classes are kept apart: queues further on serve urgent requests first, so that the others take
/// several times longer under load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    all: ServiceTime,
    classes: [ServiceTime; 3],
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServiceTime {
    mean_micros: f64,
    deviation_micros: f64,
    known: bool,
}

impl WaitEstimate {
    /// Adds the time between admission and answer of one request.
    pub fn record(&mut self, urgency: UrgencyClass, service_time: Duration) {
        let micros = service_time.as_micros() as f64;
        self.all.record(micros);
        self.classes[class_index(urgency)].record(micros);
    }

    /// Usual time between admission and answer of a request of `urgency`; zero until one has finished.
    pub fn typical_service_time(&self, urgency: UrgencyClass) -> Duration {
        let class = &self.classes[class_index(urgency)];
        Duration::from_micros(class.mean_micros as u64)
    }

    /// Time that nearly every request of `urgency` needs at most. A request that waited is started only with
    /// this much time left: under overload every one that starts has just as much left as is asked for.
    pub fn conservative_service_time(&self, urgency: UrgencyClass) -> Duration {
        let class = &self.classes[class_index(urgency)];
        let micros = class.mean_micros + DEVIATIONS * class.deviation_micros;
        Duration::from_micros(micros as u64)
    }

    /// Expected wait of a request with `ahead` others before it, when `limit` requests run at once.
    pub fn expected_wait(&self, ahead: usize, limit: u32) -> Duration {
        let turns = (ahead + 1) as f64 / f64::from(limit.max(1));
        Duration::from_micros((self.all.mean_micros * turns) as u64)
    }
}

impl ServiceTime {
    fn record(&mut self, micros: f64) {
        if !self.known {
            self.known = true;
            self.mean_micros = micros;
            return;
        }
        let difference = micros - self.mean_micros;
        self.mean_micros += difference * SERVICE_WEIGHT;
        self.deviation_micros += (difference.abs() - self.deviation_micros) * SERVICE_WEIGHT;
    }
}

fn class_index(urgency: UrgencyClass) -> usize {
    match urgency {
        UrgencyClass::Urgent => 0,
        UrgencyClass::Standard => 1,
        UrgencyClass::Deferred => 2,
    }
}
