mod attempts;
mod queries;

use std::time::Duration;

use anvilhub_coord::admission::{AdmissionRelease, AdmissionVerdict};
use anvilhub_coord::connection::ConnectionId;
use anvilhub_coord::routing::{
    AttemptKind, AttemptRule, AttemptState, AttemptVerdict, ReportedLoad, SlotDecision, SlotRelease,
};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;

use super::fake_instance::{DOMAIN_COUNT, domain_of_instance};
use super::fake_upstream::AttemptId;
use super::scenario::RUN_SECONDS;
use super::{
    Arrival, Coordination, EventQueue, FakeInstance, FakeUpstream, OwnerPlan, ReceiveOutcome,
    RunStats, Scenario, ServiceLoad, Variant, Workload,
};

/// Number of entry instances of a deployment.
const INSTANCE_COUNT: usize = 8;
/// Time after the intended arrival at which the caller disconnects.
const CALLER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an attempt without an answer times out. In variants other than the baseline, non-idempotent
/// attempts time out only at the query's deadline.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);
/// One-way latency between failure domains.
const REMOTE_LATENCY: Duration = Duration::from_micros(1_500);
/// One-way latency within a failure domain.
const LOCAL_LATENCY: Duration = Duration::from_micros(100);
/// Time until the instance list shows that an owner was removed.
const LIST_DELAY: Duration = Duration::from_secs(2);
/// Time between checks whether the owner of a waiting sub-request still responds, as in the daemon.
const BYPASS_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between updates of slots and admission limits.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between ejection decisions.
const EJECTION_INTERVAL: Duration = Duration::from_millis(100);
/// Time between load reports, and the age of a report when it arrives.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// What happens next in the simulation. Instances, upstreams, queries and shards are given by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A query reaches its instance.
    QueryArrived {
        query: usize,
    },
    /// A sub-request reaches the instance that handles it.
    SubRequestArrived {
        query: usize,
        shard: usize,
        handler: usize,
    },
    /// An attempt reaches its upstream.
    AttemptArrived(AttemptId),
    /// A cancellation reaches the upstream of its attempt.
    CancelArrived(AttemptId),
    /// The upstream has run an attempt to its end.
    RunFinished(AttemptId),
    /// An answer or a refusal reaches the handler.
    AnswerArrived {
        id: AttemptId,
        has_run: bool,
        /// Load that the upstream reports in the answer.
        load: u32,
    },
    /// The hedge delay of a first attempt is over.
    HedgeDue(AttemptId),
    AttemptTimedOut(AttemptId),
    /// An instance checks whether to bypass the owner of a sub-request.
    BypassCheckDue {
        query: usize,
        shard: usize,
        owner: usize,
    },
    /// A ping from `instance` reaches `owner`.
    PingArrived {
        instance: usize,
        owner: usize,
    },
    /// The answer to a ping reaches `instance`.
    PongArrived {
        instance: usize,
        owner: usize,
    },
    /// The result of a forwarded sub-request reaches the instance of its query.
    ResultReturned {
        query: usize,
        shard: usize,
        handler: usize,
        is_answered: bool,
    },
    DeadlineReached {
        query: usize,
    },
    /// Slots and admission limits are updated.
    UpdateDue,
    EjectionDue,
    ReportDue,
}

struct Query {
    arrival: Arrival,
    deadline: ClockTime,
    admitted_at: Option<ClockTime>,
    is_ended: bool,
    /// Sub-requests without a result.
    open_count: usize,
    /// Sub-requests that were answered.
    answered_count: usize,
    sub_requests: Vec<SubRequest>,
}

