use std::time::Duration;

use anvilhub_coord::time::ClockTime;

use crate::pool::UpstreamConnection;

/// Maximum idle time of a connection, as a fraction of the upstream's idle timeout.
const MAX_IDLE_FRACTION: f64 = 0.6;
/// Maximum idle time of a connection whose upstream states no idle timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(4);

/// Idle connections to one upstream, the most recently used last.
#[derive(Default)]
pub(super) struct IdleConnections {
    idle: Vec<IdleConnection>,
    idle_timeout: Option<Duration>,
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

    /// Keeps a connection for the next request, unless another connection became silent after `proved_at`, when this
    /// one was opened or last proved to work.
    pub(super) fn put(
        &mut self,
        now: ClockTime,
        proved_at: ClockTime,
        connection: UpstreamConnection,
    ) {
        let is_suspect = self
            .last_silence
            .is_some_and(|silence| proved_at <= silence);
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

    /// Closes all connections because one became silent: the others may have been affected by the same cause.
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
