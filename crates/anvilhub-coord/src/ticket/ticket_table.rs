use std::collections::BTreeMap;

use crate::ids::{CallerName, ServiceName, TicketNumber};
use crate::mutation;
use crate::time::ClockTime;

use super::ticket_record::{TicketRecord, TicketStage};
use super::ticket_run::SendState;
use super::{
    DrainReport, RequestDigest, RequestTicket, Result, TicketLimits, TicketOutcome, TicketOwner,
    TicketRefusal, TicketRun, UnknownReason,
};

/// The records of all tickets that an owner issued.
#[derive(Debug)]
pub struct TicketTable {
    owner: TicketOwner,
    limits: TicketLimits,
    records: BTreeMap<TicketNumber, TicketRecord>,
    last_number: u64,
    is_draining: bool,
    /// Size of all recorded answers in bytes.
    recorded_bytes: usize,
}

/// What the owner does with a ticketed request that arrives.
#[derive(Debug)]
pub enum StartDecision {
    /// Run the request.
    Run(TicketRun),
    /// Wait until [`TicketTable::outcome`] returns an outcome, since the request is already running. Answer
    /// [`UnknownReason::StillRunning`] if the deadline of the resend passes first.
    Wait,
    /// Answer with the recorded outcome.
    Recorded(TicketOutcome),
}

impl TicketTable {
    /// Creates an empty table of the tickets that `owner` issues.
    pub fn new(owner: TicketOwner, limits: TicketLimits) -> Self {
        Self {
            owner,
            limits,
            records: BTreeMap::new(),
            last_number: 0,
            is_draining: false,
            recorded_bytes: 0,
        }
    }

    /// Returns the owner that the tickets of this table name.
    pub fn owner(&self) -> &TicketOwner {
        &self.owner
    }

    /// Issues a ticket for a request of `caller` to `service`, with the random number `nonce`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the table is full or the instance is draining. The request has not run in this case.
    pub fn issue(
        &mut self,
        service: ServiceName,
        caller: CallerName,
        nonce: u64,
        now: ClockTime,
    ) -> Result<RequestTicket> {
        if self.is_draining {
            return Err(TicketRefusal::Draining);
        }
        self.remove_outdated(now);
        if self.records.len() >= self.limits.max_tickets {
            return Err(self.full_refusal(now));
        }
        if self.recorded_bytes >= self.limits.max_recorded_bytes {
            return Err(self.full_refusal(now));
        }
        self.last_number += 1;
        let number = TicketNumber(self.last_number);
        let expires_at = now + self.limits.lifetime;
        let record = TicketRecord {
            nonce,
            service: service.clone(),
            caller: caller.clone(),
            expires_at,
            remove_at: expires_at + self.limits.retention,
            stage: TicketStage::Issued,
        };
        self.records.insert(number, record);
        Ok(RequestTicket {
            owner: self.owner.clone(),
            number,
            nonce,
            service,
            caller,
            lifetime: self.limits.lifetime,
        })
    }

