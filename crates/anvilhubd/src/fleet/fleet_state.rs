use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anvilhub_coord::fleet::{
    ContactEstimate, DomainShares, FeedOutcome, FeedRole, FeedUpdate, FleetTable, MemberGossip,
    MemberInfo, ReaderRule, RelayRule, SettlingRule,
};
use anvilhub_coord::ids::{Incarnation, InstanceId, PlatformPlace};
use anvilhub_coord::limit::{SendPermit, UpstreamProcess};
use anvilhub_coord::time::ClockTime;
use jsonrpsee::core::client::Client;
use log::{info, warn};
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::crash_state::CrashState;
use crate::daemon_clock::DaemonClock;
use crate::gateway::GatewaySettings;
use crate::peer::{PeerClients, PeerError};
use crate::routes::LockCell;

use super::{
    FeedState, FleetApiClient, FleetSettings, FollowAnswer, FollowCall, LimitState, ReaderUpdate,
    WarmupState,
};

/// What this instance knows about the other members and the platform's values. Shared by the threads and calls that
/// update it.
pub(crate) struct FleetState {
    pub(crate) settings: FleetSettings,
    /// Connections to other instances.
    pub(crate) clients: PeerClients,
    clock: DaemonClock,
    /// The members of the fleet, including this instance.
    table: LockCell<FleetTable>,
    feed: LockCell<FeedState>,
    /// Time of the platform's last answer, in microseconds since the start of `clock`; 0 before the first one.
    last_platform_answer_us: AtomicU64,
    is_platform_unreachable: AtomicBool,
    /// The limits that upstreams name.
    pub(crate) limits: LimitState,
    /// The upstreams that are cold.
    pub(crate) warmups: WarmupState,
    /// The requests that upstreams crashed under.
    pub(crate) crashes: CrashState,
    /// Whether a running instance told this one which members it knows.
    has_joined: AtomicBool,
    /// Wakes the calls of followers that wait for an update.
    state_changed: Notify,
}

impl FleetState {
    pub(crate) fn new(settings: &GatewaySettings, clock: DaemonClock) -> Arc<Self> {
        let fleet = settings.fleet.clone();
        let own_info = MemberInfo {
            instance: settings.instance.clone(),
            incarnation: Incarnation(rand::random()),
            failure_domain: settings.failure_domain.clone(),
            cores: fleet.cores,
            peer_address: fleet.peer_address,
            relay_address: fleet.relay_address,
            is_leaving: false,
            is_cut_off: false,
        };
        Arc::new(Self {
            clients: PeerClients::new(fleet.call_timeout),
            feed: LockCell::new(FeedState::new(&fleet)),
            settings: fleet,
            clock,
            table: LockCell::new(FleetTable::new(own_info)),
            last_platform_answer_us: AtomicU64::new(0),
            is_platform_unreachable: AtomicBool::new(false),
            limits: LimitState::new(clock, settings.instance.clone()),
            warmups: WarmupState::new(clock, settings.instance.clone(), settings.warmup_bound),
            crashes: CrashState::new(clock),
            has_joined: AtomicBool::new(false),
            state_changed: Notify::new(),
        })
    }

    /// Returns the present time of this instance's clock.
    pub(super) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Returns the record of this instance.
    pub(crate) fn own_info(&self) -> MemberInfo {
        self.table.with(|table| table.own_info().clone())
    }

    /// Announces to the other instances that this one is about to stop.
    pub(crate) fn announce_leaving(&self) {
        self.table.with(FleetTable::mark_own_leaving);
        self.state_changed.notify_waiters();
    }

    /// Announces to the other instances whether this one reaches the upstreams.
    pub(crate) fn set_own_cut_off(&self, is_cut_off: bool) {
        self.table.with(|table| table.set_own_cut_off(is_cut_off));
    }

