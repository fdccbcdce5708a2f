use anvilhub_coord::admission::RefusalReason;
use anvilhub_coord::border::query::{ErrorEntry, QueryAnswer, QueryOutcome, TicketEntry};
use anvilhub_coord::ids::{ByteSize, CallerName, RequestFingerprint, RequestId, ServiceName};
use anvilhub_coord::ticket::TicketRefusal;
use derive_more::{Display, Error};
use hyper::StatusCode;

/// Error of a request that was refused or failed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub(crate) enum RequestError {
    /// No endpoint has the path and the method of the request.
    #[display("no resource at {path}")]
    UnknownPath { path: String },
    /// The body is not a valid request document.
    #[display("the request body is malformed: {reason}")]
    MalformedBody { reason: String },
    /// The body is larger than the setting `max_body_bytes` allows.
    #[display("the request body is larger than {limit} bytes")]
    OversizedBody { limit: ByteSize },
    /// The body did not arrive within the setting `body_timeout_ms`.
    #[display("the request body did not arrive within {timeout_ms} ms")]
    SlowBody { timeout_ms: u128 },
    /// There is no memory for the body.
    #[display("the instance has no memory for the request body")]
    NoMemory,
    #[display("service `{service}` is not in the sheet in force")]
    UnknownService { service: ServiceName },
    /// The service does not list the caller.
    #[display("service `{service}` does not serve caller `{caller}`")]
    CallerNotServed {
        service: ServiceName,
        caller: CallerName,
    },
    /// The request left no time to run it.
    #[display("the deadline of {deadline_ms} ms leaves no time to run the request")]
    DeadlineExpired { deadline_ms: u64 },
    #[display("key {key} is outside the key space")]
    UnknownKey { key: u64 },
    /// The instance may not use a sheet, because none is in force or it is not confirmed.
    #[display("the instance has no confirmed sheet in force")]
    NotReady,
    /// Admission control refused the request, or removed it from the queue. `wait_ms` is the expected wait.
    #[display("service `{service}` did not admit the request: {reason}, {wait_ms} ms to wait")]
    NotAdmitted {
        service: ServiceName,
        reason: RefusalReason,
        wait_ms: u64,
    },
    /// Upstreams crash when they run the request.
    #[display("upstreams crash when they run this request (fingerprint {fingerprint})")]
    CrashesUpstreams { fingerprint: RequestFingerprint },
    /// A non-idempotent request must name the key that it touches.
    #[display("a non-idempotent request to service `{service}` names no key")]
    KeyMissing { service: ServiceName },
    /// A non-idempotent request has no ticket yet. The answer contains the one to send it again with.
    #[display("a non-idempotent request needs a ticket")]
    TicketRequired { ticket: Box<TicketEntry> },
    /// A request without a ticket cannot be given one.
    #[display("{refusal}")]
    TicketNotIssued { refusal: TicketRefusal },
    /// The ticket of the request is malformed.
    #[display("the ticket cannot be read: {reason}")]
    BadTicket { reason: String },
    /// The owner of the ticket did not accept the request.
    #[display("{refusal}")]
    TicketRefused { refusal: TicketRefusal },
}

