use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use anvilhub_coord::border::settings::SettingsDocument;
use anvilhub_coord::ids::{ByteSize, FailureDomain, InstanceId};
use log::LevelFilter;

use crate::SettingsError;

type Result<T, E = SettingsError> = std::result::Result<T, E>;

const ONE_HOUR_MS: u64 = 3_600_000;

/// Validated settings of an entry instance.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Identifier of the instance in the platform's instance list.
    pub instance: InstanceId,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other instances connect to, and that tickets contain.
    pub peer_address: SocketAddr,
    /// Address that the peer server listens on: `peer_address`, unless addresses are translated on the way.
    pub peer_bind_address: SocketAddr,
    /// Address that operators connect to.
    pub operator_address: SocketAddr,
    /// Address of the platform's configuration service and instance list.
    pub platform_address: SocketAddr,
    /// Peer addresses of instances that are contacted in addition to the listed ones.
    pub peers: Vec<(InstanceId, SocketAddr)>,
    /// Most verbose log level that is written.
    pub log_level: LevelFilter,
    /// Number of threads that serve requests.
    pub worker_threads: u32,
    /// Maximum size of a request body.
    pub max_body_size: ByteSize,
    /// Maximum size of an upstream's answer.
    pub max_answer_size: ByteSize,
    /// Maximum number of caller connections.
    pub max_caller_connections: u32,
    /// Maximum deadline of a request.
    pub max_deadline: Duration,
    /// Maximum time for a caller to send the body of a request.
    pub body_timeout: Duration,
    /// Maximum idle time of a caller's connection. It must be longer than the balancer's, so that the balancer closes
    /// idle connections first and never sends on a connection that is being closed.
    pub idle_timeout: Duration,
    /// Maximum time for opening a connection to an upstream or a peer.
    pub connect_timeout: Duration,
    /// Grace period of a drain, during which requests may still arrive although the instance is no longer ready.
    pub drain_grace: Duration,
    /// Time after which a starting instance stops waiting for silent peers, `None` to wait for them without a limit.
    pub isolated_start_after: Option<Duration>,
    /// Time after a ticket is issued within which its request may be started.
    pub ticket_lifetime: Duration,
    /// Time for which the outcome of a ticket is kept after its expiry.
    pub ticket_retention: Duration,
    /// Maximum gap between heartbeats. A longer gap counts as a pause of the process.
    pub pause_limit: Duration,
    /// Time between exchanges of state with peers.
    pub gossip_interval: Duration,
    /// Maximum wait for a peer's answer to an exchange.
    pub peer_timeout: Duration,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            instance: InstanceId::from_str("entry").expect("a constant identifier is valid"),
            failure_domain: FailureDomain::from_str("local")
                .expect("a constant identifier is valid"),
            caller_address: unset,
            peer_address: unset,
            peer_bind_address: unset,
            operator_address: unset,
            platform_address: unset,
            peers: Vec::new(),
            log_level: LevelFilter::Info,
            worker_threads: 4,
            max_body_size: ByteSize(64 * 1024),
            max_answer_size: ByteSize(4 * 1024 * 1024),
            max_caller_connections: 4_096,
            max_deadline: Duration::from_secs(60),
            body_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(75),
            connect_timeout: Duration::from_millis(250),
            drain_grace: Duration::from_secs(5),
            isolated_start_after: None,
            ticket_lifetime: Duration::from_secs(30),
            ticket_retention: Duration::from_secs(120),
            pause_limit: Duration::from_secs(1),
            gossip_interval: Duration::from_millis(500),
            peer_timeout: Duration::from_millis(1_000),
        }
    }
}

