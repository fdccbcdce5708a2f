use std::time::Duration;

use anvilhub_coord::time::ClockTime;

use crate::pool::UpstreamConnection;

/// Part of an upstream's idle timeout for which a connection is kept.
const IDLE_SHARE: f64 = 0.6;
/// Longest rest of a connection whose upstream states no idle timeout.
const UNSTATED_IDLE: Duration = Duration::from_secs(4);

/// Idle connections to one upstream, the most recently used last.
#[derive(Default)]
pub(super) struct IdleConnections {
    idle: Vec<ShelvedLink>,
    idle_timeout: Option<Duration>,
    doubted: Option<ClockTime>,
}

struct ShelvedLink {
    connection: UpstreamConnection,
    since: ClockTime,
}

impl IdleConnections {
    /// Takes the most recently used connection that rested for less than `most_rest`.
    pub(super) fn take(
        &mut self,
        now: ClockTime,
        most_rest: Duration,
    ) -> Option<UpstreamConnection> {
        self.prune(now);
        while let Some(link) = self.idle.pop() {
            if now.since(link.since) > most_rest {
                self.idle.push(link);
                return None;
            }
            if link.connection.is_usable() {
                return Some(link.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, unless the connections of its time were doubted.
    pub(super) fn put(
        &mut self,
        now: ClockTime,
        opened: ClockTime,
        connection: UpstreamConnection,
    ) {
        let is_doubted = self.doubted.is_some_and(|doubted| opened <= doubted);
        if connection.is_usable() && !is_doubted {
            self.idle.push(ShelvedLink {
                connection,
                since: now,
            });
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Takes in the idle timeout that the upstream states.
    pub(super) fn state_timeout(&mut self, timeout: Duration) {
        self.idle_timeout = Some(timeout);
    }

    /// Closes all connections: one of them fell silent, and what silenced it may have silenced the others.
    pub(super) fn doubt(&mut self, now: ClockTime) {
        self.idle.clear();
        self.doubted = Some(now);
    }

    /// Closes connections that have rested for too long.
    pub(super) fn prune(&mut self, now: ClockTime) {
        let most_rest = self
            .idle_timeout
            .map_or(UNSTATED_IDLE, |timeout| timeout.mul_f64(IDLE_SHARE));
        self.idle.retain(|link| now.since(link.since) < most_rest);
    }
}