    /// Starts the request of `ticket`, or returns the outcome of an earlier start.
    ///
    /// Must be called before admission. A refusal by admission is then recorded with [`TicketTable::finish`], so
    /// that a delayed copy of the request cannot run after its caller got the answer `not_run`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ticket does not match a record of this table, or if it was already used for a
    /// different request. The outcome of such a request is `unknown`.
    pub fn start(
        &mut self,
        ticket: &RequestTicket,
        request: RequestDigest,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<StartDecision> {
        self.remove_outdated(now);
        let limits = self.limits;
        let record = self.find_record(ticket)?;
        record.settle_expired(now);
        if !record.matches_request(request) && !mutation::is_active("ticket_shared") {
            return Err(TicketRefusal::OtherRequest {
                number: ticket.number,
            });
        }
        match &record.stage {
            TicketStage::Running(_) if !mutation::is_active("resend_runs") => {
                return Ok(StartDecision::Wait);
            }
            TicketStage::Settled(_, outcome) if !mutation::is_active("settled_runs") => {
                return Ok(StartDecision::Recorded(outcome.clone()));
            }
            _ => record.stage = TicketStage::Running(request),
        }
        let run = TicketRun {
            number: ticket.number,
            expires_at: record.expires_at,
            deadline,
            attempts_left: limits.max_attempts,
            state: SendState::NotSent,
        };
        Ok(StartDecision::Run(run))
    }

    /// Records the outcome of `run` and returns the recorded outcome.
    ///
    /// A `not_run` without proof for every attempt, and a `done` without an answer, are recorded as `unknown`.
    pub fn finish(
        &mut self,
        run: TicketRun,
        outcome: TicketOutcome,
        now: ClockTime,
    ) -> TicketOutcome {
        let outcome = run.verify_outcome(outcome);
        let retention = self.limits.retention;
        if let Some(record) = self.records.get_mut(&run.number) {
            let digest = match record.stage {
                TicketStage::Running(digest) => Some(digest),
                TicketStage::Settled(digest, _) => digest,
                TicketStage::Issued => None,
            };
            self.recorded_bytes -= record.recorded_bytes();
            record.stage = TicketStage::Settled(digest, outcome.clone());
            self.recorded_bytes += record.recorded_bytes();
            record.remove_at = record.remove_at.max(now + retention);
        }
        outcome
    }

    /// Returns the outcome of `ticket` for a resend that waits, or `None` while the request is running.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ticket does not match a record of this table.
    pub fn outcome(&mut self, ticket: &RequestTicket) -> Result<Option<TicketOutcome>> {
        let record = self.find_record(ticket)?;
        match &record.stage {
            TicketStage::Settled(_, outcome) => Ok(Some(outcome.clone())),
            TicketStage::Issued | TicketStage::Running(_) => Ok(None),
        }
    }

    /// Stops issuing tickets. Requests with issued tickets can still start, and running ones can finish.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Counts the tickets that the instance still owns at `now`.
    pub fn drain_report(&mut self, now: ClockTime) -> DrainReport {
        self.remove_outdated(now);
        let mut report = DrainReport::default();
        for record in self.records.values() {
            match record.stage {
                TicketStage::Running(_) if mutation::is_active("drain_skips_running") => {}
                TicketStage::Running(_) => report.running_count += 1,
                _ if now >= record.expires_at => {}
                TicketStage::Issued => report.issued_count += 1,
                TicketStage::Settled(..) => report.recorded_count += 1,
            }
        }
        report
    }

    /// Returns the number of records in any state.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of `ticket` if all fields of the ticket match it.
    fn find_record(&mut self, ticket: &RequestTicket) -> Result<&mut TicketRecord> {
        let number = ticket.number;
        let is_own = ticket.owner.instance == self.owner.instance
            && ticket.owner.incarnation == self.owner.incarnation;
        if !is_own {
            return Err(TicketRefusal::WrongOwner {
                owner: ticket.owner.instance.clone(),
                incarnation: ticket.owner.incarnation,
            });
        }
        let record = self
            .records
            .get_mut(&number)
            .ok_or(TicketRefusal::NotOnRecord { number })?;
        match record.altered_field(ticket) {
            Some(field) => Err(TicketRefusal::Altered { number, field }),
            None => Ok(record),
        }
    }

    /// Removes records whose retention has ended, and records `unknown` for runs that were never finished.
    ///
    /// Numbers increase with the time of issue and every ticket has the same lifetime, so the oldest records come
    /// first. A record that was finished late is kept longer and is skipped.
    fn remove_outdated(&mut self, now: ClockTime) {
        let retention = self.limits.retention;
        let mut outdated = Vec::new();
        for (&number, record) in &mut self.records {
            if now < record.expires_at + retention {
                break;
            }
            if now < record.remove_at {
                continue;
            }
            match record.stage {
                TicketStage::Running(digest) => {
                    let outcome = TicketOutcome::Unknown(UnknownReason::AnswerLost);
                    record.stage = TicketStage::Settled(Some(digest), outcome);
                    record.remove_at = now + retention;
                }
                _ => outdated.push(number),
            }
        }
        for number in outdated {
            if let Some(record) = self.records.remove(&number) {
                self.recorded_bytes -= record.recorded_bytes();
            }
        }
    }

    /// Builds the refusal of a full table, with the time after which the oldest record is removed.
    fn full_refusal(&self, now: ClockTime) -> TicketRefusal {
        let oldest = self.records.values().find(|record| !record.is_running());
        let retry_after =
            oldest.map_or(self.limits.retention, |record| record.remove_at.since(now));
        TicketRefusal::TableFull {
            limit: self.limits.max_tickets,
            retry_after,
        }
    }
}
