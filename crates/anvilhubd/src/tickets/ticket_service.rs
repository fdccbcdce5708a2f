use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilhub_coord::border::query::{QueryAnswer, TicketEntry};
use anvilhub_coord::ids::{CallerName, ServiceName};
use anvilhub_coord::ticket::{
    DrainReport, ForwardDecision, RequestDigest, RequestOrigin, RequestTicket, StartDecision,
    TicketOutcome, TicketOwner, TicketRefusal, TicketTable, UnknownReason,
};
use anvilhub_coord::time::ClockTime;
use jsonrpsee::core::client::Client;
use log::{info, warn};
use metrics::counter;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::entry_context::EntryContext;
use crate::filters::{EntryRequest, RequestError, Result};
use crate::peer::{ForwardMessage, IssueMessage, PeerApiClient};

use super::ticket_executor::TicketExecutor;

/// Time reserved for the answer to reach the caller when a request is forwarded.
const FORWARD_RESERVE: Duration = Duration::from_millis(5);

/// Runs non-idempotent requests at most once.
pub(crate) struct TicketService {
    table: Mutex<TicketTable>,
    /// Number of finished runs. Each change wakes the requests that wait for an outcome.
    finished_runs: watch::Sender<u64>,
    /// This instance, as the owner of the tickets that it issues.
    owner: TicketOwner,
}

impl TicketService {
    pub(crate) fn new(table: TicketTable) -> Self {
        let owner = table.owner().clone();
        Self {
            table: Mutex::new(table),
            finished_runs: watch::channel(0).0,
            owner,
        }
    }

    /// Issues a ticket that this instance owns.
    ///
    /// # Errors
    ///
    /// Fails when the instance drains or its table is full.
    pub(crate) fn issue(
        &self,
        service: &ServiceName,
        caller: &CallerName,
        now: ClockTime,
    ) -> std::result::Result<TicketEntry, TicketRefusal> {
        let ticket = self
            .table()
            .issue(service.clone(), caller.clone(), random_number(), now)?;
        info!(ticket:% = ticket.number, service:% = service, caller:% = caller; "ticket issued");
        Ok(TicketEntry::from(&ticket))
    }

    /// Stops issuing tickets. Issued ones may still be used, and running requests finish.
    pub(crate) fn drain(&self) {
        self.table().start_draining();
    }

    /// Counts the open tickets that this instance owns. A planned stop waits for them.
    pub(crate) fn drain_report(&self, now: ClockTime) -> DrainReport {
        self.table().drain_report(now)
    }

    /// Answers a non-idempotent request.
    ///
    /// # Errors
    ///
    /// Fails when the request names no key, has no ticket yet, or has an unusable one.
    pub(crate) async fn answer_request(
        self: &Arc<Self>,
        context: &Arc<EntryContext>,
        request: EntryRequest,
        origin: RequestOrigin,
    ) -> Result<QueryAnswer> {
        let service = request.service()?.name.clone();
        let key = request
            .query
            .key
            .ok_or(RequestError::KeyMissing { service })?;
        let Some(entry) = &request.query.ticket else {
            return Err(self.refuse_with_ticket(context, &request).await);
        };
        let ticket = RequestTicket::try_from(entry).map_err(|fault| RequestError::BadTicket {
            reason: fault.to_string(),
        })?;
        let owner_address = context.peer_address_of(&ticket.owner.instance);
        match ForwardDecision::decide(&ticket, &self.owner, origin, owner_address) {
            ForwardDecision::StartHere => self.run_as_owner(context, request, ticket, key).await,
            ForwardDecision::Forward(address) => {
                Ok(forward_to_owner(context, &request, address).await)
            }
            ForwardDecision::Unknown(reason) => {
                info!(request_id:% = request.query.request_id, reason:% = reason; "ticket not forwarded");
                Ok(TicketOutcome::Unknown(reason).to_answer(request.query.request_id))
            }
        }
    }

    /// Builds the refusal that carries a ticket. A draining instance asks a peer to issue it, so that no request is
    /// rejected because of a planned stop.
    async fn refuse_with_ticket(
        &self,
        context: &Arc<EntryContext>,
        request: &EntryRequest,
    ) -> RequestError {
        let query = &request.query;
        match self.issue(&query.service, &query.caller, context.clock.now()) {
            Ok(ticket) => RequestError::TicketRequired {
                ticket: Box::new(ticket),
            },
            Err(TicketRefusal::Draining) => match issue_at_peer(context, request).await {
                Some(ticket) => RequestError::TicketRequired {
                    ticket: Box::new(ticket),
                },
                None => RequestError::TicketNotIssued {
                    refusal: TicketRefusal::Draining,
                },
            },
            Err(refusal) => RequestError::TicketNotIssued { refusal },
        }
    }

