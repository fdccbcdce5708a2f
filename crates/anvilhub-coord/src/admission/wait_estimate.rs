use std::time::Duration;

/// Weight of a new service time; about 20 requests replace the estimate.
const SERVICE_WEIGHT: f64 = 0.1;

/// Estimates how long a request waits for admission and then takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    service_micros: Option<f64>,
}

impl WaitEstimate {
    /// Adds the time between admission and answer of one request.
    pub fn record(&mut self, service_time: Duration) {
        let micros = service_time.as_micros() as f64;
        let known = self.service_micros.unwrap_or(micros);
        self.service_micros = Some(known + (micros - known) * SERVICE_WEIGHT);
    }

    /// Usual time between admission and answer; zero until a request has finished.
    pub fn usual_service(&self) -> Duration {
        Duration::from_micros(self.service_micros.unwrap_or(0.0) as u64)
    }

    /// Expected wait of a request with `ahead` others before it, when `limit` requests run at once.
    pub fn wait(&self, ahead: usize, limit: u32) -> Duration {
        let turns = (ahead + 1) as f64 / f64::from(limit.max(1));
        self.usual_service().mul_f64(turns)
    }
}
