//! Guards against a table that starts the request of a ticket twice or after its expiry, gives a caller the answer to
//! another caller's request, or exhausts the memory.

use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, RowEntry, TicketEntry};
use anvilhub_coord::ids::Incarnation;
use anvilhub_coord::ticket::{
    ForwardDecision, NotRunReason, RequestDigest, RequestOrigin, RequestTicket, RetryDecision,
    SendDecision, SendResult, StartDecision, TicketLimits, TicketOutcome, TicketOwner,
    TicketParseError, TicketRefusal, TicketTable, UnknownReason,
};
use anvilhub_coord::time::ClockTime;

const NOW: ClockTime = ClockTime(1_000);
const DEADLINE: ClockTime = ClockTime(30_000_000);

fn create_owner(instance: &str, port: u16) -> TicketOwner {
    TicketOwner {
        instance: instance.parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        incarnation: Incarnation(7),
    }
}

fn create_table(max_tickets: usize) -> TicketTable {
    let limits = TicketLimits {
        max_tickets,
        max_recorded_bytes: 10,
        ..TicketLimits::default()
    };
    TicketTable::new(create_owner("e1", 1), limits)
}

fn issue_ticket(table: &mut TicketTable) -> Result<RequestTicket, TicketRefusal> {
    let service = "dispatch".parse().unwrap();
    table.issue(service, "desk".parse().unwrap(), 99, NOW)
}

fn start_request(table: &mut TicketTable, ticket: &RequestTicket, now: ClockTime) -> StartDecision {
    let request = RequestDigest::new(5, "book");
    table.start(ticket, request, DEADLINE, now).unwrap()
}

fn create_answer(value: &str) -> TicketOutcome {
    TicketOutcome::Done(Arc::new(QueryAnswer {
        request_id: "r1".parse().unwrap(),
        outcome: QueryOutcome::Done,
        rows: vec![RowEntry {
            key: 5,
            value: value.to_owned(),
        }],
        snapshot: None,
        coverage: None,
        ticket: None,
        error: None,
    }))
}

/// Runs the request of `ticket` to the outcome `done` with one row that holds `value`.
fn complete_request(table: &mut TicketTable, ticket: &RequestTicket, value: &str) {
    let StartDecision::Run(mut run) = start_request(table, ticket, NOW) else {
        panic!("an issued ticket does not start");
    };
    assert_eq!(run.begin_send(NOW), SendDecision::Send);
    assert_eq!(
        run.record_send_result(SendResult::Answered),
        RetryDecision::Finish
    );
    table.finish(run, create_answer(value), NOW);
}

#[test]
fn resend_gets_answer() {
    let mut table = create_table(2);
    let ticket = issue_ticket(&mut table).unwrap();
    complete_request(&mut table, &ticket, "pallet 4");

    let StartDecision::Recorded(outcome) = start_request(&mut table, &ticket, NOW) else {
        panic!("a finished ticket starts again");
    };
    let resent = outcome.to_answer("r2".parse().unwrap());
    assert_eq!(resent.request_id.as_str(), "r2");
    assert_eq!(resent.rows[0].value, "pallet 4");
}

#[test]
fn running_resend_waits() {
    let mut table = create_table(2);
    let ticket = issue_ticket(&mut table).unwrap();
    let StartDecision::Run(run) = start_request(&mut table, &ticket, NOW) else {
        panic!("an issued ticket does not start");
    };

    assert!(matches!(
        start_request(&mut table, &ticket, NOW),
        StartDecision::Wait
    ));
    assert_eq!(table.outcome(&ticket), Ok(None));
    let shed = TicketOutcome::NotRun(NotRunReason::Shed);
    table.finish(run, shed.clone(), NOW);
    assert_eq!(table.outcome(&ticket), Ok(Some(shed)));
}

#[test]
fn unproved_outcome_unknown() {
    let mut table = create_table(2);
    let ticket = issue_ticket(&mut table).unwrap();
    let StartDecision::Run(mut run) = start_request(&mut table, &ticket, NOW) else {
        panic!("an issued ticket does not start");
    };
    assert_eq!(run.begin_send(NOW), SendDecision::Send);

    let claimed = TicketOutcome::NotRun(NotRunReason::Refused);
    let recorded = table.finish(run, claimed, NOW);
    assert_eq!(recorded, TicketOutcome::Unknown(UnknownReason::AnswerLost));
}

#[test]
fn attempts_are_bounded() {
    let mut table = create_table(2);
    let ticket = issue_ticket(&mut table).unwrap();
    let StartDecision::Run(mut run) = start_request(&mut table, &ticket, NOW) else {
        panic!("an issued ticket does not start");
    };
    let mut sent = 0;
    while run.begin_send(NOW) == SendDecision::Send {
        sent += 1;
        assert_eq!(
            run.record_send_result(SendResult::Refused),
            RetryDecision::Retry
        );
    }

    assert_eq!(sent, TicketLimits::default().max_attempts);
}