impl RequestError {
    /// Returns the HTTP status of the answer.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath { .. } | Self::UnknownService { .. } => StatusCode::NOT_FOUND,
            Self::MalformedBody { .. }
            | Self::UnknownKey { .. }
            | Self::KeyMissing { .. }
            | Self::BadTicket { .. } => StatusCode::BAD_REQUEST,
            Self::OversizedBody { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::CallerNotServed { .. } => StatusCode::FORBIDDEN,
            Self::DeadlineExpired { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::NoMemory
            | Self::NotReady
            | Self::CrashesUpstreams { .. }
            | Self::TicketNotIssued { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::TicketRequired { .. } => StatusCode::PRECONDITION_REQUIRED,
            Self::TicketRefused { .. } => StatusCode::CONFLICT,
            Self::NotAdmitted { reason, .. } => match reason {
                RefusalReason::QueueFull | RefusalReason::Shed => StatusCode::TOO_MANY_REQUESTS,
                RefusalReason::TooLate | RefusalReason::Expired => StatusCode::SERVICE_UNAVAILABLE,
            },
        }
    }

    /// Returns the stable code that programs match.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::UnknownPath { .. } => "unknown_path",
            Self::MalformedBody { .. } => "malformed_body",
            Self::OversizedBody { .. } => "oversized_body",
            Self::SlowBody { .. } => "slow_body",
            Self::NoMemory => "no_memory",
            Self::UnknownService { .. } => "unknown_service",
            Self::CallerNotServed { .. } => "caller_not_served",
            Self::DeadlineExpired { .. } => "deadline_expired",
            Self::UnknownKey { .. } => "unknown_key",
            Self::NotReady => "not_ready",
            Self::NotAdmitted { reason, .. } => match reason {
                RefusalReason::TooLate => "too_late",
                RefusalReason::Expired => "expired",
                RefusalReason::QueueFull => "queue_full",
                RefusalReason::Shed => "shed",
            },
            Self::CrashesUpstreams { .. } => "crashes_upstreams",
            Self::KeyMissing { .. } => "key_missing",
            Self::TicketRequired { .. } => "ticket_required",
            Self::BadTicket { .. } => "bad_ticket",
            Self::TicketNotIssued { refusal } | Self::TicketRefused { refusal } => refusal.code(),
        }
    }

    /// Returns whether a part of the body may not have been read.
    pub(crate) fn leaves_body(&self) -> bool {
        matches!(
            self,
            Self::OversizedBody { .. } | Self::SlowBody { .. } | Self::NoMemory
        )
    }

    /// Returns the outcome to report to the caller.
    ///
    /// A refused request without a ticket was never routed, so it did not run. A request with a ticket may be the
    /// resend of one that has run, which only the owner of the ticket knows.
    fn outcome(&self, may_hold_ticket: bool) -> QueryOutcome {
        match self {
            _ if may_hold_ticket => QueryOutcome::Unknown,
            Self::BadTicket { .. } => QueryOutcome::Unknown,
            Self::TicketRefused { refusal } => refusal.outcome(),
            _ => QueryOutcome::NotRun,
        }
    }

    /// Returns what the caller can do about the error.
    fn remedy(&self) -> &'static str {
        match self {
            Self::UnknownPath { .. } => "send queries to POST /v1/query",
            Self::MalformedBody { .. } => "send the JSON document that docs/callers.md describes",
            Self::OversizedBody { .. } => "shorten the query or raise `max_body_bytes`",
            Self::SlowBody { .. } => "send the whole body at once",
            Self::NoMemory => "wait as `Retry-After` says, and send the whole body at once",
            Self::UnknownService { .. } => "check the name against `anvilhub state`",
            Self::CallerNotServed { .. } => "have the caller added to the service in the sheet",
            Self::DeadlineExpired { .. } => "send the request with more time",
            Self::UnknownKey { .. } => "use a key from 0 to 4294967295",
            Self::NotReady => "send the request to an instance that is ready",
            Self::NotAdmitted { reason, .. } => match reason {
                RefusalReason::TooLate | RefusalReason::Expired => {
                    "wait as `Retry-After` says, or send the request with more time"
                }
                RefusalReason::QueueFull | RefusalReason::Shed => {
                    "wait as `Retry-After` says, or send the request with a higher urgency"
                }
            },
            Self::CrashesUpstreams { .. } => {
                "do not repeat it; have the service mended, it is tried again after ten minutes"
            }
            Self::KeyMissing { .. } => "add the field `key`",
            Self::TicketRequired { .. } => "send the request again with the ticket of this answer",
            Self::TicketNotIssued { .. } => "send the request to another instance",
            Self::BadTicket { .. } => "send the ticket unchanged",
            Self::TicketRefused { .. } => "look up the effect before repeating the request",
        }
    }

    fn to_error_entry(&self) -> ErrorEntry {
        match self {
            Self::TicketNotIssued { refusal } | Self::TicketRefused { refusal } => {
                refusal.to_error()
            }
            _ => ErrorEntry {
                code: self.code().to_owned(),
                message: self.to_string(),
                remedy: self.remedy().to_owned(),
            },
        }
    }

    /// Builds the answer to the caller; `may_hold_ticket` is whether the request has a ticket or may have one.
    pub(crate) fn to_answer(&self, request_id: RequestId, may_hold_ticket: bool) -> QueryAnswer {
        let ticket = match self {
            Self::TicketRequired { ticket } => Some(TicketEntry::clone(ticket)),
            _ => None,
        };
        QueryAnswer {
            request_id,
            outcome: self.outcome(may_hold_ticket),
            rows: Vec::new(),
            snapshot: None,
            coverage: None,
            ticket,
            error: Some(self.to_error_entry()),
        }
    }
}
