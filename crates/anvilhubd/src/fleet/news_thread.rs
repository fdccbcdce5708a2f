use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use anvilhub_coord::fleet::{FeedNews, FeedRole, MemberNote};
use anvilhub_coord::ids::PlatformRevision;
use log::{debug, info};
use tokio::runtime::Handle;

use crate::gateway::Gateway;
use crate::retry_pause::RetryPause;

use super::{FeedError, FleetApiClient, FleetBeat, FleetNode, FollowCall, PlatformFeed};

/// First pause after a failed read; an instance that nobody has news for is back soon.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Changes in one answer from which more may be waiting: the platform sends them in batches, and an instance that was
/// cut off has to catch up at once.
const LARGE_BATCH: usize = 16;
/// Interval at which a follower asks for the notes of other instances; a call for news without any.
const NOTES_INTERVAL: Duration = Duration::from_millis(450);

/// Keeps the gateway's routes and upstreams up to date, from the platform or from an instance that reads it.
pub(crate) struct NewsThread<F> {
    feed: F,
    gateway: Arc<Gateway>,
    node: Arc<FleetNode>,
    runtime: Handle,
    role: Option<FeedRole>,
    pause: RetryPause,
    /// Whether the platform's values must be read anew.
    is_history_gone: bool,
    notes_at: Option<Instant>,
}

impl<F: PlatformFeed> NewsThread<F> {
    /// Starts the thread.
    pub(crate) fn spawn(feed: F, gateway: Arc<Gateway>, runtime: Handle) -> std::io::Result<()> {
        let node = Arc::clone(&gateway.fleet);
        let pause = RetryPause::new(FIRST_PAUSE, node.settings.most_pause);
        let news = Self {
            feed,
            gateway,
            node,
            runtime,
            role: None,
            pause,
            is_history_gone: false,
            notes_at: None,
        };
        thread::Builder::new()
            .name("news".to_owned())
            .spawn(move || news.run())?;
        Ok(())
    }

    fn run(mut self) {
        let beat = FleetBeat::new(Arc::clone(&self.node));
        if !self.runtime.block_on(beat.join()) {
            // After a start of the whole fleet this is faster than to agree on a reader first.
            self.read();
        }
        loop {
            let role = self.node.role();
            self.node.note_role(self.role.as_ref(), &role);
            self.role = Some(role.clone());
            match role {
                FeedRole::Reader => self.read(),
                FeedRole::Follower(source) => self.follow(&source),
            }
        }
    }

    /// Reads the platform once.
    fn read(&mut self) {
        let known = self.node.as_of().filter(|_| !self.is_history_gone);
        let read = match known {
            Some(revision) => self.feed.watch(revision, self.node.settings.watch_wait),
            None => self.feed.read_all(),
        };
        match read {
            Ok(news) => self.answered(known, news),
            Err(FeedError::HistoryGone) => {
                info!("the platform's history is gone; reading anew");
                self.is_history_gone = true;
            }
            Err(FeedError::Unread { reason }) => self.unread(&reason),
        }
    }

    fn answered(&mut self, known: Option<PlatformRevision>, news: FeedNews) {
        self.pause.reset();
        self.is_history_gone = false;
        let count = news.records.len();
        if let Some(changes) = self.node.platform_answered(news) {
            self.feed.publish(&changes, &self.gateway);
        }
        if known.is_some() && (1..LARGE_BATCH).contains(&count) {
            thread::sleep(self.node.settings.news_pause);
        }
    }

    /// After a failure another reader is asked; without one, this instance tries again after a pause.
    fn unread(&mut self, reason: &str) {
        debug!("{reason}");
        self.node.platform_lost();
        self.gateway.note_away(Duration::ZERO);
        if self.node.role() != FeedRole::Reader {
            return;
        }
        thread::sleep(self.pause.next_pause());
    }

    fn follow(&mut self, source: &MemberNote) {
        let settings = &self.node.settings;
        let wants_notes = self
            .notes_at
            .is_none_or(|asked| asked.elapsed() >= NOTES_INTERVAL);
        let call = FollowCall {
            own: self.node.own(),
            after: self.node.as_of(),
            is_platform_lost: self.node.is_platform_lost(),
            wants_notes,
            wait_ms: settings.follow_wait.as_millis() as u64,
        };
        let patience = settings.follow_wait + settings.call_patience;
        let asked = self
            .node
            .clients
            .call(source.peer_address, patience, |client| async move {
                client.follow(call).await
            });
        let answer = match self.runtime.block_on(asked) {
            Ok(answer) => answer,
            Err(error) => return self.node.doubt(&source.instance, &error),
        };
        if wants_notes {
            self.notes_at = Some(Instant::now());
        }
        let news = self.node.reader_answered(answer);
        if let Some(age) = news.away_age {
            self.gateway.note_away(age);
        }
        if let Some(changes) = news.changes {
            self.feed.publish(&changes, &self.gateway);
        }
    }
}