    /// Records member information that another instance passed on.
    pub(crate) fn record_gossip(&self, members: Vec<MemberGossip>) {
        let now = self.clock.now();
        self.table.with(|table| {
            for gossip in members {
                table.record_gossip(now, gossip);
            }
        });
    }

    /// Records what a member sent about itself.
    pub(crate) fn record_contact(&self, info: MemberInfo) {
        let now = self.clock.now();
        self.table.with(|table| table.record_contact(now, info));
    }

    /// Records that an instance did not answer, and logs the reason unless the instance is a suspect already.
    pub(crate) fn mark_suspect(&self, instance: &InstanceId, reason: &dyn std::fmt::Display) {
        let now = self.clock.now();
        metrics::counter!("anvilhub_peer_failures_total").increment(1);
        if self.table.with(|table| table.mark_suspect(now, instance)) {
            warn!(peer:% = instance; "dependency lost: {reason}");
        }
    }

    /// Returns the member information to send to another instance.
    pub(crate) fn collect_gossip(&self) -> Vec<MemberGossip> {
        let now = self.clock.now();
        self.table.with(|table| table.collect_gossip(now))
    }

    /// Returns whether this instance has the platform's values and considers the platform reachable.
    pub(crate) fn is_feed_current(&self) -> bool {
        self.place().is_some() && !self.is_platform_unreachable()
    }

    /// Chooses whether this instance reads the platform or follows another one.
    pub(crate) fn choose_role(&self) -> FeedRole {
        let now = self.clock.now();
        let random = |count| rand::rng().random_range(0..count);
        self.table
            .with(|table| ReaderRule::default().choose_role(table, now, random))
    }

    /// Returns whether this instance reads the platform itself now, whichever instance it would follow.
    pub(super) fn is_own_read_due(&self) -> bool {
        self.time_until_own_read().is_zero()
    }

    /// Returns the time until this instance reads the platform itself unless a reader confirms its values before.
    pub(super) fn time_until_own_read(&self) -> Duration {
        let (now, last_contact) = (self.clock.now(), self.last_platform_answer());
        self.feed
            .with(|feed| feed.own_reads.time_until_due(now, last_contact))
    }

    /// Returns whether the platform has answered recently, as far as this instance can prove it.
    pub(super) fn is_platform_confirmed(&self) -> bool {
        !self.is_platform_unreachable() && self.platform_age() < self.settings.stale_after
    }

    /// Chooses a reader of another failure domain to exchange member information with; `None` if none is known.
    pub(crate) fn choose_remote_reader(&self) -> Option<MemberInfo> {
        let now = self.clock.now();
        self.table.with(|table| {
            let readers = ReaderRule::default().remote_readers(table, now);
            let index = rand::rng().random_range(0..readers.len().max(1));
            readers.get(index).map(|reader| (*reader).clone())
        })
    }

    /// Returns the readers of the other failure domains.
    pub(super) fn remote_readers(&self) -> Vec<MemberInfo> {
        let now = self.clock.now();
        self.table.with(|table| {
            let readers = ReaderRule::default().remote_readers(table, now);
            readers.into_iter().cloned().collect()
        })
    }

    /// Wakes the calls of followers that wait for news.
    pub(super) fn wake_followers(&self) {
        self.state_changed.notify_waiters();
    }

    /// Records that a running instance told this one which members it knows.
    pub(super) fn record_join(&self) {
        self.has_joined.store(true, Ordering::Release);
    }

    /// Returns whether this instance has had the time to hear of the larger members of its fleet.
    pub(crate) fn is_settled(&self) -> bool {
        let has_seeds = self.has_other_seeds();
        let since_start = self.clock.now().since(ClockTime::default());
        SettlingRule::default().is_settled(
            has_seeds,
            self.has_joined.load(Ordering::Acquire),
            since_start,
        )
    }

    /// Returns whether this instance is to find others.
    fn has_other_seeds(&self) -> bool {
        let own_address = self.settings.peer_address;
        self.settings.seeds.iter().any(|seed| *seed != own_address)
    }

