//! What callers of a ticketed request must never observe.

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome};

use super::request_message::request_id;
use super::request_world::RequestWorld;

/// Errors of an instance that has lost a ticket.
const FORGOTTEN: [&str; 3] = [
    "incarnation_ended",
    "ticket_wrong_owner",
    "ticket_not_on_record",
];

impl RequestWorld {
    /// The breach of "at most once" that has happened, if any.
    pub fn breach_of_once(&self) -> Option<String> {
        if self.sent_expired {
            return Some("the request was sent after its ticket expired".to_owned());
        }
        let effects = self.effects.len();
        (effects > 1).then(|| format!("the request took effect {effects} times"))
    }

    /// The breach of "not run is true" that has happened, if any.
    pub fn breach_of_not_run(&self) -> Option<String> {
        let refused = self.attempts.iter().filter(|attempt| {
            let answer = attempt.answer.as_ref();
            answer.is_some_and(|answer| answer.outcome == QueryOutcome::NotRun)
        });
        let mut keys = refused.map(|attempt| {
            let ticket = &attempt.ticket;
            (ticket.owner.incarnation, ticket.number.get())
        });
        let key = keys.find(|key| self.effects.contains(key))?;
        Some(format!("ticket {key:?} was `not_run` and took effect"))
    }

    /// The answer that is not the whole one to its own request, if any.
    pub fn breach_of_own(&self) -> Option<String> {
        let attempts = self.attempts.iter().enumerate();
        let answers =
            attempts.filter_map(|(index, attempt)| Some((index, attempt.answer.as_ref()?)));
        let wrong = answers.into_iter().find(|(index, answer)| {
            let is_whole = answer.rows.len() == 1 && answer.rows[0].value == "booked";
            let is_done = answer.outcome == QueryOutcome::Done;
            answer.request_id != request_id(*index) || (is_done && !is_whole)
        })?;
        Some(format!("attempt {} got {:?}", wrong.0, wrong.1))
    }

    /// The attempt that a planned stop broke off or whose ticket it forgot, if any. A resend after the
    /// ticket's expiry has no claim.
    pub fn breach_of_stop(&self) -> Option<String> {
        let is_forgotten = |answer: &QueryAnswer| {
            let error = answer.error.as_ref();
            error.is_some_and(|error| FORGOTTEN.contains(&error.code.as_str()))
        };
        let attempt = self.attempts.iter().find(|attempt| {
            let key = (
                attempt.ticket.owner.incarnation,
                attempt.ticket.number.get(),
            );
            let has_claim = attempt.sent_at < self.expiries[&key];
            has_claim && attempt.answer.as_ref().is_none_or(is_forgotten)
        })?;
        Some(format!("the stop left {:?}", attempt.answer))
    }

    /// The outcomes of the attempts in order, and the number of effects.
    pub fn summary(&self) -> String {
        let outcomes = self.attempts.iter().map(|attempt| {
            let answer = attempt.answer.as_ref();
            answer.map_or("none".to_owned(), |answer| answer.outcome.to_string())
        });
        let outcomes: Vec<_> = outcomes.collect();
        format!("{}; {} effects", outcomes.join(", "), self.effects.len())
    }
}