#[test]
fn altered_ticket_refused() {
    let mut table = create_table(2);
    let ticket = issue_ticket(&mut table).unwrap();
    let altered = |change: fn(&mut RequestTicket)| {
        let mut ticket = ticket.clone();
        change(&mut ticket);
        ticket
    };
    let cases = [
        altered(|ticket| ticket.nonce += 1),
        altered(|ticket| ticket.caller = "other-caller".parse().unwrap()),
        altered(|ticket| ticket.service = "ledger".parse().unwrap()),
        altered(|ticket| ticket.number.0 += 1),
        altered(|ticket| ticket.owner.incarnation.0 += 1),
    ];

    for ticket in cases {
        let request = RequestDigest::new(5, "book");
        let refusal = table.start(&ticket, request, DEADLINE, NOW).unwrap_err();
        assert_eq!(refusal.outcome(), QueryOutcome::Unknown, "{refusal}");
    }
}

#[test]
fn other_request_refused() {
    let mut table = create_table(2);
    let ticket = issue_ticket(&mut table).unwrap();
    complete_request(&mut table, &ticket, "a");

    let other = RequestDigest::new(5, "cancel");
    let refusal = table.start(&ticket, other, DEADLINE, NOW).unwrap_err();
    assert_eq!(refusal.code(), "ticket_other_request");
}

#[test]
fn table_is_bounded() {
    let mut table = create_table(2);
    let first = issue_ticket(&mut table).unwrap();
    issue_ticket(&mut table).unwrap();
    let refusal = issue_ticket(&mut table).unwrap_err();
    assert_eq!(refusal.outcome(), QueryOutcome::NotRun);

    let later = NOW + Duration::from_secs(120);
    assert_start_refused(&mut table, &first, later);
    assert!(table.is_empty());
    issue_ticket(&mut table).unwrap();
}

fn assert_start_refused(table: &mut TicketTable, ticket: &RequestTicket, now: ClockTime) {
    let request = RequestDigest::new(5, "book");
    let refusal = table.start(ticket, request, DEADLINE, now).unwrap_err();
    assert_eq!(refusal.outcome(), QueryOutcome::Unknown);
}

#[test]
fn recorded_bytes_bounded() {
    let mut table = create_table(5);
    let ticket = issue_ticket(&mut table).unwrap();
    complete_request(&mut table, &ticket, "more than ten bytes");

    assert_eq!(
        issue_ticket(&mut table).unwrap_err().code(),
        "ticket_table_full"
    );
}

#[test]
fn drain_counts_tickets() {
    let mut table = create_table(5);
    let [running, recorded, _issued] = [(); 3].map(|()| issue_ticket(&mut table).unwrap());
    complete_request(&mut table, &recorded, "a");
    let StartDecision::Run(run) = start_request(&mut table, &running, NOW) else {
        panic!("an issued ticket does not start");
    };
    table.start_draining();

    assert_eq!(issue_ticket(&mut table), Err(TicketRefusal::Draining));
    assert_eq!(table.drain_report(NOW).total_count(), 3);
    let expired = NOW + Duration::from_secs(60);
    assert_eq!(table.drain_report(expired).running_count, 1);
    assert_eq!(table.drain_report(expired).total_count(), 1);
    table.finish(run, TicketOutcome::NotRun(NotRunReason::Shed), expired);
    assert_eq!(table.drain_report(expired).total_count(), 0);
}

#[test]
fn ticket_round_trips() {
    let mut table = create_table(1);
    let ticket = issue_ticket(&mut table).unwrap();
    let mut entry = TicketEntry::from(&ticket);
    assert_eq!(RequestTicket::try_from(&entry), Ok(ticket));

    entry.address = "localhost:80".to_owned();
    let error = TicketParseError::Address(entry.address.clone());
    assert_eq!(RequestTicket::try_from(&entry), Err(error));
}

#[test]
fn forward_only_to_owner() {
    let ticket = issue_ticket(&mut create_table(1)).unwrap();
    let issuer = create_owner("e1", 1);
    let restarted = TicketOwner {
        incarnation: Incarnation(8),
        ..issuer.clone()
    };
    let other = create_owner("e2", 2);
    let decide = |own_instance, origin, listed_address| {
        ForwardDecision::decide(&ticket, own_instance, origin, listed_address)
    };
    let ended = ForwardDecision::Unknown(UnknownReason::IncarnationEnded);
    let unlisted = ForwardDecision::Unknown(UnknownReason::OwnerNotListed);
    let address = issuer.address;
    let (caller, peer) = (RequestOrigin::Caller, RequestOrigin::Peer);

    assert_eq!(decide(&issuer, peer, None), ForwardDecision::StartHere);
    assert_eq!(decide(&restarted, caller, Some(address)), ended);
    assert_eq!(
        decide(&other, caller, Some(address)),
        ForwardDecision::Forward(address)
    );
    assert_eq!(decide(&other, peer, Some(address)), ended);
    assert_eq!(decide(&other, caller, Some(other.address)), unlisted);
    assert_eq!(decide(&other, caller, None), unlisted);
}