    /// Starts the request of a ticket that this instance owns, unless it has been started before, and waits for its
    /// outcome until the deadline.
    async fn run_as_owner(
        self: &Arc<Self>,
        context: &Arc<EntryContext>,
        request: EntryRequest,
        ticket: RequestTicket,
        key: u64,
    ) -> Result<QueryAnswer> {
        let request_id = request.query.request_id.clone();
        let deadline = request.deadline;
        let digest = RequestDigest::new(key, &request.query.query);
        let decision = self
            .table()
            .start(&ticket, digest, deadline, context.clock.now());
        match decision.map_err(|refusal| RequestError::TicketRefused { refusal })? {
            StartDecision::Recorded(outcome) => return Ok(outcome.to_answer(request_id)),
            StartDecision::Wait => {}
            StartDecision::Run(mut run) => {
                let service = Arc::clone(self);
                let context = Arc::clone(context);
                let ticket = ticket.clone();
                // Runs in a task of its own, so that the outcome is recorded even when the caller disconnects.
                tokio::spawn(async move {
                    let _guard = context.begin_request();
                    let executor = TicketExecutor {
                        context: Arc::clone(&context),
                        request,
                        ticket,
                        key,
                    };
                    let outcome = executor.execute(&mut run).await;
                    let outcome = service.table().finish(run, outcome, context.clock.now());
                    counter!("anvilhub_tickets_total", "outcome" => outcome.to_query_outcome().to_string())
                        .increment(1);
                    service.finished_runs.send_modify(|count| *count += 1);
                });
            }
        }
        let outcome = self.wait_for_outcome(context, &ticket, deadline).await?;
        Ok(outcome.to_answer(request_id))
    }

    /// Waits until the outcome of the ticket is recorded. The outcome is unknown when the request still runs at
    /// `deadline`.
    async fn wait_for_outcome(
        &self,
        context: &EntryContext,
        ticket: &RequestTicket,
        deadline: ClockTime,
    ) -> Result<TicketOutcome> {
        let mut finished_runs = self.finished_runs.subscribe();
        loop {
            let outcome = self.table().outcome(ticket);
            if let Some(outcome) =
                outcome.map_err(|refusal| RequestError::TicketRefused { refusal })?
            {
                return Ok(outcome);
            }
            let time_left = deadline.since(context.clock.now());
            if time_left.is_zero() || timeout(time_left, finished_runs.changed()).await.is_err() {
                return Ok(TicketOutcome::Unknown(UnknownReason::StillRunning));
            }
        }
    }

    fn table(&self) -> MutexGuard<'_, TicketTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards the request to the ticket's owner. When the owner does not answer, the outcome is unknown.
async fn forward_to_owner(
    context: &EntryContext,
    request: &EntryRequest,
    owner: SocketAddr,
) -> QueryAnswer {
    let request_id = request.query.request_id.clone();
    let time_left = request
        .deadline
        .since(context.clock.now())
        .saturating_sub(FORWARD_RESERVE);
    let mut query = request.query.clone();
    query.deadline_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    let message = ForwardMessage {
        from: context.settings.instance.clone(),
        query,
    };
    info!(request_id:% = request_id, owner:% = owner; "ticketed request forwarded to its owner");
    let call = |client: Arc<Client>| async move { client.forward(message).await };
    match context.peers.call(owner, time_left, call).await {
        Ok(answer) => answer,
        Err(error) => {
            counter!("anvilhub_forward_failures_total").increment(1);
            warn!(request_id:% = request_id, owner:% = owner; "the ticket's owner cannot be reached: {error}");
            ForwardDecision::unanswered_outcome().to_answer(request_id)
        }
    }
}

/// Asks live peers one after the other to issue a ticket, until one does.
async fn issue_at_peer(context: &EntryContext, request: &EntryRequest) -> Option<TicketEntry> {
    for peer in context.live_peers() {
        let message = IssueMessage {
            service: request.query.service.clone(),
            caller: request.query.caller.clone(),
        };
        let call = |client: Arc<Client>| async move { client.issue_ticket(message).await };
        let call_timeout = context
            .settings
            .peer_timeout
            .min(request.deadline.since(context.clock.now()));
        match context.peers.call(peer, call_timeout, call).await {
            Ok(ticket) => return Some(ticket),
            Err(error) => warn!(peer:% = peer; "a peer did not issue a ticket: {error}"),
        }
    }
    None
}

/// Returns a random number of 53 bits, which JSON readers that store numbers as 64-bit floats keep exactly.
pub(crate) fn random_number() -> u64 {
    rand::random::<u64>() >> 11
}