    /// Returns whether another instance for which `is_allowed` returns true can gather the answers to requests with this
    /// many sub-requests.
    pub(crate) fn has_relay(
        &self,
        sub_request_count: usize,
        is_allowed: impl Fn(&MemberInfo) -> bool,
    ) -> bool {
        self.choose_relay(sub_request_count, &DomainShares::default(), is_allowed)
            .is_some()
    }

    /// Chooses the instance that gathers the answer to a request with this many sub-requests; `None` if this instance
    /// does so itself. `shares` states where the upstreams of its shards are. Only members for which `is_allowed` returns
    /// true are chosen.
    pub(crate) fn choose_relay(
        &self,
        sub_request_count: usize,
        shares: &DomainShares,
        is_allowed: impl Fn(&MemberInfo) -> bool,
    ) -> Option<MemberInfo> {
        let rule = RelayRule::default();
        if !rule.is_worthwhile(sub_request_count) {
            return None;
        }
        let now = self.clock.now();
        self.table.with(|table| {
            let candidates = table
                .relay_candidates(now)
                .filter(|member| is_allowed(member));
            rule.choose(table.own_info(), candidates, shares, rand::random())
                .cloned()
        })
    }

    /// Chooses the instance through which this one serves a request while it reaches no upstream. Only members for which
    /// `is_allowed` returns true are chosen.
    pub(crate) fn choose_helper(
        &self,
        is_allowed: impl Fn(&MemberInfo) -> bool,
    ) -> Option<MemberInfo> {
        let now = self.clock.now();
        self.table.with(|table| {
            let members = table
                .usable_members(now)
                .filter(|member| is_allowed(member));
            RelayRule::default()
                .choose_helper(members, rand::random())
                .cloned()
        })
    }

    /// Returns whether a request may be sent to an upstream under the limit that it names and that of its warm-up. An
    /// instance that does not know the others yet has no share of limits.
    pub(crate) fn send_permit(&self, now: ClockTime, process: &UpstreamProcess) -> SendPermit {
        let limit_permit = self
            .limits
            .permit(now, process, || match self.is_settled() {
                true => self
                    .table
                    .with(|table| table.limit_sharers(now).into_iter().cloned().collect()),
                false => Vec::new(),
            });
        let list_sharers = || self.cold_sharers(now);
        limit_permit.and(self.warmups.permit(now, process, list_sharers))
    }

    /// Records that a request is sent now, unless the upstream is cold and has no room for it; returns whether it may be
    /// sent.
    pub(crate) fn try_send(&self, now: ClockTime, process: &UpstreamProcess) -> bool {
        let list_sharers = || self.cold_sharers(now);
        self.warmups.try_send(now, process, list_sharers)
    }

    /// Returns the instances that share the limits of cold upstreams.
    fn cold_sharers(&self, now: ClockTime) -> Vec<InstanceId> {
        let is_lone = !self.has_other_seeds();
        self.table.with(|table| {
            let sharers = table.cold_sharers(now, is_lone);
            sharers.into_iter().cloned().collect()
        })
    }

    /// Returns the place in the platform's history up to which this instance has all changes; `None` before the first
    /// read.
    pub(crate) fn place(&self) -> Option<PlatformPlace> {
        self.feed.with(|feed| feed.log.place())
    }

    /// Returns the number of the platform's values that this instance has.
    pub(super) fn value_count(&self) -> usize {
        self.feed.with(|feed| feed.log.value_count())
    }

    /// Records that this instance failed to read the platform.
    pub(crate) fn record_read_failure(&self) {
        let now = self.clock.now();
        self.table
            .with(|table| table.mark_own_platform_unreachable(now));
        self.feed.with(|feed| feed.record_read_failure(now));
        self.set_platform_unreachable(true);
        self.state_changed.notify_waiters();
    }

