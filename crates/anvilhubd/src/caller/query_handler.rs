use std::sync::Arc;

use anvilhub_coord::border::query::{QueryAnswer, QueryOutcome, QueryRequest};
use anvilhub_coord::ids::{ByteSize, RequestId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use log::{info, warn};
use tokio::time::timeout;

use crate::context::EntryContext;
use crate::fanout::FanoutRunner;
use crate::filters::{
    CallerFilter, DeadlineFilter, EntryRequest, FilterChain, RequestError, Result, ServiceFilter,
};
use crate::lifecycle::LifecycleStage;

/// Answers callers' HTTP requests.
pub(crate) struct QueryHandler {
    context: Arc<EntryContext>,
    chain: FilterChain,
    runner: FanoutRunner,
}

impl QueryHandler {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        let chain = FilterChain::new(vec![
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

    /// Answers one request; errors become answers.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let _guard = self.context.begin_request();
        let mut response = match self.read_query(request).await {
            Ok(query) => self.answer_query(query).await,
            Err(error) => refuse(&error, no_request_id()),
        };
        if self.context.stage.get() == LifecycleStage::Draining {
            response.headers_mut().insert(
                header::CONNECTION,
                header::HeaderValue::from_static("close"),
            );
        }
        response
    }

    async fn read_query(&self, request: Request<Incoming>) -> Result<QueryRequest> {
        let path = request.uri().path();
        if request.method() != Method::POST || path != "/v1/query" {
            return Err(RequestError::UnknownPath {
                path: path.to_owned(),
            });
        }
        let settings = &self.context.settings;
        let bytes = usize::try_from(settings.max_body.get()).unwrap_or(usize::MAX);
        let body = Limited::new(request.into_body(), bytes).collect();
        let body = timeout(settings.body_timeout, body)
            .await
            .map_err(|_| RequestError::SlowBody {
                millis: settings.body_timeout.as_millis(),
            })?
            .map_err(|error| body_error(&*error, settings.max_body))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| RequestError::MalformedBody {
            reason: error.to_string(),
        })
    }

    async fn answer_query(&self, query: QueryRequest) -> Response<Full<Bytes>> {
        let request_id = query.request_id.clone();
        match self.run_query(query).await {
            Ok(answer) => {
                log_answer(&answer);
                respond(status_of(&answer), &answer)
            }
            Err(error) => refuse(&error, request_id),
        }
    }

    async fn run_query(&self, query: QueryRequest) -> Result<QueryAnswer> {
        let sheet = self
            .context
            .sheet
            .load_full()
            .ok_or(RequestError::NotReady)?;
        let mut request = EntryRequest::new(query, sheet, self.context.clock.now());
        self.chain.apply(&mut request)?;
        self.runner.run(&request).await
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

fn refuse(error: &RequestError, request_id: RequestId) -> Response<Full<Bytes>> {
    warn!(request_id:% = request_id, code = error.code(); "request refused: {error}");
    let mut response = respond(error.status(), &error.answer(request_id));
    if let Some(seconds) = error.retry_after() {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, seconds.into());
    }
    response
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
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a constant response head is valid")
}
