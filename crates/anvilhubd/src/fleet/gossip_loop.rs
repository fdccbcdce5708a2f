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

/// One exchange in this many goes to a seed, so that parts of a fleet that lost each other meet again.
const SEED_SHARE: u32 = 4;

/// Exchanges notes with other instances.
pub(crate) struct GossipLoop {
    node: Arc<FleetState>,
}

impl GossipLoop {
    pub(crate) fn new(node: Arc<FleetState>) -> Self {
        Self { node }
    }

    /// Learns of other instances after a start, and says whether one of them has news of the platform.
    pub(crate) async fn join(&self) -> bool {
        let mut questions: FuturesUnordered<_> = self
            .seeds()
            .into_iter()
            .map(|seed| self.ask(seed))
            .collect();
        let answers = async {
            while let Some(answer) = questions.next().await {
                if answer.is_some_and(|answer| answer.has_news) {
                    return true;
                }
            }
            false
        };
        let joined = timeout(self.node.settings.join_time, answers).await;
        joined.unwrap_or(false)
    }

    /// Exchanges notes at each interval: readers with those of other failure domains, an instance that knows no
    /// other with a seed.
    pub(crate) async fn run(&self) {
        loop {
            sleep(self.pause()).await;
            let asks_seed = match self.node.role() {
                FeedRole::Follower(_) => continue,
                FeedRole::Reader => rand::rng().random_range(0..SEED_SHARE) == 0,
            };
            match self.node.far_reader() {
                Some(reader) if !asks_seed => {
                    if let Err(error) = self.exchange(reader.peer_address).await {
                        self.node.doubt(&reader.instance, &error);
                    }
                }
                Some(_) | None => {
                    // Seeds may be down; the next beat asks another one.
                    let _ = self.ask_seed().await;
                }
            }
        }
    }

    /// The interval, varied so that instances that started together do not call together.
    fn pause(&self) -> Duration {
        let factor = 0.75 + rand::random::<f64>() / 2.0;
        self.node.settings.beat_interval.mul_f64(factor)
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let settings = &self.node.settings;
        let seeds = settings.seeds.iter().copied();
        seeds
            .filter(|seed| *seed != settings.peer_address)
            .collect()
    }

    async fn ask_seed(&self) -> Option<ExchangeAnswer> {
        let seeds = self.seeds();
        if seeds.is_empty() {
            return None;
        }
        let index = rand::rng().random_range(0..seeds.len());
        self.ask(seeds[index]).await
    }

    async fn ask(&self, seed: SocketAddr) -> Option<ExchangeAnswer> {
        let answer = self.exchange(seed).await;
        // An instance asks seeds seldom: an open connection would cost a ping a second.
        self.node.clients.forget(seed);
        match answer {
            Ok(answer) => Some(answer),
            Err(error) => {
                debug!("seed: {error}");
                None
            }
        }
    }

    async fn exchange(&self, address: SocketAddr) -> Result<ExchangeAnswer, PeerError> {
        let patience = self.node.settings.call_patience;
        let notes = self.node.notes();
        let answer = self
            .node
            .clients
            .call(address, patience, |client| async move {
                client.exchange(notes).await
            })
            .await?;
        self.node.hear(answer.notes.clone());
        Ok(answer)
    }
}
