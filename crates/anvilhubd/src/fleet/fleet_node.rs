use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anvilhub_coord::fleet::{
    FeedLog, FeedNews, FeedRole, FleetTable, HeardNote, MemberNote, ReaderRule, RelayRule,
};
use anvilhub_coord::ids::{Incarnation, InstanceId, PlatformRevision};
use anvilhub_coord::time::ClockTime;
use jsonrpsee::core::client::Client;
use log::{info, warn};
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::DaemonClock;
use crate::gateway::GatewaySettings;
use crate::peer::{PeerClients, PeerError};
use crate::routes::LockCell;

use super::{FleetApiClient, FleetSettings, FollowAnswer, FollowCall};

/// What this instance knows of the others and of the platform's values.
pub(crate) struct FleetNode {
    pub(crate) settings: FleetSettings,
    pub(crate) clients: PeerClients,
    clock: DaemonClock,
    table: LockCell<FleetTable>,
    feed: LockCell<NodeFeed>,
    /// When the platform answered last, in microseconds of the clock; 0 before its first answer.
    reached: AtomicU64,
    is_platform_lost: AtomicBool,
    /// Wakes followers that wait for news.
    changed: Notify,
}

/// The platform's values, and when the platform was last found to be away.
#[derive(Debug, Default)]
struct NodeFeed {
    log: FeedLog,
    away: Option<ClockTime>,
}

impl FleetNode {
    pub(crate) fn new(settings: &GatewaySettings, clock: DaemonClock) -> Arc<Self> {
        let fleet = settings.fleet.clone();
        let own = MemberNote {
            instance: settings.instance.clone(),
            incarnation: Incarnation(rand::random()),
            failure_domain: settings.failure_domain.clone(),
            cores: fleet.cores,
            peer_address: fleet.peer_address,
            relay_address: fleet.relay_address,
            is_leaving: false,
        };
        Arc::new(Self {
            clients: PeerClients::new(fleet.call_patience),
            settings: fleet,
            clock,
            table: LockCell::new(FleetTable::new(own)),
            feed: LockCell::default(),
            reached: AtomicU64::new(0),
            is_platform_lost: AtomicBool::new(false),
            changed: Notify::new(),
        })
    }

    pub(crate) fn own(&self) -> MemberNote {
        self.table.with(|table| table.own().clone())
    }

    /// Tells other instances that this one ends soon.
    pub(crate) fn leave(&self) {
        self.table.with(FleetTable::leave);
        self.changed.notify_waiters();
    }

    pub(crate) fn hear(&self, notes: Vec<HeardNote>) {
        let now = self.clock.now();
        self.table.with(|table| {
            for note in notes {
                table.hear(now, note);
            }
        });
    }

    pub(crate) fn hear_member(&self, note: MemberNote) {
        let now = self.clock.now();
        self.table.with(|table| table.hear_member(now, note));
    }

    /// Notes that an instance did not answer.
    pub(crate) fn doubt(&self, instance: &InstanceId, reason: &dyn std::fmt::Display) {
        let now = self.clock.now();
        metrics::counter!("anvilhub_peer_failures_total").increment(1);
        if self.table.with(|table| table.doubt(now, instance)) {
            warn!(peer:% = instance; "dependency lost: {reason}");
        }
    }

    pub(crate) fn notes(&self) -> Vec<HeardNote> {
        let now = self.clock.now();
        self.table.with(|table| table.notes(now))
    }

    pub(crate) fn has_news(&self) -> bool {
        self.as_of().is_some() && !self.is_platform_lost()
    }

    /// Whether this instance reads the platform or asks another one.
    pub(crate) fn role(&self) -> FeedRole {
        let now = self.clock.now();
        let random = |count| rand::rng().random_range(0..count);
        self.table
            .with(|table| ReaderRule::default().role(table, now, random))
    }

    /// An instance of another failure domain to exchange notes with.
    pub(crate) fn far_reader(&self) -> Option<MemberNote> {
        let now = self.clock.now();
        self.table.with(|table| {
            let readers = ReaderRule::default().far_readers(table, now);
            let index = rand::rng().random_range(0..readers.len().max(1));
            readers.get(index).map(|note| (*note).clone())
        })
    }

    /// The instance that gathers `parts` parts for this one; none when this one does so itself.
    pub(crate) fn relay(&self, parts: usize) -> Option<MemberNote> {
        let rule = RelayRule::default();
        if !rule.wants(parts) {
            return None;
        }
        let now = self.clock.now();
        self.table.with(|table| {
            let members = table.workers(now);
            rule.choose(table.own(), members, rand::random()).cloned()
        })
    }

    /// The revision up to which this instance knows everything.
    pub(crate) fn as_of(&self) -> Option<PlatformRevision> {
        self.feed.with(|feed| feed.log.as_of())
    }

    /// Notes that this instance did not reach the platform.
    pub(crate) fn platform_lost(&self) {
        let now = self.clock.now();
        self.table.with(|table| table.note_own_blind(now));
        self.feed.with(|feed| feed.away = Some(now));
        self.set_platform_lost(true);
        self.changed.notify_waiters();
    }

