use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::border::upstream::{RefusalReason, SubAnswer, SubRefusal, SubRequest};
use anvilhub_coord::ids::SnapshotId;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use super::replica_server::ReplicaServer;
use super::replica_state::AdmittedWork;
use super::{AnswerFault, FaultKind};

/// The work on one sub-request. It continues when its connection closes.
pub(crate) struct WorkRun {
    server: Arc<ReplicaServer>,
    request: SubRequest,
    /// Kills of the replica before the work began; a further one ends it.
    kills: u64,
}

/// How the work ended.
pub(crate) enum WorkEnd {
    Answered(SubAnswer, Option<AnswerFault>),
    Refused(SubRefusal),
    /// The replica was killed, or dropped the request.
    Lost,
}

impl WorkRun {
    pub(crate) fn new(server: Arc<ReplicaServer>, request: SubRequest) -> Self {
        let kills = server.life().kills;
        Self {
            server,
            request,
            kills,
        }
    }

    pub(crate) async fn run(self) -> WorkEnd {
        let arrived = Instant::now();
        let admitted = {
            let mut state = self.server.state();
            state.counts.received += 1;
            let drops = |kind| kind == FaultKind::DropBefore;
            if state.take_fault(drops).is_some() {
                return WorkEnd::Lost;
            }
            match state.admit(&self.request, arrived) {
                Ok(admitted) => admitted,
                Err(reason) => {
                    let refusal = state.refuse(&self.request.request_id, reason);
                    return WorkEnd::Refused(refusal);
                }
            }
        };
        let deadline = arrived + Duration::from_millis(self.request.deadline_ms);
        let cancel = Arc::clone(&admitted.cancel);
        let end = self.wait_and_work(admitted, deadline).await;
        self.server
            .state()
            .forget(&self.request.request_id, &cancel);
        end
    }

    async fn wait_and_work(&self, admitted: AdmittedWork, deadline: Instant) -> WorkEnd {
        let AdmittedWork {
            snapshot,
            cancel,
            wait,
        } = admitted;
        if let Some(wait) = wait
            && let Err(end) = self.wait_for_slot(wait, &cancel, deadline).await
        {
            return end;
        }
        let end = self.work(snapshot, &cancel).await;
        self.server.state().free_slot();
        end
    }

    async fn wait_for_slot(
        &self,
        mut wait: oneshot::Receiver<()>,
        cancel: &Notify,
        deadline: Instant,
    ) -> Result<(), WorkEnd> {
        let reason = tokio::select! {
            biased;
            () = self.server.killed(self.kills) => None,
            () = cancel.notified() => Some(RefusalReason::Shed),
            () = sleep_until(deadline) => Some(RefusalReason::Deadline),
            _ = &mut wait => {
                self.server.state().leave_queue();
                return Ok(());
            }
        };
        wait.close();
        let has_slot = wait.try_recv().is_ok();
        let mut state = self.server.state();
        state.leave_queue();
        if has_slot {
            state.free_slot();
        }
        match reason {
            Some(reason) => Err(WorkEnd::Refused(
                state.refuse(&self.request.request_id, reason),
            )),
            None => Err(WorkEnd::Lost),
        }
    }

    async fn work(&self, snapshot: SnapshotId, cancel: &Notify) -> WorkEnd {
        let time = {
            let mut state = self.server.state();
            let settings = state.settings.clone();
            state.times.draw(&settings)
        };
        tokio::select! {
            biased;
            () = self.server.killed(self.kills) => return WorkEnd::Lost,
            () = cancel.notified() => {
                let mut state = self.server.state();
                let refusal = state.refuse(&self.request.request_id, RefusalReason::Shed);
                return WorkEnd::Refused(refusal);
            }
            () = self.work_time(time) => {}
        }
        let mut state = self.server.state();
        state.record_run(self.server.id(), &self.request);
        let answer = state.answer(&self.request, snapshot);
        let fault = state.take_fault(|kind| kind != FaultKind::DropBefore);
        WorkEnd::Answered(answer, fault)
    }

    /// Passes the service time; a frozen replica finishes nothing.
    async fn work_time(&self, time: Duration) {
        sleep(time).await;
        self.server.thawed().await;
    }
}
