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

/// Distance between two samples of the reports that lag.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait of a command until its replicas listen or not as it says.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Every replica of a sheet, in one process.
pub struct UpstreamFleet {
    members: Vec<FleetMember>,
    runtime: Handle,
}

struct FleetMember {
    service: ServiceName,
    shard: ShardName,
    server: Arc<ReplicaServer>,
}

impl UpstreamFleet {
    /// Prepares the replicas of `sheet`; connections are served on `runtime`.
    pub fn new(sheet: &CheckedSheet, runtime: Handle) -> Arc<Self> {
        let members = sheet
            .services
            .values()
            .flat_map(|service| service.shards.iter().map(move |shard| (service, shard)))
            .flat_map(|(service, shard)| {
                let member = move |replica| FleetMember::new(service, shard, replica);
                shard.replicas.iter().map(member)
            })
            .collect();
        Arc::new(Self { members, runtime })
    }

    /// Listens on the address of each replica.
    ///
    /// # Errors
    ///
    /// Fails when one of the addresses is in use.
    pub fn listen(self: &Arc<Self>) -> Result<()> {
        for member in &self.members {
            let server = Arc::clone(&member.server);
            let listener = self
                .runtime
                .block_on(TcpListener::bind(server.address()))
                .wrap_err_with(|| {
                    format!("cannot listen on {}; free the port", server.address())
                })?;
            self.runtime.spawn(server.serve(listener));
        }
        self.runtime.spawn(Arc::clone(self).sample_reports());
        Ok(())
    }

    /// Listens for control requests on `address`, with a thread for each connection.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn listen_control(self: &Arc<Self>, address: SocketAddr) -> Result<ListeningServer> {
        let fleet = Arc::clone(self);
        Server::new(move |request| fleet.handle(request))
            .bind(address)
            .spawn()
            .wrap_err_with(|| format!("cannot listen on {address}; choose a free port"))
    }

    /// Applies a command, and gives the number of replicas that it selected.
    ///
    /// # Errors
    ///
    /// Fails, with nothing changed, when it selects no replica or a setting is bad.
    pub fn apply(&self, command: &FleetCommand) -> Result<usize> {
        let selected = self.selected(command);
        ensure!(
            !selected.is_empty(),
            "the command selects no replica; check its names against the sheet"
        );
        let settings = selected
            .iter()
            .map(|server| server.state().settings.changed(&command.set))
            .collect::<Result<Vec<_>>>()?;
        // A drain starts a timer on the runtime.
        let _runtime = self.runtime.enter();
        for (server, settings) in selected.iter().zip(settings) {
            server.set(settings);
            for action in &command.actions {
                server.apply(action.clone());
            }
        }
        Ok(selected.len())
    }

    fn selected(&self, command: &FleetCommand) -> Vec<&Arc<ReplicaServer>> {
        self.members
            .iter()
            .filter(|member| member.is_selected(command))
            .map(|member| &member.server)
            .collect()
    }

    /// Waits until killed and revived replicas are so for callers too.
    fn settle(&self, command: &FleetCommand) {
        let settled = async {
            for server in self.selected(command) {
                server.settled().await;
            }
        };
        // A port that another program took keeps a replica from listening for good.
        let _ = self
            .runtime
            .block_on(async { timeout(SETTLE_TIME, settled).await });
    }

    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/control") => self.control(request),
            (&Method::GET, "/effects") => self.effects(),
            (&Method::GET, "/requests") => self.requests(),
            _ => error_reply(StatusCode::NOT_FOUND, "no such control endpoint"),
        }
    }

    fn control(&self, request: &mut Request<Body>) -> Response<Body> {
        let command: FleetCommand = match read_json(request) {
            Ok(command) => command,
            Err(error) => return error_reply(StatusCode::BAD_REQUEST, format!("{error:#}")),
        };
        match self.apply(&command) {
            Ok(changed) => {
                self.settle(&command);
                json_reply(StatusCode::OK, &json!({ "changed": changed }))
            }
            Err(error) => error_reply(StatusCode::BAD_REQUEST, format!("{error:#}")),
        }
    }

    fn effects(&self) -> Response<Body> {
        let effects: Vec<EffectRecord> = self
            .members
            .iter()
            .flat_map(|member| {
                let state = member.server.state();
                state.effects.values().cloned().collect::<Vec<_>>()
            })
            .collect();
        json_reply(StatusCode::OK, &json!({ "effects": effects }))
    }

    fn requests(&self) -> Response<Body> {
        let upstreams: BTreeMap<_, _> = self
            .members
            .iter()
            .map(|member| {
                let counts = member.server.state().counts.clone();
                (member.server.id().as_str(), counts)
            })
            .collect();
        json_reply(StatusCode::OK, &json!({ "upstreams": upstreams }))
    }

    async fn sample_reports(self: Arc<Self>) {
        loop {
            sleep(SAMPLE_INTERVAL).await;
            let now = Instant::now();
            for member in &self.members {
                member.server.state().sample_reports(now);
            }
        }
    }
}

impl FleetMember {
    fn new(service: &ServiceSpec, shard: &ShardSpec, replica: &ReplicaSpec) -> Self {
        let settings = ReplicaSettings::of_sheet(shard, replica);
        Self {
            service: service.name.clone(),
            shard: shard.name.clone(),
            server: ReplicaServer::new(replica.id.clone(), replica.address, settings),
        }
    }

    fn is_selected(&self, command: &FleetCommand) -> bool {
        let by_upstream = command.upstream.as_ref();
        let by_service = command.service.as_ref();
        let by_shard = command.shard.as_ref();
        by_upstream.is_none_or(|id| id == self.server.id())
            && by_service.is_none_or(|name| *name == self.service)
            && by_shard.is_none_or(|name| *name == self.shard)
    }
}