impl DaemonSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is not the expected document, lacks a required field, or contains an
    /// unusable value.
    pub fn load(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: name.clone(),
            reason: error.to_string(),
        })?;
        let document = serde_json::from_str(&text).map_err(|error| SettingsError::Malformed {
            path: name,
            reason: error.to_string(),
        })?;
        Self::from_document(&document)
    }

    /// Validates a parsed settings document.
    ///
    /// # Errors
    ///
    /// Fails when a required field is missing or a value is unusable.
    pub fn from_document(document: &SettingsDocument) -> Result<Self> {
        let defaults = Self::default();
        let bind_address = document
            .peer_bind_address
            .as_ref()
            .or(document.peer_address.as_ref());
        let settings = Self {
            instance: parse_required(
                &document.instance,
                "instance",
                "\"entry-1\"",
                "an identifier",
            )?,
            failure_domain: parse_required(
                &document.failure_domain,
                "failure_domain",
                "\"fd-a\"",
                "an identifier",
            )?,
            caller_address: parse_address(
                &document.caller_address,
                "caller_address",
                "\"127.0.0.1:7101\"",
            )?,
            peer_address: parse_address(
                &document.peer_address,
                "peer_address",
                "\"127.0.0.1:7201\"",
            )?,
            peer_bind_address: parse_address(
                &bind_address.cloned(),
                "peer_bind_address",
                "\"127.0.0.1:7201\"",
            )?,
            operator_address: parse_address(
                &document.operator_address,
                "operator_address",
                "\"127.0.0.1:7301\"",
            )?,
            platform_address: parse_address(
                &document.platform_address,
                "platform_address",
                "\"127.0.0.1:7000\"",
            )?,
            peers: document
                .peers
                .iter()
                .map(|(instance, address)| {
                    let instance = parse(instance, "peers", "an identifier")?;
                    Ok((
                        instance,
                        parse(address, "peers", "an IP address and a port")?,
                    ))
                })
                .collect::<Result<_>>()?,
            log_level: match &document.log_level {
                Some(level) => parse(level, "log_level", "off, error, warn, info, debug or trace")?,
                None => defaults.log_level,
            },
            worker_threads: checked_count(document.worker_threads, "worker_threads", 1..=256)?
                .unwrap_or(defaults.worker_threads),
            max_body_size: checked_size(document.max_body_bytes, "max_body_bytes")?
                .unwrap_or(defaults.max_body_size),
            max_answer_size: checked_size(document.max_answer_bytes, "max_answer_bytes")?
                .unwrap_or(defaults.max_answer_size),
            max_caller_connections: checked_count(
                document.max_caller_connections,
                "max_caller_connections",
                1..=1_000_000,
            )?
            .unwrap_or(defaults.max_caller_connections),
            max_deadline: checked_millis(document.max_deadline_ms, "max_deadline_ms")?
                .unwrap_or(defaults.max_deadline),
            body_timeout: checked_millis(document.body_timeout_ms, "body_timeout_ms")?
                .unwrap_or(defaults.body_timeout),
            idle_timeout: checked_millis(document.idle_timeout_ms, "idle_timeout_ms")?
                .unwrap_or(defaults.idle_timeout),
            connect_timeout: checked_millis(document.connect_timeout_ms, "connect_timeout_ms")?
                .unwrap_or(defaults.connect_timeout),
            drain_grace: checked_millis(document.drain_grace_ms, "drain_grace_ms")?
                .unwrap_or(defaults.drain_grace),
            isolated_start_after: checked_millis(
                document.isolated_start_after_ms,
                "isolated_start_after_ms",
            )?,
            ticket_lifetime: checked_millis(document.ticket_lifetime_ms, "ticket_lifetime_ms")?
                .unwrap_or(defaults.ticket_lifetime),
            ticket_retention: checked_millis(document.ticket_retention_ms, "ticket_retention_ms")?
                .unwrap_or(defaults.ticket_retention),
            pause_limit: checked_millis(document.pause_limit_ms, "pause_limit_ms")?
                .unwrap_or(defaults.pause_limit),
            gossip_interval: checked_millis(document.gossip_interval_ms, "gossip_interval_ms")?
                .unwrap_or(defaults.gossip_interval),
            peer_timeout: checked_millis(document.peer_timeout_ms, "peer_timeout_ms")?
                .unwrap_or(defaults.peer_timeout),
        };
        settings.check_distinct_addresses()?;
        Ok(settings)
    }

    fn check_distinct_addresses(&self) -> Result<()> {
        let addresses = [
            ("caller_address", self.caller_address),
            ("peer_bind_address", self.peer_bind_address),
            ("operator_address", self.operator_address),
            ("platform_address", self.platform_address),
        ];
        for (index, (first, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[index + 1..]
                .iter()
                .find(|(_, other)| other == address);
            if let Some((second, _)) = duplicate {
                return Err(SettingsError::SharedAddress {
                    first,
                    second,
                    address: address.to_string(),
                });
            }
        }
        Ok(())
    }
}

fn parse_required<T: FromStr>(
    value: &Option<String>,
    field: &'static str,
    example: &'static str,
    expected: &str,
) -> Result<T> {
    match value {
        Some(text) => parse(text, field, expected),
        None => Err(SettingsError::Missing { field, example }),
    }
}

fn parse_address(
    value: &Option<String>,
    field: &'static str,
    example: &'static str,
) -> Result<SocketAddr> {
    let address: SocketAddr = parse_required(value, field, example, "an IP address and a port")?;
    match address.port() {
        0 => Err(unusable_value(field, address, "a port other than 0")),
        _ => Ok(address),
    }
}

fn parse<T: FromStr>(text: &str, field: &'static str, expected: &str) -> Result<T> {
    text.parse()
        .map_err(|_| unusable_value(field, text, expected))
}

fn checked_count(
    value: Option<u32>,
    field: &'static str,
    accepted: RangeInclusive<u32>,
) -> Result<Option<u32>> {
    check_range(value, field, accepted)
}

fn checked_size(value: Option<u64>, field: &'static str) -> Result<Option<ByteSize>> {
    const MIN_BYTES: u64 = 1_024;
    const MAX_BYTES: u64 = 64 * 1024 * 1024;
    Ok(check_range(value, field, MIN_BYTES..=MAX_BYTES)?.map(ByteSize))
}

fn checked_millis(value: Option<u64>, field: &'static str) -> Result<Option<Duration>> {
    Ok(check_range(value, field, 1..=ONE_HOUR_MS)?.map(Duration::from_millis))
}

fn check_range<T>(
    value: Option<T>,
    field: &'static str,
    accepted: RangeInclusive<T>,
) -> Result<Option<T>>
where
    T: PartialOrd + std::fmt::Display,
{
    match value {
        Some(number) if !accepted.contains(&number) => {
            let expected = format!("a number from {} to {}", accepted.start(), accepted.end());
            Err(unusable_value(field, number, &expected))
        }
        other => Ok(other),
    }
}

fn unusable_value(
    field: &'static str,
    found: impl std::fmt::Display,
    expected: &str,
) -> SettingsError {
    SettingsError::Unusable {
        field,
        found: found.to_string(),
        expected: expected.to_owned(),
    }
}
