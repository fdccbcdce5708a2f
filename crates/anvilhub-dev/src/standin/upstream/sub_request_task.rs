use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{RefusalReason, SubAnswer, SubRefusal, SubRequest};
use anvilhub_coord::ids::SnapshotId;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use super::replica_server::ReplicaServer;
use super::replica_state::AdmittedRequest;
use super::{FaultKind, InjectedFault};

/// Runs one sub-request. It continues if the connection closes.
pub(crate) struct SubRequestTask {
    server: Arc<ReplicaServer>,
    request: SubRequest,
    /// Number of kills of the replica before the task was created. A further kill ends the task.
    kill_count: u64,
}

/// How a sub-request ended.
pub(crate) enum TaskOutcome {
    /// The sub-request ran. The fault, if there is one, has to be injected into its answer.
    Answered(SubAnswer, Option<InjectedFault>),
    /// The sub-request did not run.
    Refused(SubRefusal),
    /// The replica was killed or dropped the request.
    Lost,
}

impl SubRequestTask {
    pub(crate) fn new(server: Arc<ReplicaServer>, request: SubRequest) -> Self {
        let kill_count = server.lifecycle().kill_count;
        Self {
            server,
            request,
            kill_count,
        }
    }

    /// Admits or refuses the sub-request, waits for a slot and runs it.
    pub(crate) async fn run(self) -> TaskOutcome {
        let received_at = Instant::now();
        let admitted = {
            let mut state = self.server.state();
            state.counts.received += 1;
            let is_drop = |kind| kind == FaultKind::DropBefore;
            if state.take_fault_if(is_drop).is_some() {
                return TaskOutcome::Lost;
            }
            match state.admit(&self.request, received_at) {
                Ok(admitted) => admitted,
                Err(reason) => {
                    let refusal = state.record_refusal(&self.request.request_id, reason);
                    return TaskOutcome::Refused(refusal);
                }
            }
        };
        let deadline = received_at + Duration::from_millis(self.request.deadline_ms);
        let cancel_signal = Arc::clone(&admitted.cancel_signal);
        let outcome = self.wait_and_execute(admitted, deadline).await;
        self.server
            .state()
            .remove_cancel_signal(&self.request.request_id, &cancel_signal);
        outcome
    }

    async fn wait_and_execute(&self, admitted: AdmittedRequest, deadline: Instant) -> TaskOutcome {
        let AdmittedRequest {
            snapshot,
            cancel_signal,
            slot_grant,
        } = admitted;
        if let Some(slot_grant) = slot_grant
            && let Err(outcome) = self
                .wait_for_slot(slot_grant, &cancel_signal, deadline)
                .await
        {
            return outcome;
        }
        let outcome = self.execute(snapshot, &cancel_signal).await;
        self.server.state().release_slot();
        outcome
    }

    /// Waits until the slot is granted.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the replica is killed, the sub-request is cancelled or its deadline passes first.
    async fn wait_for_slot(
        &self,
        mut slot_grant: oneshot::Receiver<()>,
        cancel_signal: &Notify,
        deadline: Instant,
    ) -> Result<(), TaskOutcome> {
        let reason = tokio::select! {
            biased;
            () = self.server.wait_until_killed(self.kill_count) => None,
            () = cancel_signal.notified() => Some(RefusalReason::Shed),
            () = sleep_until(deadline) => Some(RefusalReason::Deadline),
            _ = &mut slot_grant => {
                self.server.state().leave_queue();
                return Ok(());
            }
        };
        // The slot may have been granted at the same time; in that case it is released.
        slot_grant.close();
        let has_slot = slot_grant.try_recv().is_ok();
        let mut state = self.server.state();
        state.leave_queue();
        if has_slot {
            state.release_slot();
        }
        match reason {
            Some(reason) => Err(TaskOutcome::Refused(
                state.record_refusal(&self.request.request_id, reason),
            )),
            None => Err(TaskOutcome::Lost),
        }
    }

    async fn execute(&self, snapshot: SnapshotId, cancel_signal: &Notify) -> TaskOutcome {
        let service_time = {
            let mut state = self.server.state();
            let settings = state.settings.clone();
            state.sampler.draw_service_time(&settings)
        };
        tokio::select! {
            biased;
            () = self.server.wait_until_killed(self.kill_count) => return TaskOutcome::Lost,
            () = cancel_signal.notified() => {
                let mut state = self.server.state();
                let refusal = state.record_refusal(&self.request.request_id, RefusalReason::Shed);
                return TaskOutcome::Refused(refusal);
            }
            () = self.wait_service_time(service_time) => {}
        }
        let mut state = self.server.state();
        state.record_execution(self.server.id(), &self.request);
        let answer = state.build_answer(&self.request, snapshot);
        let fault = state.take_fault_if(|kind| kind != FaultKind::DropBefore);
        TaskOutcome::Answered(answer, fault)
    }

    /// Waits for the service time to pass, and until the replica is not frozen.
    async fn wait_service_time(&self, service_time: Duration) {
        sleep(service_time).await;
        self.server.wait_until_thawed().await;
    }
}
