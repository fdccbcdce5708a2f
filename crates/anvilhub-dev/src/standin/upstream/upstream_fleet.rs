use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::{ServiceName, ShardName};
use anvilhub_coord::sheet::{CheckedSheet, ReplicaSpec, ServiceSpec, ShardSpec};
use eyre::{Result, WrapErr, ensure};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, timeout};

use super::replica_server::ReplicaServer;
use super::{EffectRecord, FleetCommand, ReplicaSettings};
use crate::standin::http_reply::{error_reply, json_reply, read_json};

/// Interval at which health and load reports are recorded for endpoints that report old data.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time that a command waits until its replicas have opened or closed their addresses.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The stand-ins of all replicas of a sheet, in one process.
pub struct UpstreamFleet {
    replicas: Vec<FleetReplica>,
    runtime: Handle,
}

/// A replica with the names that a command can select it by.
struct FleetReplica {
    service: ServiceName,
    shard: ShardName,
    server: Arc<ReplicaServer>,
}

impl UpstreamFleet {
    /// Creates the replicas of `sheet`. Their connections are served on `runtime`.
    pub fn new(sheet: &CheckedSheet, runtime: Handle) -> Arc<Self> {
        let replicas = sheet
            .services
            .values()
            .flat_map(|service| service.shards.iter().map(move |shard| (service, shard)))
            .flat_map(|(service, shard)| {
                let new_replica = move |spec| FleetReplica::new(service, shard, spec);
                shard.replicas.iter().map(new_replica)
            })
            .collect();
        Arc::new(Self { replicas, runtime })
    }

    /// Starts to listen on the address of every replica.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the addresses is in use.
    pub fn listen(self: &Arc<Self>) -> Result<()> {
        for replica in &self.replicas {
            let server = Arc::clone(&replica.server);
            let listener = self
                .runtime
                .block_on(TcpListener::bind(server.address()))
                .wrap_err_with(|| {
                    format!("cannot listen on {}; free the port", server.address())
                })?;
            self.runtime.spawn(server.serve(listener));
        }
        self.runtime.spawn(Arc::clone(self).record_reports());
        Ok(())
    }

    /// Serves control requests on `address`, with one thread per connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub fn listen_control(self: &Arc<Self>, address: SocketAddr) -> Result<ListeningServer> {
        let fleet = Arc::clone(self);
        Server::new(move |request| fleet.handle(request))
            .bind(address)
            .spawn()
            .wrap_err_with(|| format!("cannot listen on {address}; choose a free port"))
    }

    /// Applies a command and returns the number of replicas that it selected.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the command selects no replica or a setting is invalid.
    pub fn apply(&self, command: &FleetCommand) -> Result<usize> {
        let selected = self.select_replicas(command);
        ensure!(
            !selected.is_empty(),
            "the command selects no replica; check its names against the sheet"
        );
        let settings = selected
            .iter()
            .map(|server| server.state().settings.with_changes(&command.set))
            .collect::<Result<Vec<_>>>()?;
        // A drain spawns a task, which needs the runtime's context.
        let _runtime = self.runtime.enter();
        for (server, settings) in selected.iter().zip(settings) {
            server.replace_settings(settings);
            for action in &command.actions {
                server.apply(action.clone());
            }
        }
        Ok(selected.len())
    }

    fn select_replicas(&self, command: &FleetCommand) -> Vec<&Arc<ReplicaServer>> {
        self.replicas
            .iter()
            .filter(|replica| replica.is_selected(command))
            .map(|replica| &replica.server)
            .collect()
    }

    /// Waits until the selected replicas have opened or closed their addresses.
    fn wait_until_settled(&self, command: &FleetCommand) {
        let all_settled = async {
            for server in self.select_replicas(command) {
                server.wait_until_settled().await;
            }
        };
        // The timeout passes if another program has taken the port of a replica.
        let _ = self
            .runtime
            .block_on(async { timeout(SETTLE_TIMEOUT, all_settled).await });
    }

    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/control") => self.handle_control(request),
            (&Method::GET, "/effects") => self.effects_reply(),
            (&Method::GET, "/requests") => self.requests_reply(),
            (method, _) => {
                let message = format!("the upstreams do not serve {method} {path}; see --help");
                error_reply(StatusCode::NOT_FOUND, message)
            }
        }
    }

    fn handle_control(&self, request: &mut Request<Body>) -> Response<Body> {
        let command: FleetCommand = match read_json(request) {
            Ok(command) => command,
            Err(error) => return error_reply(StatusCode::BAD_REQUEST, format!("{error:#}")),
        };
        match self.apply(&command) {
            Ok(changed) => {
                self.wait_until_settled(&command);
                json_reply(StatusCode::OK, &json!({ "changed": changed }))
            }
            Err(error) => error_reply(StatusCode::BAD_REQUEST, format!("{error:#}")),
        }
    }

    fn effects_reply(&self) -> Response<Body> {
        let effects: Vec<EffectRecord> = self
            .replicas
            .iter()
            .flat_map(|replica| {
                let state = replica.server.state();
                state.effects.values().cloned().collect::<Vec<_>>()
            })
            .collect();
        json_reply(StatusCode::OK, &json!({ "effects": effects }))
    }

    fn requests_reply(&self) -> Response<Body> {
        let upstreams: BTreeMap<_, _> = self
            .replicas
            .iter()
            .map(|replica| {
                let counts = replica.server.state().counts.clone();
                (replica.server.id().as_str(), counts)
            })
            .collect();
        json_reply(StatusCode::OK, &json!({ "upstreams": upstreams }))
    }

    async fn record_reports(self: Arc<Self>) {
        loop {
            sleep(SAMPLE_INTERVAL).await;
            let now = Instant::now();
            for replica in &self.replicas {
                replica.server.state().record_reports(now);
            }
        }
    }
}

impl FleetReplica {
    fn new(service: &ServiceSpec, shard: &ShardSpec, replica: &ReplicaSpec) -> Self {
        let settings = ReplicaSettings::from_sheet(shard, replica);
        Self {
            service: service.name.clone(),
            shard: shard.name.clone(),
            server: ReplicaServer::new(replica.id.clone(), replica.address, settings),
        }
    }

    fn is_selected(&self, command: &FleetCommand) -> bool {
        let selected_upstream = command.upstream.as_ref();
        let selected_service = command.service.as_ref();
        let selected_shard = command.shard.as_ref();
        selected_upstream.is_none_or(|id| id == self.server.id())
            && selected_service.is_none_or(|name| *name == self.service)
            && selected_shard.is_none_or(|name| *name == self.shard)
    }
}