    /// Asks an instance for a sign of life.
    pub(crate) async fn ping(
        &self,
        address: SocketAddr,
        patience: Duration,
    ) -> Result<(), PeerError> {
        let ping = |client: Arc<Client>| async move { client.ping().await };
        self.clients.call(address, patience, ping).await
    }

    /// Takes in what the platform answered, and returns what it changes.
    pub(crate) fn platform_answered(&self, news: FeedNews) -> Option<FeedNews> {
        let now = self.clock.now();
        let is_known = self.has_news() && news.records.is_empty();
        let changes = self.feed.with(|feed| feed.log.take(news));
        self.reached.store(now.0, Ordering::Release);
        self.set_platform_lost(false);
        if !is_known {
            self.changed.notify_waiters();
        }
        changes
    }

    /// Takes in a reader's answer.
    pub(super) fn reader_answered(&self, answer: FollowAnswer) -> ReaderNews {
        let now = self.clock.now();
        let age = answer.platform_age_ms.map(Duration::from_millis);
        let is_fresh = age.is_some_and(|age| age < self.settings.stale_after);
        let is_lost = answer.is_platform_lost || !is_fresh;
        let away = answer
            .away_age_ms
            .map(|age| now - Duration::from_millis(age));
        self.table.with(|table| {
            if is_lost {
                table.note_blind(now, &answer.own.instance);
            }
            table.hear_member(now, answer.own);
            for note in answer.notes {
                table.hear(now, note);
            }
        });
        let changes = self.feed.with(|feed| {
            feed.away = feed.away.max(away);
            answer.news.and_then(|news| feed.log.take(news))
        });
        if let Some(age) = age {
            self.reached.fetch_max((now - age).0, Ordering::AcqRel);
        }
        self.set_platform_lost(is_lost);
        self.changed.notify_waiters();
        let away = if is_lost { Some(now) } else { away };
        ReaderNews {
            changes,
            away_age: away.map(|away| now.since(away)),
        }
    }

    /// Says whether the platform's last answer is overdue.
    pub(crate) fn is_platform_lost(&self) -> bool {
        self.is_platform_lost.load(Ordering::Acquire)
    }

    /// Time since the platform answered last: the age of the configuration and the list.
    pub(crate) fn platform_age(&self) -> Duration {
        self.clock.now().since(self.reached().unwrap_or_default())
    }

    fn reached(&self) -> Option<ClockTime> {
        let reached = self.reached.load(Ordering::Acquire);
        (reached > 0).then_some(ClockTime(reached))
    }

    fn set_platform_lost(&self, is_lost: bool) {
        if self.is_platform_lost.swap(is_lost, Ordering::AcqRel) == is_lost {
            return;
        }
        metrics::gauge!("anvilhub_platform_reached").set(f64::from(u8::from(!is_lost)));
        match is_lost {
            true => warn!(dependency = "platform"; "dependency lost"),
            false => info!(dependency = "platform"; "dependency regained"),
        }
    }

    /// The answer to a follower, once there is something that it does not know, or after `wait`.
    pub(crate) async fn answer_follower(&self, call: &FollowCall, wait: Duration) -> FollowAnswer {
        let end = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let answer = self.follow_answer(call);
            let is_known = answer.news.is_none()
                && answer.is_platform_lost == call.is_platform_lost
                && !answer.own.is_leaving;
            if !is_known || timeout_at(end, changed).await.is_err() {
                return answer;
            }
        }
    }

    fn follow_answer(&self, call: &FollowCall) -> FollowAnswer {
        let now = self.clock.now();
        let millis = |time: Option<ClockTime>| {
            time.map(|time| u64::try_from(now.since(time).as_millis()).unwrap_or(u64::MAX))
        };
        let notes = match call.wants_notes {
            true => self.notes(),
            false => Vec::new(),
        };
        let own = self.own();
        self.feed.with(|feed| FollowAnswer {
            own,
            news: feed.log.since(call.after),
            platform_age_ms: millis(self.reached()),
            is_platform_lost: self.is_platform_lost(),
            away_age_ms: millis(feed.away),
            notes,
        })
    }

    /// Logs the role when it has changed.
    pub(super) fn note_role(&self, before: Option<&FeedRole>, role: &FeedRole) {
        let now = self.clock.now();
        let peers = self.table.with(|table| table.usable(now).count());
        metrics::gauge!("anvilhub_known_peers").set(peers as f64);
        let reads = f64::from(u8::from(*role == FeedRole::Reader));
        metrics::gauge!("anvilhub_reads_platform").set(reads);
        match (before, role) {
            (Some(FeedRole::Reader), FeedRole::Reader) => {}
            (_, FeedRole::Reader) => info!("this instance reads the platform"),
            (Some(FeedRole::Follower(known)), FeedRole::Follower(source))
                if known.instance == source.instance => {}
            (_, FeedRole::Follower(source)) => {
                info!(peer:% = source.instance; "this instance follows a reader of the platform");
            }
        }
    }
}

/// What a reader's answer changes.
pub(super) struct ReaderNews {
    pub(super) changes: Option<FeedNews>,
    /// Time since the platform was last found to be away.
    pub(super) away_age: Option<Duration>,
}
