use std::sync::Arc;

use anvilhub_coord::border::query::{CoverageEntry, ErrorEntry, QueryAnswer, QueryOutcome};
use anvilhub_coord::gather::CoverageReport;
use metrics::{counter, histogram};

use crate::admission::AdmissionPermit;
use crate::entry_context::EntryContext;
use crate::filters::{EntryRequest, RequestError, Result};
use crate::routes::ServiceRoute;

use super::{FanoutRequest, GatheredRequest, RequestRun, answer_deadline, fingerprint_query};

/// Admits requests, runs their sub-requests, and builds their answers.
pub(crate) struct FanoutRunner {
    context: Arc<EntryContext>,
}

impl FanoutRunner {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    /// Runs a request and returns its answer, which may be partial.
    ///
    /// # Errors
    ///
    /// Fails when the service is unknown or the request is not admitted. Nothing was sent then.
    pub(crate) async fn run(&self, request: &EntryRequest) -> Result<QueryAnswer> {
        let routes = self.context.routes_for(&request.sheet);
        let name = &request.query.service;
        let service = routes
            .services
            .get(name)
            .ok_or_else(|| RequestError::UnknownService {
                service: name.clone(),
            })?;
        let fanout_request = fanout_request(request, service);
        self.check_crashes(&fanout_request)?;
        let _permit = self.admit(&fanout_request).await?;
        let run = RequestRun::new(
            Arc::clone(&self.context),
            fanout_request,
            request.key_range(),
        );
        let answer = query_answer(request, run.run().await);
        self.record_metrics(request, &answer);
        Ok(answer)
    }

    /// Refuses a request that crashes the upstreams that run it.
    fn check_crashes(&self, request: &FanoutRequest) -> Result<()> {
        let verdict = self.context.crashes.verdict(&request.fingerprint);
        if !verdict.is_blamed() {
            return Ok(());
        }
        counter!("anvilhub_blamed_refusals_total").increment(1);
        Err(RequestError::CrashesUpstreams {
            fingerprint: request.fingerprint,
        })
    }

    async fn admit(&self, request: &FanoutRequest) -> Result<AdmissionPermit> {
        let gate = &request.service.gate;
        let admission = gate.admit(request.urgency, request.deadline).await;
        admission.map_err(|refusal| {
            let service = request.service.spec.name.clone();
            counter!(
                "anvilhub_refusals_total",
                "service" => service.to_string(), "reason" => refusal.reason.to_string()
            )
            .increment(1);
            RequestError::NotAdmitted {
                service,
                reason: refusal.reason,
                wait_ms: refusal.estimated_wait.as_millis() as u64,
            }
        })
    }

    fn record_metrics(&self, request: &EntryRequest, answer: &QueryAnswer) {
        let service = request.query.service.to_string();
        let seconds = self
            .context
            .clock
            .now()
            .since(request.arrived_at)
            .as_secs_f64();
        let fraction = answer
            .coverage
            .as_ref()
            .map_or(0.0, |coverage| coverage.fraction);
        counter!(
            "anvilhub_requests_total",
            "service" => service.clone(), "outcome" => answer.outcome.to_string()
        )
        .increment(1);
        histogram!("anvilhub_request_duration_seconds", "service" => service.clone())
            .record(seconds);
        for missing in answer
            .coverage
            .iter()
            .flat_map(|coverage| &coverage.missing)
        {
            let reason = missing.reason.to_string();
            counter!("anvilhub_missing_ranges_total", "service" => service.clone(), "reason" => reason)
                .increment(1);
        }
        histogram!("anvilhub_coverage_ratio", "service" => service).record(fraction);
    }
}

fn fanout_request(request: &EntryRequest, service: &Arc<ServiceRoute>) -> FanoutRequest {
    let spec = &service.spec;
    FanoutRequest {
        request_id: request.query.request_id.clone(),
        fingerprint: fingerprint_query(&spec.name, request.query.key, &request.query.query),
        service: Arc::clone(service),
        urgency: request.urgency(spec),
        is_idempotent: request.is_idempotent(spec),
        key: request.query.key,
        query: request.query.query.clone(),
        deadline: answer_deadline(request.arrived_at, request.deadline),
    }
}

fn query_answer(request: &EntryRequest, gathered: GatheredRequest) -> QueryAnswer {
    let GatheredRequest { answer, is_not_run } = gathered;
    let is_empty = answer.coverage.fraction == 0.0;
    let outcome = match (is_empty, is_not_run) {
        (false, _) => QueryOutcome::Done,
        (true, true) => QueryOutcome::NotRun,
        (true, false) => QueryOutcome::Unknown,
    };
    QueryAnswer {
        request_id: request.query.request_id.clone(),
        outcome,
        rows: answer.rows,
        snapshot: answer.snapshot,
        error: is_empty.then(|| no_answer_error(&answer.coverage)),
        coverage: Some(coverage_entry(&answer.coverage)),
        ticket: None,
    }
}

fn no_answer_error(coverage: &CoverageReport) -> ErrorEntry {
    let reasons: Vec<_> = coverage.missing.iter().map(ToString::to_string).collect();
    ErrorEntry {
        code: "no_answer".to_owned(),
        message: format!("no shard answered: {}", reasons.join(", ")),
        remedy: "send the request again; if it fails again, look at `anvilhub explain`".to_owned(),
    }
}

fn coverage_entry(report: &CoverageReport) -> CoverageEntry {
    CoverageEntry {
        complete: report.is_complete,
        fraction: report.fraction,
        missing: report.missing.iter().map(Into::into).collect(),
    }
}
