use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, QueryRequest};
use anvilhub_coord::ids::RequestId;
use anvilhub_coord::ticket::RequestOrigin;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use log::info;
use metrics::counter;

use crate::entry_context::EntryContext;
use crate::fanout::FanoutRunner;
use crate::filters::{
    CallerFilter, DeadlineFilter, EntryRequest, FilterChain, RequestError, RequestIdFilter, Result,
    ServiceFilter,
};

use crate::memory::ClientAccount;

use super::{BodyError, BodyReader, HttpHandler, UnreadableQuery};

/// Value of the `Retry-After` header of refused requests, in seconds. Requests wait in queues for less than a second,
/// and one second is the smallest value that the header can express.
const RETRY_AFTER_SECONDS: u64 = 1;

/// Answers the queries of callers, and queries with tickets that other instances forward.
pub(crate) struct QueryHandler {
    context: Arc<EntryContext>,
    chain: FilterChain,
    runner: FanoutRunner,
}

impl HttpHandler for QueryHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let _guard = self.context.begin_request();
        let (is_body_left, (status, answer)) = match self.read_query(request).await {
            Ok(query) => (false, self.answer_query(query, RequestOrigin::Caller).await),
            Err(unreadable) => (
                unreadable.error.leaves_body(),
                refuse(
                    &unreadable.error,
                    unknown_request_id(),
                    unreadable.may_hold_ticket,
                ),
            ),
        };
        let mut response = build_response(status, &answer);
        if is_body_left || self.context.is_draining() {
            response.headers_mut().insert(
                header::CONNECTION,
                header::HeaderValue::from_static("close"),
            );
        }
        response
    }
}

impl QueryHandler {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        let chain = FilterChain::new(vec![
            Box::new(RequestIdFilter),
            Box::new(ServiceFilter),
            Box::new(CallerFilter),
            Box::new(DeadlineFilter {
                max_deadline: context.settings.max_deadline,
            }),
        ]);
        let runner = FanoutRunner::new(Arc::clone(&context));
        Self {
            context,
            chain,
            runner,
        }
    }

    /// Reads the query in the body of a caller's HTTP request.
    ///
    /// # Errors
    ///
    /// Fails if the request is not addressed to the query endpoint, or its body is incomplete or malformed.
    async fn read_query(
        &self,
        request: Request<Incoming>,
    ) -> std::result::Result<QueryRequest, UnreadableQuery> {
        let path = request.uri().path();
        if request.method() != Method::POST || path != "/v1/query" {
            let path = path.to_owned();
            return Err(UnreadableQuery::unknown_path(RequestError::UnknownPath {
                path,
            }));
        }
        let body = self.read_body(request).await;
        let body = body.map_err(UnreadableQuery::incomplete_body)?;
        serde_json::from_slice(&body)
            .map_err(|error| UnreadableQuery::malformed_body(&error, &body))
    }

    /// Reads the body of a request within the limits of size, time and memory.
    async fn read_body(&self, request: Request<Incoming>) -> Result<Bytes> {
        let settings = &self.context.settings;
        let (head, body) = request.into_parts();
        let account = head.extensions.get::<Arc<ClientAccount>>();
        let reader = BodyReader {
            account: account.expect("the server adds it to each request"),
            max_size: settings.max_body_size,
            timeout: settings.body_timeout,
        };
        reader.read(body).await.map_err(|error| match error {
            BodyError::Oversized => RequestError::OversizedBody {
                limit: settings.max_body_size,
            },
            BodyError::Incomplete(reason) => RequestError::MalformedBody { reason },
            BodyError::Late => RequestError::SlowBody {
                timeout_ms: settings.body_timeout.as_millis(),
            },
            BodyError::NoMemory => RequestError::NoMemory,
        })
    }

    /// Answers a query of a caller, or one that another instance forwarded.
    pub(crate) async fn answer_query(
        &self,
        query: QueryRequest,
        origin: RequestOrigin,
    ) -> (StatusCode, QueryAnswer) {
        let request_id = query.request_id.clone();
        let has_ticket = query.ticket.is_some();
        match self.run_query(query, origin).await {
            Ok(answer) => {
                log_answer(&answer);
                (answer_status(&answer), answer)
            }
            Err(error) => refuse(&error, request_id, has_ticket),
        }
    }

    /// Confirms the sheet, applies the filters and runs the query.
    async fn run_query(&self, query: QueryRequest, origin: RequestOrigin) -> Result<QueryAnswer> {
        let arrived_at = self.context.clock.now();
        let time_left = Duration::from_millis(query.deadline_ms);
        let deadline = arrived_at + time_left.min(self.context.settings.max_deadline);
        if !self.context.confirm_sheet(deadline).await {
            return Err(RequestError::NotReady);
        }
        let sheet = self.context.sheet.load_full();
        let sheet = sheet.ok_or(RequestError::NotReady)?;
        let mut request = EntryRequest::new(query, sheet, arrived_at);
        self.chain.apply(&mut request)?;
        match request.is_idempotent(request.service()?) {
            true => self.runner.run(&request).await,
            false => {
                self.context
                    .tickets
                    .answer_request(&self.context, request, origin)
                    .await
            }
        }
    }
}

/// Returns the identifier to use in the answer to a request whose own identifier could not be read.
fn unknown_request_id() -> RequestId {
    "unknown".parse().expect("a constant identifier is valid")
}

fn log_answer(answer: &QueryAnswer) {
    let coverage = answer
        .coverage
        .as_ref()
        .map_or(0.0, |coverage| coverage.fraction);
    info!(request_id:% = answer.request_id, outcome:% = answer.outcome, coverage; "request answered");
}

/// Logs a refused request and builds its answer. `may_hold_ticket` is whether the request has a ticket or may have one.
fn refuse(
    error: &RequestError,
    request_id: RequestId,
    may_hold_ticket: bool,
) -> (StatusCode, QueryAnswer) {
    counter!("anvilhub_refused_requests_total", "code" => error.code()).increment(1);
    info!(request_id:% = request_id, code = error.code(); "request refused: {error}");
    (error.status(), error.to_answer(request_id, may_hold_ticket))
}

fn answer_status(answer: &QueryAnswer) -> StatusCode {
    match answer.outcome {
        QueryOutcome::Done => StatusCode::OK,
        QueryOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        QueryOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn build_response(status: StatusCode, answer: &QueryAnswer) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(answer).expect("border types serialize to JSON");
    let mut head = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json");
    if let StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE = status {
        head = head.header(header::RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    head.body(Full::new(Bytes::from(body)))
        .expect("a constant response head is valid")
}