    /// Checks that the instance at `address` still runs.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer within `timeout`.
    pub(crate) async fn ping(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(), PeerError> {
        let ping = |client: Arc<Client>| async move { client.ping().await };
        self.clients.call(address, timeout, ping).await
    }

    /// Records an answer of the platform, and returns what it changes. An answer that cannot be applied does not make the
    /// known values any younger.
    pub(crate) fn record_platform_update(&self, update: FeedUpdate) -> FeedOutcome {
        let now = self.clock.now();
        let is_unchanged = self.is_feed_current() && update.records.is_empty();
        let outcome = self.feed.with(|feed| feed.apply_own_read(now, update));
        if matches!(outcome, FeedOutcome::Applied { .. }) {
            self.last_platform_answer_us.store(now.0, Ordering::Release);
            self.set_platform_unreachable(false);
        }
        if !is_unchanged {
            self.state_changed.notify_waiters();
        }
        outcome
    }

    /// Records the answer of the reader that this instance follows to a call sent at `sent_at`, and returns what it
    /// changes.
    pub(super) fn record_reader_answer(
        &self,
        sent_at: ClockTime,
        answer: FollowAnswer,
    ) -> ReaderUpdate {
        let now = self.clock.now();
        let contact = answer.platform_age_ms.map(|age_ms| {
            let estimate = ContactEstimate {
                sent_at,
                received_at: now,
                held: Duration::from_millis(answer.held_ms),
                age: Duration::from_millis(age_ms),
            };
            estimate.earliest_contact()
        });
        let age = contact.map(|contact| now.since(contact));
        self.limits.record_notes(&answer.limits);
        self.crashes.record_notes(&answer.crashes);
        let is_fresh = age.is_some_and(|age| age < self.settings.stale_after);
        let known_era = self.place().map(|place| place.era);
        let is_behind = answer.era.is_some_and(|era| Some(era) < known_era);
        let is_reader_current = !answer.is_platform_unreachable && is_fresh && !is_behind;
        // A reader that cannot reach a platform that this instance has just read is cut off from it.
        let is_cut_off =
            !is_reader_current && self.feed.with(|feed| feed.own_reads.outweigh_others(now));
        let last_outage = answer
            .outage_age_ms
            .filter(|_| !is_cut_off)
            .map(|age| now - Duration::from_millis(age));
        self.table.with(|table| {
            if !is_reader_current {
                table.mark_platform_unreachable(now, &answer.sender.instance);
            }
            table.record_contact(now, answer.sender);
            for gossip in answer.members {
                table.record_gossip(now, gossip);
            }
        });
        let outcome = self.feed.with(|feed| {
            feed.last_outage = feed.last_outage.max(last_outage);
            answer.update.map(|update| feed.apply(update))
        });
        if let Some(contact) = contact.filter(|_| !is_behind) {
            self.last_platform_answer_us
                .fetch_max(contact.0, Ordering::AcqRel);
        }
        let is_unreachable = !is_reader_current && !is_cut_off;
        self.set_platform_unreachable(is_unreachable);
        self.state_changed.notify_waiters();
        let last_outage = if is_unreachable {
            Some(now)
        } else {
            last_outage
        };
        ReaderUpdate {
            is_current: is_reader_current,
            outcome,
            outage_age: last_outage.map(|outage| now.since(outage)),
        }
    }

    /// Returns whether this instance considers the platform unreachable: the last read, by this instance or by the
    /// reader that it follows, failed, or the platform's last answer is too old.
    pub(crate) fn is_platform_unreachable(&self) -> bool {
        self.is_platform_unreachable.load(Ordering::Acquire)
    }

    /// Returns the time since the platform's last answer: the age of the configuration and of the list of upstreams.
    pub(crate) fn platform_age(&self) -> Duration {
        self.clock
            .now()
            .since(self.last_platform_answer().unwrap_or_default())
    }

    /// Returns the time of the platform's last answer; `None` before the first one.
    fn last_platform_answer(&self) -> Option<ClockTime> {
        let micros = self.last_platform_answer_us.load(Ordering::Acquire);
        (micros > 0).then_some(ClockTime(micros))
    }

    /// Sets whether the platform counts as unreachable; logs a change and updates the metric.
    fn set_platform_unreachable(&self, is_unreachable: bool) {
        let was_unreachable = self
            .is_platform_unreachable
            .swap(is_unreachable, Ordering::AcqRel);
        if was_unreachable == is_unreachable {
            return;
        }
        metrics::gauge!("anvilhub_platform_reached").set(f64::from(u8::from(!is_unreachable)));
        match is_unreachable {
            true => warn!(dependency = "platform"; "dependency lost"),
            false => info!(dependency = "platform"; "dependency regained"),
        }
    }

    /// Answers a follower as soon as there is something that the follower does not know, at the latest after `wait`.
    pub(crate) async fn answer_follower(&self, call: &FollowCall, wait: Duration) -> FollowAnswer {
        let received_at = Instant::now();
        let end = received_at + wait;
        let urgent_count = self.crashes.urgent_count();
        loop {
            let changed = self.state_changed.notified();
            let answer = self.build_answer(call, received_at);
            let has_nothing_new = answer.update.is_none()
                && self.crashes.urgent_count() == urgent_count
                && answer.is_platform_unreachable == call.is_platform_unreachable
                && !answer.sender.is_leaving;
            if !has_nothing_new {
                return answer;
            }
            if timeout_at(end, changed).await.is_err() {
                // Built again, since the ages in the answer have grown during the wait.
                return self.build_answer(call, received_at);
            }
        }
    }

    /// Builds the answer to a follower from what this instance knows now. `received_at` is when its call arrived.
    fn build_answer(&self, call: &FollowCall, received_at: Instant) -> FollowAnswer {
        let now = self.clock.now();
        let age_ms = |time: Option<ClockTime>| {
            time.map(|time| u64::try_from(now.since(time).as_millis()).unwrap_or(u64::MAX))
        };
        let members = match call.wants_members {
            true => self.collect_gossip(),
            false => Vec::new(),
        };
        let sender = self.own_info();
        let limits = self.limits.collect_notes();
        let crashes = self.crashes.collect_notes();
        self.feed.with(|feed| FollowAnswer {
            sender,
            limits,
            crashes,
            update: feed
                .log
                .changes_for(call.place(feed.log.place()), call.value_count),
            era: feed.log.place().map(|place| place.era),
            held_ms: u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            platform_age_ms: age_ms(self.last_platform_answer()),
            is_platform_unreachable: self.is_platform_unreachable(),
            outage_age_ms: age_ms(feed.last_outage),
            members,
        })
    }

    /// Updates the metrics of the other members and of this instance's role, and logs the role if it has changed.
    pub(super) fn record_role(&self, previous: Option<&FeedRole>, role: &FeedRole) {
        let now = self.clock.now();
        let peer_count = self.table.with(|table| table.usable_members(now).count());
        metrics::gauge!("anvilhub_known_peers").set(peer_count as f64);
        let is_reader = f64::from(u8::from(*role == FeedRole::Reader));
        metrics::gauge!("anvilhub_reads_platform").set(is_reader);
        let platform_age_ms = self.platform_age().as_millis() as u64;
        let platform_reached = !self.is_platform_unreachable();
        match (previous, role) {
            (Some(FeedRole::Reader), FeedRole::Reader) => {}
            (_, FeedRole::Reader) => info!(
                platform_age_ms, platform_reached;
                "this instance reads the platform"
            ),
            (Some(FeedRole::Follower(known)), FeedRole::Follower(reader))
                if known.instance == reader.instance => {}
            (_, FeedRole::Follower(reader)) => info!(
                peer:% = reader.instance, platform_age_ms, platform_reached;
                "this instance follows a reader of the platform"
            ),
        }
    }
}
