//! Guards against a gate that queues requests which cannot be answered in time, sheds urgent requests before others, or
//! lets the number of requests answered in time collapse under overload.

use std::time::Duration;

use anvilhub_coord::admission::{
    AdmissionGate, AdmissionSettings, AdmissionVerdict, RefusalReason,
};
use anvilhub_coord::sheet::UrgencyClass::{self, Deferred, Standard, Urgent};
use anvilhub_coord::time::ClockTime;

const SERVICE_TIME: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_millis(200);

/// Creates a gate that runs one request at a time and knows the service time from one finished request.
fn create_gate(queue_capacity: usize) -> AdmissionGate<u64> {
    let mut gate = AdmissionGate::new(AdmissionSettings {
        queue_capacity,
        initial_limit: 1,
        min_limit: 1,
        max_limit: 1,
    });
    gate.try_admit(ClockTime(0), Standard, ClockTime(0) + TIMEOUT, 0);
    gate.finish_with_urgency(ClockTime(0) + SERVICE_TIME, Standard, SERVICE_TIME);
    gate
}

fn refusal_reason(verdict: &AdmissionVerdict<u64>) -> Option<RefusalReason> {
    match verdict {
        AdmissionVerdict::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn late_request_refused() {
    let mut gate = create_gate(100);
    let now = ClockTime(0) + SERVICE_TIME;
    gate.try_admit(now, Standard, now + TIMEOUT, 1);
    let queued_count = (2..50)
        .take_while(|&item| {
            let arrival = gate.try_admit(now, Standard, now + TIMEOUT, item);
            refusal_reason(&arrival.verdict).is_none()
        })
        .count();

    // Ten requests of 20 ms fit into 200 ms. One is running, and the last one could not be answered in time.
    assert_eq!(queued_count, 8);
    let urgent = gate.try_admit(now, Urgent, now + TIMEOUT, 99);
    assert_eq!(
        urgent.verdict,
        AdmissionVerdict::Queued,
        "an urgent request is queued ahead of the others"
    );
}

#[test]
fn least_urgent_shed() {
    let mut gate = create_gate(2);
    let now = ClockTime(0) + SERVICE_TIME;
    let deadline = now + TIMEOUT;
    gate.try_admit(now, Standard, deadline, 1);
    gate.try_admit(now, Deferred, deadline, 2);
    gate.try_admit(now, Standard, deadline, 3);

    let arrival = gate.try_admit(now, Urgent, deadline, 4);
    assert_eq!(
        arrival.shed.map(|shed| (shed.item, shed.reason)),
        Some((2, RefusalReason::Shed))
    );
    let arrival = gate.try_admit(now, Deferred, deadline, 5);
    assert_eq!(
        refusal_reason(&arrival.verdict),
        Some(RefusalReason::QueueFull)
    );
    assert_eq!(
        gate.finish_with_urgency(now, Standard, SERVICE_TIME)
            .to_start,
        [4]
    );
}

#[test]
fn slow_class_expires() {
    let mut gate = create_gate(100);
    let mut now = ClockTime(0) + SERVICE_TIME;
    // Deferred requests take 120 ms, urgent ones 20 ms.
    let service_times = [(Deferred, SERVICE_TIME * 6), (Urgent, SERVICE_TIME)];
    for (urgency, service_time) in service_times.repeat(50) {
        gate.try_admit(now, urgency, now + TIMEOUT * 5, 1);
        now = now + service_time;
        gate.finish_with_urgency(now, urgency, service_time);
    }
    gate.try_admit(now, Urgent, now + TIMEOUT, 2);
    gate.try_admit(now, Deferred, now + TIMEOUT, 3);
    gate.try_admit(now, Urgent, now + TIMEOUT, 4);

    let release = gate.advance(now + Duration::from_millis(100));

    // With 100 ms left, only the urgent request can still be answered in time.
    let refused: Vec<_> = release
        .refused
        .iter()
        .map(|refusal| (refusal.item, refusal.reason))
        .collect();
    assert_eq!(refused, [(3, RefusalReason::Expired)]);
    assert_eq!(gate.waiting_count(), 1);
}

/// A simulated service with four slots, whose service time grows with the number of requests above four.
struct SimulatedService {
    gate: AdmissionGate<(ClockTime, UrgencyClass)>,
    /// End, start and arrival time of each running request.
    running: Vec<(ClockTime, ClockTime, ClockTime)>,
    /// Number of requests answered in time in each phase.
    answered: [u64; 3],
}

impl SimulatedService {
    fn start(&mut self, now: ClockTime, arrived: ClockTime) {
        let slowdown = (self.running.len() as f64 / 4.0).max(1.0);
        self.running
            .push((now + SERVICE_TIME.mul_f64(slowdown), now, arrived));
    }

    fn finish_until(&mut self, now: ClockTime, phase: usize) {
        while let Some(index) = self.running.iter().position(|(end, _, _)| *end <= now) {
            let (end, started, arrived) = self.running.swap_remove(index);
            self.answered[phase] += u64::from(end.since(arrived) <= TIMEOUT);
            let release = self
                .gate
                .finish_with_urgency(now, Standard, end.since(started));
            for (arrived, _) in release.to_start {
                self.start(now, arrived);
            }
        }
    }
}

#[test]
fn goodput_survives_peak() {
    let mut service = SimulatedService {
        gate: AdmissionGate::new(AdmissionSettings::default()),
        running: Vec::new(),
        answered: [0; 3],
    };
    // Three phases of four seconds: one request per 10 ms, five times as many, and one per 10 ms again.
    for millis in 0..12_000_u64 {
        let now = ClockTime::from_millis(millis);
        let phase = (millis / 4_000) as usize;
        service.finish_until(now, phase);
        let interval = if phase == 1 { 2 } else { 10 };
        if millis % interval != 0 {
            continue;
        }
        let item = (now, Standard);
        let arrival = service.gate.try_admit(now, Standard, now + TIMEOUT, item);
        if let AdmissionVerdict::Start((arrived, _)) = arrival.verdict {
            service.start(now, arrived);
        }
    }

    let [before, peak, after] = service.answered;
    println!("requests answered in time: {before}, {peak}, {after}");
    assert!(before >= 395);
    // Four slots with a service time of 20 ms answer 800 requests in four seconds.
    assert!(peak >= 600, "goodput collapsed at the peak: {peak}");
    assert!(after >= 380, "goodput did not recover: {after}");
}

/// Guards against a gate that refuses every request after its service was slower than the deadlines for a while: the
/// estimated service time stays high, since it changes only when a request finishes.
#[test]
fn idle_gate_recovers() {
    let mut gate = create_gate(100);
    let mut now = ClockTime(0) + SERVICE_TIME;
    for item in 0..50 {
        let arrival = gate.try_admit(now, Standard, now + 20 * TIMEOUT, item);
        assert_eq!(arrival.verdict, AdmissionVerdict::Start(item));
        now = now + 10 * TIMEOUT;
        gate.finish_with_urgency(now, Standard, 10 * TIMEOUT);
    }

    let arrival = gate.try_admit(now, Standard, now + TIMEOUT, 100);
    assert_eq!(arrival.verdict, AdmissionVerdict::Start(100));
    let second = gate.try_admit(now, Standard, now + TIMEOUT, 101);
    assert_eq!(
        refusal_reason(&second.verdict),
        Some(RefusalReason::TooLate)
    );
}
