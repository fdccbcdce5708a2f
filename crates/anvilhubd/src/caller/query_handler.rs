use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, QueryRequest};
use anvilhub_coord::ids::{ByteSize, RequestId};
use anvilhub_coord::ticket::RequestOrigin;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use log::info;
use metrics::counter;
use tokio::time::timeout;

use crate::context::EntryContext;
use crate::fanout::FanoutRunner;
use crate::filters::{
    CallerFilter, DeadlineFilter, EntryRequest, FilterChain, IdentityFilter, RequestError, Result,
    ServiceFilter,
};

use super::{CallerHandler, UnreadQuery};

/// Seconds after which a refused request may be sent again. Queues turn over within less than a second, and
/// this is the least that the header can say.
const RETRY_AFTER: u64 = 1;

/// Answers callers' HTTP requests.
pub(crate) struct QueryHandler {
    context: Arc<EntryContext>,
    chain: FilterChain,
    runner: FanoutRunner,
}

impl CallerHandler for QueryHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let _guard = self.context.begin_request();
        let (status, answer) = match self.read_query(request).await {
            Ok(query) => self.answer(query, RequestOrigin::Caller).await,
            Err(unread) => refuse(&unread.error, no_request_id(), unread.may_hold_ticket),
        };
        let mut response = respond(status, &answer);
        if self.context.is_draining() {
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
            Box::new(IdentityFilter),
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

    async fn read_query(
        &self,
        request: Request<Incoming>,
    ) -> std::result::Result<QueryRequest, UnreadQuery> {
        let path = request.uri().path();
        if request.method() != Method::POST || path != "/v1/query" {
            let path = path.to_owned();
            return Err(UnreadQuery::without_ticket(RequestError::UnknownPath {
                path,
            }));
        }
        let body = self.read_body(request.into_body()).await;
        let body = body.map_err(UnreadQuery::without_body)?;
        serde_json::from_slice(&body).map_err(|error| UnreadQuery::of_body(&error, &body))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes> {
        let settings = &self.context.settings;
        let bytes = usize::try_from(settings.max_body.get()).unwrap_or(usize::MAX);
        let body = timeout(settings.body_timeout, Limited::new(body, bytes).collect())
            .await
            .map_err(|_| RequestError::SlowBody {
                millis: settings.body_timeout.as_millis(),
            })?
            .map_err(|error| body_error(&*error, settings.max_body))?;
        Ok(body.to_bytes())
    }

    /// Answers a parsed request of a caller or of another instance.
    pub(crate) async fn answer(
        &self,
        query: QueryRequest,
        origin: RequestOrigin,
    ) -> (StatusCode, QueryAnswer) {
        let request_id = query.request_id.clone();
        let has_ticket = query.ticket.is_some();
        match self.run_query(query, origin).await {
            Ok(answer) => {
                log_answer(&answer);
                (status_of(&answer), answer)
            }
            Err(error) => refuse(&error, request_id, has_ticket),
        }
    }

    async fn run_query(&self, query: QueryRequest, origin: RequestOrigin) -> Result<QueryAnswer> {
        let arrived = self.context.clock.now();
        let remaining = Duration::from_millis(query.deadline_ms);
        let limit = arrived + remaining.min(self.context.settings.max_deadline);
        if !self.context.confirm_sheet(limit).await {
            return Err(RequestError::NotReady);
        }
        let sheet = self.context.sheet.load_full();
        let sheet = sheet.ok_or(RequestError::NotReady)?;
        let mut request = EntryRequest::new(query, sheet, arrived);
        self.chain.apply(&mut request)?;
        match request.is_idempotent(request.service()?) {
            true => self.runner.run(&request).await,
            false => {
                self.context
                    .tickets
                    .answer(&self.context, request, origin)
                    .await
            }
        }
    }
}

fn body_error(error: &(dyn std::error::Error + 'static), limit: ByteSize) -> RequestError {
    match error.is::<LengthLimitError>() {
        true => RequestError::OversizedBody { limit },
        false => RequestError::MalformedBody {
            reason: error.to_string(),
        },
    }
}

fn no_request_id() -> RequestId {
    "unknown".parse().expect("a constant identifier is valid")
}

fn log_answer(answer: &QueryAnswer) {
    let coverage = answer
        .coverage
        .as_ref()
        .map_or(0.0, |coverage| coverage.fraction);
    info!(request_id:% = answer.request_id, outcome:% = answer.outcome, coverage; "request answered");
}

/// The answer to a request that was refused before its ticket, if it has one, was looked up.
fn refuse(
    error: &RequestError,
    request_id: RequestId,
    may_hold_ticket: bool,
) -> (StatusCode, QueryAnswer) {
    counter!("anvilhub_refused_requests_total", "code" => error.code()).increment(1);
    info!(request_id:% = request_id, code = error.code(); "request refused: {error}");
    (error.status(), error.answer(request_id, may_hold_ticket))
}

fn status_of(answer: &QueryAnswer) -> StatusCode {
    match answer.outcome {
        QueryOutcome::Done => StatusCode::OK,
        QueryOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        QueryOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn respond(status: StatusCode, answer: &QueryAnswer) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(answer).expect("border types serialize to JSON");
    let mut head = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json");
    if let StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE = status {
        head = head.header(header::RETRY_AFTER, RETRY_AFTER);
    }
    head.body(Full::new(Bytes::from(body)))
        .expect("a constant response head is valid")
}
