use std::time::Duration;

use anvilhub_coord::time::ClockTime;

use crate::pool::UpstreamConnection;

/// Maximum idle time of a connection, as a fraction of the idle timeout that the upstream states.
const MAX_IDLE_FRACTION: f64 = 0.6;
/// Maximum idle time of a connection whose upstream states no idle timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(4);

/// Idle connections to one upstream, the most recently used last.
#[derive(Default)]
pub(super) struct IdleConnections {
    idle: Vec<IdleConnection>,
    /// Time after which the upstream closes an idle connection, if it states one.
    idle_timeout: Option<Duration>,
    /// When a connection last became silent.
    last_silence: Option<ClockTime>,
}

struct IdleConnection {
    connection: UpstreamConnection,
    idle_since: ClockTime,
}

impl IdleConnections {
    /// Removes and returns the most recently used connection that has been idle for at most `max_idle`.
    pub(super) fn take(
        &mut self,
        now: ClockTime,
        max_idle: Duration,
    ) -> Option<UpstreamConnection> {
        self.prune(now);
        while let Some(idle) = self.idle.pop() {
            if now.since(idle.idle_since) > max_idle {
                self.idle.push(idle);
                return None;
            }
            if idle.connection.is_usable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request. `checked_at` is the time at which it was opened or last found open; the
    /// connection is closed instead if another one became silent since then.
    pub(super) fn put(
        &mut self,
        now: ClockTime,
        checked_at: ClockTime,
        connection: UpstreamConnection,
    ) {
        let is_suspect = self
            .last_silence
            .is_some_and(|silence| checked_at <= silence);
        if connection.is_usable() && !is_suspect {
            self.idle.push(IdleConnection {
                connection,
                idle_since: now,
            });
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Sets the idle timeout that the upstream states.
    pub(super) fn set_idle_timeout(&mut self, timeout: Duration) {
        self.idle_timeout = Some(timeout);
    }

    /// Closes all idle connections because one connection became silent: the cause may affect the others too.
    pub(super) fn record_silence(&mut self, now: ClockTime) {
        self.idle.clear();
        self.last_silence = Some(now);
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn prune(&mut self, now: ClockTime) {
        let max_idle = self.idle_timeout.map_or(DEFAULT_MAX_IDLE, |timeout| {
            timeout.mul_f64(MAX_IDLE_FRACTION)
        });
        self.idle
            .retain(|idle| now.since(idle.idle_since) < max_idle);
    }
}
