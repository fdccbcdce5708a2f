use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::fleet::FeedRole;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::debug;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::peer::PeerError;

use super::{ExchangeAnswer, FleetApiClient, FleetState};

/// Average number of exchanges of which one goes to a seed, so that groups of instances that lost contact find each
/// other again.
const EXCHANGES_PER_SEED_EXCHANGE: u32 = 4;
/// Minimum time between two rounds in which crashes are passed on at once.
const URGENT_PAUSE: Duration = Duration::from_millis(200);

/// Exchanges member information with other instances.
pub(crate) struct GossipLoop {
    state: Arc<FleetState>,
}

impl GossipLoop {
    pub(crate) fn new(state: Arc<FleetState>) -> Self {
        Self { state }
    }

    /// Exchanges member information with all seeds after a start. Returns true as soon as one of them answers that it
    /// has the platform's current values, and false if none does so within the join timeout.
    pub(crate) async fn join(&self) -> bool {
        let mut calls: FuturesUnordered<_> = self
            .seeds()
            .into_iter()
            .map(|seed| self.exchange_with_seed(seed))
            .collect();
        let find_current_seed = async {
            while let Some(answer) = calls.next().await {
                if answer.is_some_and(|answer| answer.is_feed_current) {
                    return true;
                }
            }
            false
        };
        let found = timeout(self.state.settings.join_timeout, find_current_seed).await;
        found.unwrap_or(false)
    }

    /// Exchanges member information once per interval while this instance is a reader, with a reader of another failure
    /// domain. On average one exchange of `EXCHANGES_PER_SEED_EXCHANGE`, and every exchange while no such reader is
    /// known, goes to a seed instead.
    pub(crate) async fn run(&self) {
        loop {
            tokio::select! {
                () = sleep(self.next_interval()) => {}
                () = self.state.crashes.wait_urgent() => {
                    self.pass_on_crashes().await;
                    sleep(URGENT_PAUSE).await;
                    continue;
                }
            }
            let prefers_seed = match self.state.choose_role() {
                FeedRole::Follower(_) => continue,
                FeedRole::Reader => rand::rng().random_range(0..EXCHANGES_PER_SEED_EXCHANGE) == 0,
            };
            match self.state.choose_remote_reader() {
                Some(reader) if !prefers_seed => {
                    if let Err(error) = self.exchange(reader.peer_address).await {
                        self.state.mark_suspect(&reader.instance, &error);
                    }
                }
                Some(_) | None => {
                    // A seed may be down; the next exchange picks another one.
                    let _ = self.exchange_with_any_seed().await;
                }
            }
        }
    }

    /// Tells the reader that this instance follows of a crash at once, or the readers of the other failure domains if this
    /// instance is one. What a reader hears reaches its followers with the answers to their waiting calls.
    async fn pass_on_crashes(&self) {
        self.state.wake_followers();
        let readers = match self.state.choose_role() {
            FeedRole::Follower(reader) => vec![*reader],
            FeedRole::Reader => self.state.remote_readers(),
        };
        for reader in readers {
            if let Err(error) = self.exchange(reader.peer_address).await {
                self.state.mark_suspect(&reader.instance, &error);
            }
        }
    }

    /// Returns the time until the next exchange: the interval, varied by up to a quarter so that instances that started
    /// together do not call at the same time.
    fn next_interval(&self) -> Duration {
        let factor = 0.75 + rand::random::<f64>() / 2.0;
        self.state.settings.gossip_interval.mul_f64(factor)
    }

    /// Returns the addresses of the seeds other than this instance.
    fn seeds(&self) -> Vec<SocketAddr> {
        let settings = &self.state.settings;
        let seeds = settings.seeds.iter().copied();
        seeds
            .filter(|seed| *seed != settings.peer_address)
            .collect()
    }

    /// Exchanges member information with a random seed; `None` if there is no seed or it does not answer.
    async fn exchange_with_any_seed(&self) -> Option<ExchangeAnswer> {
        let seeds = self.seeds();
        if seeds.is_empty() {
            return None;
        }
        let index = rand::rng().random_range(0..seeds.len());
        self.exchange_with_seed(seeds[index]).await
    }

    async fn exchange_with_seed(&self, seed: SocketAddr) -> Option<ExchangeAnswer> {
        let answer = self.exchange(seed).await;
        // Seeds are called rarely, and a connection that stays open would cost a ping per second.
        self.state.clients.remove(seed);
        match answer {
            Ok(answer) => Some(answer),
            Err(error) => {
                debug!("exchange with seed {seed} failed: {error}");
                None
            }
        }
    }

    /// Sends the known members to the instance at `address` and records those that it answers.
    async fn exchange(&self, address: SocketAddr) -> Result<ExchangeAnswer, PeerError> {
        let call_timeout = self.state.settings.call_timeout;
        let members = self.state.collect_gossip();
        let limits = Some(self.state.limits.collect_notes());
        let crashes = Some(self.state.crashes.collect_notes());
        let answer = self
            .state
            .clients
            .call(address, call_timeout, |client| async move {
                client.exchange(members, limits, crashes).await
            })
            .await?;
        self.state.record_gossip(answer.members.clone());
        self.state.limits.record_notes(&answer.limits);
        self.state.crashes.record_notes(&answer.crashes);
        Ok(answer)
    }
}
