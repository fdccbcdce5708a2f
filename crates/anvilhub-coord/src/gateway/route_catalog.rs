use std::collections::HashMap;
use std::time::Duration;

use super::{HostName, Result, RouteError, RouteRule};
use crate::ids::{ByteSize, ConnectionLimit, ServiceName, SheetVersion};

/// What the configuration says of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections that one upstream of the service accepts from all instances.
    pub max_connections: ConnectionLimit,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_head_size: ByteSize,
    /// Largest body of a request.
    pub max_body_size: ByteSize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_size: ByteSize(16 * 1024),
            max_body_size: ByteSize(256 * 1024),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the routes, with the services that they name.
#[derive(Clone, Debug, Default)]
pub struct RouteCatalog {
    /// Version; a later catalog has a higher one.
    pub version: SheetVersion,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceLimits>,
    rules: Vec<RouteRule>,
    by_host: HashMap<HostName, Vec<usize>>,
}

impl RouteCatalog {
    /// A catalog of `rules`.
    pub fn new(version: SheetVersion, rules: Vec<RouteRule>) -> Self {
        let mut by_host: HashMap<HostName, Vec<usize>> = HashMap::new();
        for (index, rule) in rules.iter().enumerate() {
            by_host.entry(rule.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(rules[index].prefix.len()));
        }
        Self {
            version,
            rules,
            by_host,
            ..Self::default()
        }
    }

    /// The routes.
    pub fn rules(&self) -> &[RouteRule] {
        &self.rules
    }

    /// Index of the route with the longest prefix that begins `path`, among those of `host`.
    ///
    /// # Errors
    ///
    /// Fails when no route of the host takes the path.
    pub fn find(&self, host: &HostName, path: &str) -> Result<usize> {
        let indexes = self.by_host.get(host).map(Vec::as_slice).unwrap_or(&[]);
        let found = indexes
            .iter()
            .find(|&&index| path.starts_with(&self.rules[index].prefix));
        found.copied().ok_or_else(|| RouteError::NoRoute {
            host: host.clone(),
            path: path.to_owned(),
        })
    }
}
