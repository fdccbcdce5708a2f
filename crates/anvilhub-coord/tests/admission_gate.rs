//! Guards against late refusals, urgent requests that are shed, and collapse under overload.

use std::time::Duration;

use anvilhub_coord::admission::{
    AdmissionGate, AdmissionSettings, AdmissionVerdict, RefusalReason,
};
use anvilhub_coord::sheet::UrgencyClass::{self, Deferred, Standard, Urgent};
use anvilhub_coord::time::ClockTime;

const SERVICE: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_millis(200);

fn gate(queue_capacity: usize) -> AdmissionGate<u64> {
    let mut gate = AdmissionGate::new(AdmissionSettings {
        queue_capacity,
        initial_limit: 1,
        min_limit: 1,
        max_limit: 1,
    });
    gate.try_admit(ClockTime(0), Standard, ClockTime(0) + PATIENCE, 0);
    gate.finish_with_urgency(ClockTime(0) + SERVICE, Standard, SERVICE);
    gate
}

fn reason(verdict: &AdmissionVerdict<u64>) -> Option<RefusalReason> {
    match verdict {
        AdmissionVerdict::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn hopeless_request_refused_early() {
    let mut gate = gate(100);
    let now = ClockTime(0) + SERVICE;
    gate.try_admit(now, Standard, now + PATIENCE, 1);
    let refused_after = (2..50)
        .take_while(|&item| {
            let arrival = gate.try_admit(now, Standard, now + PATIENCE, item);
            reason(&arrival.verdict).is_none()
        })
        .count();

    // Ten requests fit into 200 ms at 20 ms each: one runs and the last could not be answered in time.
    assert_eq!(refused_after, 8);
    let urgent = gate.try_admit(now, Urgent, now + PATIENCE, 99);
    assert_eq!(
        urgent.verdict,
        AdmissionVerdict::Queued,
        "urgent goes ahead of the queue"
    );
}

#[test]
fn lower_urgency_shed_first() {
    let mut gate = gate(2);
    let now = ClockTime(0) + SERVICE;
    let deadline = now + PATIENCE;
    gate.try_admit(now, Standard, deadline, 1);
    gate.try_admit(now, Deferred, deadline, 2);
    gate.try_admit(now, Standard, deadline, 3);

    let arrival = gate.try_admit(now, Urgent, deadline, 4);
    assert_eq!(
        arrival.shed.map(|shed| (shed.item, shed.reason)),
        Some((2, RefusalReason::Shed))
    );
    let arrival = gate.try_admit(now, Deferred, deadline, 5);
    assert_eq!(reason(&arrival.verdict), Some(RefusalReason::QueueFull));
    assert_eq!(gate.finish_with_urgency(now, Standard, SERVICE).start, [4]);
}

#[test]
fn slow_class_needs_more_time() {
    let mut gate = gate(100);
    let mut now = ClockTime(0) + SERVICE;
    // Deferred requests take 120 ms, urgent ones 20 ms.
    for (urgency, service) in [(Deferred, SERVICE * 6), (Urgent, SERVICE)].repeat(50) {
        gate.try_admit(now, urgency, now + PATIENCE * 5, 1);
        now = now + service;
        gate.finish_with_urgency(now, urgency, service);
    }
    gate.try_admit(now, Urgent, now + PATIENCE, 2);
    gate.try_admit(now, Deferred, now + PATIENCE, 3);
    gate.try_admit(now, Urgent, now + PATIENCE, 4);

    let release = gate.advance(now + Duration::from_millis(100));

    // With 100 ms left only the urgent one can still be answered in time.
    let refused: Vec<_> = release
        .refused
        .iter()
        .map(|each| (each.item, each.reason))
        .collect();
    assert_eq!(refused, [(3, RefusalReason::Expired)]);
    assert_eq!(gate.waiting_count(), 1);
}

/// A service with four slots: its time grows with the requests beyond them.
struct Service {
    gate: AdmissionGate<(ClockTime, UrgencyClass)>,
    ends: Vec<(ClockTime, ClockTime, ClockTime)>,
    good: [u64; 3],
}

impl Service {
    fn start(&mut self, now: ClockTime, arrived: ClockTime) {
        let crowding = (self.ends.len() as f64 / 4.0).max(1.0);
        self.ends
            .push((now + SERVICE.mul_f64(crowding), now, arrived));
    }

    fn finish_until(&mut self, now: ClockTime, phase: usize) {
        while let Some(index) = self.ends.iter().position(|(end, _, _)| *end <= now) {
            let (end, started, arrived) = self.ends.swap_remove(index);
            self.good[phase] += u64::from(end.since(arrived) <= PATIENCE);
            let release = self
                .gate
                .finish_with_urgency(now, Standard, end.since(started));
            for (arrived, _) in release.start {
                self.start(now, arrived);
            }
        }
    }
}

#[test]
fn no_collapse_after_peak() {
    let mut service = Service {
        gate: AdmissionGate::new(AdmissionSettings::default()),
        ends: Vec::new(),
        good: [0; 3],
    };
    // Three phases of four seconds: a request per 10 ms, five times as many, and as before.
    for millis in 0..12_000_u64 {
        let now = ClockTime::from_millis(millis);
        let phase = (millis / 4_000) as usize;
        service.finish_until(now, phase);
        let gap = if phase == 1 { 2 } else { 10 };
        if millis % gap != 0 {
            continue;
        }
        let item = (now, Standard);
        let arrival = service.gate.try_admit(now, Standard, now + PATIENCE, item);
        if let AdmissionVerdict::Start((arrived, _)) = arrival.verdict {
            service.start(now, arrived);
        }
    }

    let [before, peak, after] = service.good;
    println!("good answers: {before}, {peak}, {after}");
    assert!(before >= 395);
    // Four slots of 20 ms answer 800 requests in four seconds.
    assert!(peak >= 600, "goodput collapsed at the peak: {peak}");
    assert!(after >= 380, "goodput did not return: {after}");
}

/// A service that was slower than its callers' deadlines for a while must be tried again.
#[test]
fn idle_gate_recovers() {
    let mut gate = gate(100);
    let mut now = ClockTime(0) + SERVICE;
    for item in 0..50 {
        let arrival = gate.try_admit(now, Standard, now + 20 * PATIENCE, item);
        assert_eq!(arrival.verdict, AdmissionVerdict::Start(item));
        now = now + 10 * PATIENCE;
        gate.finish_with_urgency(now, Standard, 10 * PATIENCE);
    }

    let arrival = gate.try_admit(now, Standard, now + PATIENCE, 100);
    assert_eq!(arrival.verdict, AdmissionVerdict::Start(100));
    let behind = gate.try_admit(now, Standard, now + PATIENCE, 101);
    assert_eq!(reason(&behind.verdict), Some(RefusalReason::TooLate));
}
