use std::sync::Arc;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, RowEntry};
use anvilhub_coord::ids::{CallerName, Incarnation, ServiceName};
use anvilhub_coord::ticket::{
    RequestDigest, SendResult, StartDecision, TicketLimits, TicketOutcome, TicketOwner, TicketTable,
};
use anvilhub_coord::time::ClockTime;
use eyre::{Result, ensure};

use super::{CpuMeter, FleetModel, HeapMeter, MeasuredSeries};

/// Numbers of records in the table; the daemon's limit is 16,384.
const TICKET_COUNTS: [usize; 5] = [1_000, 2_000, 4_000, 8_000, 16_000];

/// Measures the memory and CPU time of tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketMeasurement;

impl TicketMeasurement {
    /// Measures tables of several sizes whose records hold a short answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the table refuses a ticket.
    pub fn run() -> Result<Vec<MeasuredSeries>> {
        let mut issued = MeasuredSeries::new("issued tickets, heap bytes", "ticket");
        let mut settled = MeasuredSeries::new("settled tickets, heap bytes", "ticket");
        let mut cpu_time = MeasuredSeries::new("issue, start, send and finish, CPU us", "ticket");
        for ticket_count in TICKET_COUNTS {
            let (table, held_bytes) =
                HeapMeter::measure_bytes(|| filled_table(ticket_count, false));
            table?;
            issued.add_point(ticket_count, held_bytes);
            let (table, held_bytes) = HeapMeter::measure_bytes(|| filled_table(ticket_count, true));
            table?;
            settled.add_point(ticket_count, held_bytes);
            cpu_time.add_point(
                ticket_count,
                CpuMeter::micros_per_call(|| filled_table(ticket_count, true).is_ok()),
            );
        }
        Ok(vec![issued, settled, cpu_time])
    }
}

/// Returns a table with `ticket_count` issued tickets. If `has_answers` is set, their requests have run and the records
/// hold the answers.
fn filled_table(ticket_count: usize, has_answers: bool) -> Result<TicketTable> {
    let owner = TicketOwner {
        instance: FleetModel::instance_id(7),
        address: ([10, 120, 0, 7], 7_401).into(),
        incarnation: Incarnation(u64::MAX),
    };
    let limits = TicketLimits {
        max_tickets: usize::MAX,
        ..TicketLimits::default()
    };
    let mut table = TicketTable::new(owner, limits);
    let service: ServiceName = "dispatch".parse()?;
    let caller: CallerName = "dispatcher".parse()?;
    for number in 0..ticket_count as u64 {
        let now = ClockTime(number);
        let ticket = table.issue(service.clone(), caller.clone(), number, now)?;
        if !has_answers {
            continue;
        }
        let digest = RequestDigest::new(number, "book 40 kerb stones for lane 7");
        let deadline = ClockTime::from_millis(5_000);
        let StartDecision::Run(mut run) = table.start(&ticket, digest, deadline, now)? else {
            continue;
        };
        run.begin_send(now);
        run.record_send_result(SendResult::Answered);
        table.finish(run, done_outcome(number), now);
    }
    ensure!(
        table.len() == ticket_count,
        "the table has {} records instead of {ticket_count}",
        table.len()
    );
    Ok(table)
}

fn done_outcome(number: u64) -> TicketOutcome {
    TicketOutcome::Done(Arc::new(QueryAnswer {
        request_id: format!("dispatch-{number}")
            .parse()
            .expect("the text is an identifier"),
        outcome: QueryOutcome::Done,
        rows: vec![RowEntry {
            key: number,
            value: "booked, pallet run 12, gate 3".to_owned(),
        }],
        snapshot: None,
        coverage: None,
        ticket: None,
        error: None,
    }))
}
