use std::collections::HashMap;
use std::time::Duration;

use super::{HostName, Result, RouteError, RouteRule};
use crate::ids::{ByteSize, CallRate, ConnectionLimit, ServiceName, SheetVersion};

/// Limits of one service in the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Maximum number of connections that one upstream of the service accepts from all instances.
    pub max_connections: ConnectionLimit,
    /// Maximum length of the warm-up of an upstream; `None` if it is not stated.
    pub warmup: Option<Duration>,
    /// Number of requests a second that an upstream tolerates during its warm-up, from all instances together; `None` if
    /// no bound is stated.
    pub cold_rate: Option<CallRate>,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub max_head_size: ByteSize,
    /// Maximum size of a request's body.
    pub max_body_size: ByteSize,
    /// Maximum time for receiving the head of a request.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle between two requests.
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

/// One version of the routes and of the services they use.
#[derive(Clone, Debug, Default)]
pub struct RouteCatalog {
    /// Version of the configuration; a newer catalog has a higher one.
    pub version: SheetVersion,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceLimits>,
    rules: Vec<RouteRule>,
    /// Whether the rules have different priorities.
    has_priorities: bool,
    /// For each rule, whether a rule of a higher priority uses one of its services.
    has_higher: Vec<bool>,
    /// Indexes of the rules of each host, longest prefix first.
    by_host: HashMap<HostName, Vec<usize>>,
}

impl RouteCatalog {
    /// Creates a catalog of `rules` with default limits and without services.
    pub fn new(version: SheetVersion, rules: Vec<RouteRule>) -> Self {
        let mut by_host: HashMap<HostName, Vec<usize>> = HashMap::new();
        for (index, rule) in rules.iter().enumerate() {
            by_host.entry(rule.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(rules[index].prefix.len()));
        }
        let has_priorities = rules
            .windows(2)
            .any(|pair| pair[0].priority != pair[1].priority);
        Self {
            version,
            has_higher: find_lower_rules(&rules),
            rules,
            has_priorities,
            by_host,
            ..Self::default()
        }
    }

    /// Returns the routes.
    pub fn rules(&self) -> &[RouteRule] {
        &self.rules
    }

    /// Returns whether the routes have different priorities. If not, attempts get scarce capacity in the order of arrival.
    pub fn has_priorities(&self) -> bool {
        self.has_priorities
    }

    /// Returns whether a route of a higher priority uses one of the services of the route with this index.
    pub fn has_higher(&self, index: usize) -> bool {
        self.has_higher[index]
    }

    /// Returns the index of the route of `host` with the longest prefix that matches `path`.
    ///
    /// # Errors
    ///
    /// Fails if no route of the host matches the path.
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

/// Returns for each rule whether one of a higher priority uses one of its services.
fn find_lower_rules(rules: &[RouteRule]) -> Vec<bool> {
    let mut highest: HashMap<&ServiceName, u32> = HashMap::new();
    for rule in rules {
        for service in rule.target.services() {
            let priority = highest.entry(service).or_insert(rule.priority);
            *priority = rule.priority.min(*priority);
        }
    }
    let has_higher = |rule: &RouteRule| {
        let mut services = rule.target.services().into_iter();
        services.any(|service| highest[service] < rule.priority)
    };
    rules.iter().map(has_higher).collect()
}