#[derive(Clone, Default)]
struct SubRequest {
    /// Whether it has a result, which may be a failure.
    is_resolved: bool,
    /// Whether the owner of the shard handles it instead of the query's instance.
    is_forwarded: bool,
    /// Number of attempts that an upstream has started to run.
    run_count: u32,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
struct Attempt {
    /// Index of the instance that sent it.
    handler: usize,
    upstream: usize,
    connection: ConnectionId,
    sent_at: ClockTime,
    state: AttemptState,
}

/// Runs one service under one variant in virtual time.
pub struct ServiceSimulation {
    service: ServiceLoad,
    scenario: Scenario,
    variant: Variant,
    caller_latency: Duration,
    workload: Workload,
    events: EventQueue<Event>,
    instances: Vec<FakeInstance>,
    /// Owners according to the list of all instances.
    initial_owners: OwnerPlan,
    /// Owners according to the list without the instances that fail during the scenario.
    final_owners: OwnerPlan,
    upstreams: Vec<FakeUpstream>,
    /// Failure domain of each upstream.
    domains: Vec<usize>,
    /// The load that each upstream reports next.
    next_reports: Vec<u32>,
    queries: Vec<Query>,
    stats: RunStats,
    now: ClockTime,
}

impl ServiceSimulation {
    /// Creates a simulation. Arrivals and service times depend only on the seed, the service and the scenario.
    pub fn new(
        service: ServiceLoad,
        caller_latency: Duration,
        scenario: Scenario,
        variant: Variant,
        seed: u64,
    ) -> Self {
        let variant = match service.repeatability {
            // Non-idempotent requests are sent directly by the owner of their ticket.
            RepeatPolicy::NonIdempotent if variant.coordination == Coordination::Owner => Variant {
                coordination: Coordination::Independent,
                ..variant
            },
            _ => variant,
        };
        let upstreams: Vec<FakeUpstream> = (0..service.shard_count * service.replica_count)
            .map(|upstream| {
                let domain = (upstream / service.replica_count + upstream % service.replica_count)
                    % DOMAIN_COUNT;
                FakeUpstream::new(domain, service.slots_per_replica, service.max_connections)
            })
            .collect();
        let initial_owners = OwnerPlan::new(&service, 0..INSTANCE_COUNT);
        let is_remaining =
            |instance: &usize| !scenario.is_domain_lost(domain_of_instance(*instance), RUN_SECONDS);
        Self {
            final_owners: OwnerPlan::new(&service, (0..INSTANCE_COUNT).filter(is_remaining)),
            service,
            scenario,
            variant,
            caller_latency,
            workload: Workload {
                service,
                scenario,
                seed,
            },
            events: EventQueue::new(),
            instances: (0..INSTANCE_COUNT)
                .map(|index| {
                    FakeInstance::new(
                        index,
                        INSTANCE_COUNT,
                        &service,
                        &initial_owners,
                        variant,
                        seed,
                    )
                })
                .collect(),
            initial_owners,
            domains: upstreams.iter().map(|upstream| upstream.domain).collect(),
            next_reports: vec![0; upstreams.len()],
            upstreams,
            queries: Vec::new(),
            stats: RunStats::default(),
            now: ClockTime::default(),
        }
    }

    /// Runs the simulation to its end and returns the statistics.
    pub fn run(mut self) -> RunStats {
        for (index, arrival) in self
            .workload
            .arrivals(INSTANCE_COUNT)
            .into_iter()
            .enumerate()
        {
            let arrives_at = arrival.time + self.caller_latency;
            self.events
                .push(arrives_at, Event::QueryArrived { query: index });
            self.queries.push(Query {
                arrival,
                deadline: arrival.time + (CALLER_TIMEOUT - self.caller_latency),
                admitted_at: None,
                is_ended: false,
                open_count: self.service.shard_count,
                answered_count: 0,
                sub_requests: Vec::new(),
            });
        }
        for event in [Event::UpdateDue, Event::EjectionDue, Event::ReportDue] {
            self.events.push(ClockTime(0), event);
        }
        while let Some((time, event)) = self.events.pop() {
            self.now = time;
            self.handle_event(event);
        }
        self.record_unanswered();
        self.stats
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::QueryArrived { query } => self.receive_query(query),
            Event::SubRequestArrived {
                query,
                shard,
                handler,
            } => self.handle_sub_request(query, shard, handler),
            Event::AttemptArrived(id) => self.receive_at_upstream(id),
            Event::CancelArrived(id) => self.cancel_at_upstream(id),
            Event::RunFinished(id) => self.finish_at_upstream(id),
            Event::AnswerArrived { id, has_run, load } => self.receive_answer(id, has_run, load),
            Event::HedgeDue(id) => self.try_hedge(id),
            Event::AttemptTimedOut(id) => self.time_out_attempt(id),
            Event::BypassCheckDue {
                query,
                shard,
                owner,
            } => self.check_bypass(query, shard, owner),
            Event::PingArrived { instance, owner } => self.answer_ping(instance, owner),
            Event::PongArrived { instance, owner } => {
                self.instances[instance].owner_health[owner].record_message(self.now, false)
            }
            Event::ResultReturned {
                query,
                shard,
                handler,
                is_answered,
            } => self.resolve_sub_request(query, shard, handler, is_answered),
            Event::DeadlineReached { query } => self.end_query(query),
            Event::UpdateDue => self.update_slots(),
            Event::EjectionDue => self.eject_slow_upstreams(),
            Event::ReportDue => self.report_loads(),
        }
    }

