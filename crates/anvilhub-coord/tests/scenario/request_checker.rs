//! Checks of what the caller of a ticketed request observes.

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome};

use super::request_message::request_id;
use super::request_simulation::RequestSimulation;

/// Error codes of an instance that has no record of a ticket.
const LOST_TICKET_CODES: [&str; 3] = [
    "incarnation_ended",
    "ticket_wrong_owner",
    "ticket_not_on_record",
];

impl RequestSimulation {
    /// Returns the violation of the guarantee `at_most_once`, if any.
    pub fn at_most_once_violation(&self) -> Option<String> {
        if self.has_sent_expired {
            return Some("the request was sent after its ticket expired".to_owned());
        }
        let effects = self.effects.len();
        (effects > 1).then(|| format!("the request took effect {effects} times"))
    }

    /// Returns the violation of the guarantee `true_not_run`, if any.
    pub fn true_not_run_violation(&self) -> Option<String> {
        let refused = self.requests.iter().filter(|request| {
            let answer = request.answer.as_ref();
            answer.is_some_and(|answer| answer.outcome == QueryOutcome::NotRun)
        });
        let mut keys = refused.map(|request| {
            let ticket = &request.ticket;
            (ticket.owner.incarnation, ticket.number.get())
        });
        let key = keys.find(|key| self.effects.contains(key))?;
        Some(format!("ticket {key:?} was `not_run` and took effect"))
    }

    /// Returns the violation of the guarantee `own_answer`, if any: an answer that belongs to another request or is not
    /// complete.
    pub fn own_answer_violation(&self) -> Option<String> {
        let requests = self.requests.iter().enumerate();
        let answers =
            requests.filter_map(|(index, request)| Some((index, request.answer.as_ref()?)));
        let wrong = answers.into_iter().find(|(index, answer)| {
            let is_whole = answer.rows.len() == 1 && answer.rows[0].value == "booked";
            let is_done = answer.outcome == QueryOutcome::Done;
            answer.request_id != request_id(*index) || (is_done && !is_whole)
        })?;
        Some(format!(
            "request {} got an answer that is incomplete or belongs to another request: {:?}",
            wrong.0, wrong.1
        ))
    }

    /// Returns the violation of the guarantee `graceful_stop`, if any: a request without an answer, or one whose ticket
    /// is lost. Requests sent after the expiry of their ticket are exempt.
    pub fn graceful_stop_violation(&self) -> Option<String> {
        let is_ticket_lost = |answer: &QueryAnswer| {
            let error = answer.error.as_ref();
            error.is_some_and(|error| LOST_TICKET_CODES.contains(&error.code.as_str()))
        };
        let request = self.requests.iter().find(|request| {
            let key = (
                request.ticket.owner.incarnation,
                request.ticket.number.get(),
            );
            let is_covered = request.sent_at < self.expiries[&key];
            is_covered && request.answer.as_ref().is_none_or(is_ticket_lost)
        })?;
        Some(format!(
            "the planned stop left a request with the answer {:?}",
            request.answer
        ))
    }

    /// Returns the outcomes of the requests in order, and the number of executions.
    pub fn summary(&self) -> String {
        let outcomes = self.requests.iter().map(|request| {
            let answer = request.answer.as_ref();
            answer.map_or("none".to_owned(), |answer| answer.outcome.to_string())
        });
        let outcomes: Vec<_> = outcomes.collect();
        format!("{}; {} effects", outcomes.join(", "), self.effects.len())
    }
}
