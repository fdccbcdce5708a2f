use std::collections::BTreeMap;

use crate::ids::{CallerName, ServiceName, TicketNumber};
use crate::mutation;
use crate::time::ClockTime;

use super::ticket_record::{TicketRecord, TicketStage};
use super::ticket_run::RunStep;
use super::{
    DrainReport, RequestDigest, RequestTicket, Result, TicketIdentity, TicketLimits, TicketOutcome,
    TicketRefusal, TicketRun, UnknownReason,
};

/// The owner's state of every ticket that it issued.
#[derive(Debug)]
pub struct TicketTable {
    identity: TicketIdentity,
    limits: TicketLimits,
    records: BTreeMap<TicketNumber, TicketRecord>,
    last_number: u64,
    draining: bool,
    recorded_bytes: usize,
}

/// What the owner does with a ticketed request.
#[derive(Debug)]
pub enum StartDecision {
    /// Run it.
    Run(TicketRun),
    /// It runs already: wait for [`TicketTable::outcome`], and answer
    /// [`UnknownReason::StillRunning`] when the resend's time is over first.
    Wait,
    /// Answer with the recorded outcome.
    Recorded(TicketOutcome),
}

impl TicketTable {
    /// An empty table of the instance `identity`.
    pub fn new(identity: TicketIdentity, limits: TicketLimits) -> Self {
        Self {
            identity,
            limits,
            records: BTreeMap::new(),
            last_number: 0,
            draining: false,
            recorded_bytes: 0,
        }
    }

    /// The instance that the table's tickets name.
    pub fn identity(&self) -> &TicketIdentity {
        &self.identity
    }

    /// Issues a ticket for a request of `caller` to `service`, with the random number `nonce`.
    ///
    /// # Errors
    ///
    /// Refuses when the table is full or the instance drains. The request did not run then.
    pub fn issue(
        &mut self,
        service: ServiceName,
        caller: CallerName,
        nonce: u64,
        now: ClockTime,
    ) -> Result<RequestTicket> {
        if self.draining {
            return Err(TicketRefusal::Draining);
        }
        self.sweep(now);
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
            forget_at: expires_at + self.limits.retention,
            stage: TicketStage::Issued,
        };
        self.records.insert(number, record);
        Ok(RequestTicket {
            owner: self.identity.clone(),
            number,
            nonce,
            service,
            caller,
            lifetime: self.limits.lifetime,
        })
    }

    /// Starts the request of `ticket`, or says what became of it.
    ///
    /// Called before admission: a refusal of admission is recorded with [`TicketTable::finish`], so that a
    /// delayed copy of the request cannot run after its caller was told `not_run`.
    ///
    /// # Errors
    ///
    /// Refuses a ticket that does not match a record of this table, and another request under a ticket
    /// that has been used. The outcome of such a request is `unknown`.
    pub fn start(
        &mut self,
        ticket: &RequestTicket,
        request: RequestDigest,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<StartDecision> {
        self.sweep(now);
        let limits = self.limits;
        let record = self.matching(ticket)?;
        record.settle_expired(now);
        if !record.is_request(request) && !mutation::is_active("ticket_shared") {
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
            step: RunStep::NotSent,
        };
        Ok(StartDecision::Run(run))
    }

    /// Records the outcome of `run` and returns it.
    ///
    /// A `not_run` without proof for every try, and a `done` without an answer, are recorded as `unknown`.
    pub fn finish(
        &mut self,
        run: TicketRun,
        outcome: TicketOutcome,
        now: ClockTime,
    ) -> TicketOutcome {
        let outcome = run.proved(outcome);
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
            record.forget_at = record.forget_at.max(now + retention);
        }
        outcome
    }

    /// The outcome of `ticket` for a resend that waits; `None` while the request runs.
    ///
    /// # Errors
    ///
    /// Refuses a ticket that does not match a record of this table.
    pub fn outcome(&mut self, ticket: &RequestTicket) -> Result<Option<TicketOutcome>> {
        let record = self.matching(ticket)?;
        match &record.stage {
            TicketStage::Settled(_, outcome) => Ok(Some(outcome.clone())),
            TicketStage::Issued | TicketStage::Running(_) => Ok(None),
        }
    }

    /// Issues no more tickets from now on. Issued ones still start and running ones finish.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// The tickets that the instance still owns at `now`.
    pub fn drain_report(&mut self, now: ClockTime) -> DrainReport {
        self.sweep(now);
        let mut report = DrainReport::default();
        for record in self.records.values() {
            match record.stage {
                TicketStage::Running(_) if mutation::is_active("drain_skips_running") => {}
                TicketStage::Running(_) => report.running += 1,
                _ if now >= record.expires_at => {}
                TicketStage::Issued => report.issued += 1,
                TicketStage::Settled(..) => report.recorded += 1,
            }
        }
        report
    }

    /// Number of records in any state.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Says whether the table holds no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn matching(&mut self, ticket: &RequestTicket) -> Result<&mut TicketRecord> {
        let number = ticket.number;
        let is_own = ticket.owner.instance == self.identity.instance
            && ticket.owner.incarnation == self.identity.incarnation;
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

    /// Forgets records past their retention, and settles runs that never reported.
    ///
    /// Numbers ascend with the time of issue and every ticket has the same lifetime, so the oldest records
    /// come first. A record that finished late stays longer and is passed over.
    fn sweep(&mut self, now: ClockTime) {
        let retention = self.limits.retention;
        let mut forgotten = Vec::new();
        for (&number, record) in &mut self.records {
            if now < record.expires_at + retention {
                break;
            }
            if now < record.forget_at {
                continue;
            }
            match record.stage {
                TicketStage::Running(digest) => {
                    let outcome = TicketOutcome::Unknown(UnknownReason::AnswerLost);
                    record.stage = TicketStage::Settled(Some(digest), outcome);
                    record.forget_at = now + retention;
                }
                _ => forgotten.push(number),
            }
        }
        for number in forgotten {
            if let Some(record) = self.records.remove(&number) {
                self.recorded_bytes -= record.recorded_bytes();
            }
        }
    }

    fn full_refusal(&self, now: ClockTime) -> TicketRefusal {
        let oldest = self.records.values().find(|record| !record.is_running());
        let retry_after =
            oldest.map_or(self.limits.retention, |record| record.forget_at.since(now));
        TicketRefusal::TableFull {
            limit: self.limits.max_tickets,
            retry_after,
        }
    }
}