    /// Returns whether the machines of `domain` have failed by now.
    fn is_domain_lost(&self, domain: usize) -> bool {
        self.scenario
            .is_domain_lost(domain, self.now.0 as f64 / 1e6)
    }

    fn is_lost_instance(&self, instance: usize) -> bool {
        self.is_domain_lost(self.instances[instance].domain)
    }

    /// Returns the one-way latency between an instance and a failure domain.
    fn network_latency(&self, instance: usize, domain: usize) -> Duration {
        match self.instances[instance].domain == domain {
            true => LOCAL_LATENCY,
            false => REMOTE_LATENCY,
        }
    }

    fn attempt_mut(&mut self, (query, shard, number): AttemptId) -> &mut Attempt {
        &mut self.queries[query].sub_requests[shard].attempts[number]
    }

    /// Updates admission limits and slots of every instance.
    fn update_slots(&mut self) {
        for instance in 0..INSTANCE_COUNT {
            if self.variant.is_baseline || self.is_lost_instance(instance) {
                continue;
            }
            let release = self.instances[instance].gate.advance(self.now);
            self.apply_admission_release(release);
            for shard in 0..self.service.shard_count {
                let slots = self.instances[instance].usable_slots(self.now, shard);
                let release = self.instances[instance].queues[shard].set_slots(self.now, slots);
                self.apply_slot_release(instance, shard, release);
            }
        }
        self.schedule_next(UPDATE_INTERVAL, Event::UpdateDue);
    }

    /// Lets owners take over their shards and every instance eject slow upstreams.
    fn eject_slow_upstreams(&mut self) {
        for instance in 0..INSTANCE_COUNT {
            let shards: Vec<usize> = (0..self.service.shard_count)
                .filter(|&shard| {
                    self.variant.coordination != Coordination::Owner
                        || self.owner_index(shard) == instance
                })
                .collect();
            if self.variant.coordination == Coordination::Owner {
                for &shard in &shards {
                    self.instances[instance].take_over_shard(
                        shard,
                        &self.service,
                        instance,
                        INSTANCE_COUNT,
                    );
                }
            }
            self.instances[instance].eject_slow_upstreams(self.now, &shards);
        }
        self.schedule_next(EJECTION_INTERVAL, Event::EjectionDue);
    }

    /// Delivers the pending load report of every upstream to all instances and records the next one.
    fn report_loads(&mut self) {
        for upstream in 0..self.upstreams.len() {
            let report = ReportedLoad {
                in_flight: self.next_reports[upstream],
                age: REPORT_INTERVAL,
                is_draining: false,
            };
            for instance in &mut self.instances {
                instance.views[upstream].record_report(self.now, report);
            }
            self.next_reports[upstream] = self.reported_load(upstream);
        }
        self.schedule_next(REPORT_INTERVAL, Event::ReportDue);
    }

    /// Schedules a periodic event again, until one second after the end of the run.
    fn schedule_next(&mut self, period: Duration, event: Event) {
        if (self.now.0 as f64) < (RUN_SECONDS + 1.0) * 1e6 {
            self.events.push(self.now + period, event);
        }
    }

    /// Records the queries of failed instances as unanswered: no event ends them, and their callers time out.
    fn record_unanswered(&mut self) {
        let unanswered: Vec<Arrival> = self
            .queries
            .iter()
            .filter(|query| !query.is_ended)
            .map(|query| query.arrival)
            .collect();
        for arrival in unanswered {
            self.stats
                .record_query(&arrival, CALLER_TIMEOUT, 0.0, CALLER_TIMEOUT);
        }
    }
}
