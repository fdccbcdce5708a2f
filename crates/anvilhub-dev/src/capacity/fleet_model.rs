use std::io::Write;

use anvilhub_coord::border::platform::{InstanceEntry, InstanceList, InstanceRole, InstanceState};
use anvilhub_coord::configuration::{
    AcceptorSettings, ExchangeMessage, PeerIdentity, PeerStage, SheetAcceptor, SheetInput,
};
use anvilhub_coord::ids::{
    FailureDomain, Incarnation, InstanceId, PlatformRevision, SheetDigest, SheetVersion,
};
use anvilhub_coord::keyspace::KEY_SPACE_END;
use anvilhub_coord::sheet::SheetStamp;
use anvilhub_coord::time::ClockTime;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::{Result, ensure};
use flate2::Compression;
use flate2::write::GzEncoder;
use serde_json::{Value, json};

/// Number of shards of a service at the size expected in two years. A query goes to one replica of each shard.
const SHARDS_PER_SERVICE: usize = 220;

/// Number of failure domains at the size expected in two years.
const DOMAIN_COUNT: usize = 7;

/// Generates sheets, instance lists and messages for a fleet of a given size.
#[derive(Clone, Copy, Debug)]
pub struct FleetModel;

impl FleetModel {
    /// Returns a sheet as JSON, with `replica_count` replicas in services of 220 shards with 2 replicas each. The last
    /// service may be smaller.
    ///
    /// `is_changed` adds a caller to the first service, as a configuration change of one service does.
    ///
    /// # Errors
    ///
    /// Returns an error if the document cannot be serialized.
    pub fn sheet(version: u64, replica_count: usize, is_changed: bool) -> Result<Vec<u8>> {
        let per_service = SHARDS_PER_SERVICE * 2;
        let services: Vec<Value> = (0..replica_count.div_ceil(per_service))
            .map(|service| {
                let remaining = replica_count - service * per_service;
                sheet_service(
                    service,
                    remaining.min(per_service) / 2,
                    is_changed && service == 0,
                )
            })
            .collect();
        let document = json!({"version": version, "services": services});
        Ok(serde_json::to_vec(&document)?)
    }

    /// Returns the packed form of a sheet: compressed with gzip and encoded in base64, as the platform stores it.
    ///
    /// # Errors
    ///
    /// Returns an error if the sheet cannot be compressed.
    pub fn pack(sheet: &[u8]) -> Result<Vec<u8>> {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(sheet)?;
        Ok(STANDARD.encode(encoder.finish()?).into_bytes())
    }

    /// Returns the identifier of an instance.
    pub fn instance_id(index: usize) -> InstanceId {
        format!("entry-{index:04}")
            .parse()
            .expect("the text is an identifier")
    }

    /// Returns the failure domain of an instance: one of 7 domains in 3 regions.
    pub fn failure_domain(index: usize) -> FailureDomain {
        let domain = index % DOMAIN_COUNT;
        format!("region-{}-domain-{domain}", domain % 3)
            .parse()
            .expect("the text is an identifier")
    }

    /// Returns a list of `member_count` entry instances.
    pub fn instance_list(revision: u64, member_count: usize) -> InstanceList {
        let record = |index: usize| InstanceEntry {
            address: peer_address(index, 7_400),
            id: Self::instance_id(index),
            operator_address: Some(peer_address(index, 7_402)),
            peer_address: Some(peer_address(index, 7_401)),
            role: InstanceRole::Entry,
            state: InstanceState::Live,
        };
        InstanceList {
            instances: (0..member_count).map(record).collect(),
            revision: PlatformRevision(revision),
        }
    }

    /// Returns the identity that an instance sends to its peers.
    pub fn peer_identity(index: usize) -> PeerIdentity {
        PeerIdentity {
            instance: Self::instance_id(index),
            incarnation: Incarnation(u64::MAX - index as u64),
            peer_address: peer_address(index, 7_401)
                .parse()
                .expect("the text is an address"),
            failure_domain: Self::failure_domain(index),
        }
    }

    /// Returns the exchange message of a ready instance, with a candidate as during a configuration change.
    pub fn exchange_message(index: usize, has_candidate: bool) -> ExchangeMessage {
        let stamp = SheetStamp {
            version: SheetVersion(2_263_000),
            revision: PlatformRevision(2_263_100),
            digest: SheetDigest::compute(b"sheet"),
        };
        ExchangeMessage {
            sender: Self::peer_identity(index),
            stage: PeerStage::Ready,
            accepted: Some(stamp),
            candidate: has_candidate.then_some(stamp),
            draining: Vec::new(),
            reported_draining: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Returns the acceptor of one of `member_count` instances. It is ready, has the sheet in force and knows that
    /// every other member has accepted it.
    ///
    /// # Errors
    ///
    /// Returns an error if the sheet is rejected.
    pub fn ready_acceptor(member_count: usize, sheet: Vec<u8>) -> Result<SheetAcceptor> {
        let start = ClockTime::default();
        let settings = AcceptorSettings::default();
        let settled_at = start + settings.settling_time;
        let mut acceptor = SheetAcceptor::new(Self::peer_identity(0), settings, start);
        let listed = (1..member_count).map(Self::instance_id).collect();
        acceptor.handle(start, SheetInput::PeersListed(listed));
        for index in 1..member_count {
            let mut message = Self::exchange_message(index, false);
            message.accepted = None;
            acceptor.handle(start, peer_message(message));
        }
        let value = SheetInput::PlatformValue {
            requested_at: start,
            revision: PlatformRevision(1),
            bytes: sheet,
        };
        acceptor.handle(start, value);
        acceptor.handle(settled_at, SheetInput::Tick);
        let in_force = acceptor.in_force().map(|sheet| sheet.stamp());
        for index in 1..member_count {
            let mut message = Self::exchange_message(index, false);
            message.accepted = in_force;
            acceptor.handle(settled_at, peer_message(message));
        }
        ensure!(acceptor.is_ready(), "the acceptor has no sheet in force");
        Ok(acceptor)
    }
}

fn peer_message(message: ExchangeMessage) -> SheetInput {
    SheetInput::PeerMessage {
        message,
        sent_at: Some(ClockTime::default()),
    }
}

fn peer_address(index: usize, port: u16) -> String {
    format!("10.120.{}.{}:{port}", index / 200, index % 200 + 1)
}

fn sheet_service(service: usize, shard_count: usize, is_changed: bool) -> Value {
    let end = KEY_SPACE_END as usize;
    let replica = |shard: usize, index: usize| {
        let number = (service * SHARDS_PER_SERVICE + shard) * 2 + index;
        json!({
            "id": format!("service-{service}-{shard}-{index}"),
            "address": format!("10.{}.{}.{}:7301", number / 50_000 + 1, number / 200 % 250, number % 200 + 1),
            "failure_domain": FleetModel::failure_domain(number).as_str(), "slots": 2, "connections": 25
        })
    };
    let shards: Vec<Value> = (0..shard_count)
        .map(|shard| {
            json!({
                "name": format!("shard-{shard}"), "start": end * shard / shard_count,
                "end": end * (shard + 1) / shard_count,
                "replicas": [replica(shard, 0), replica(shard, 1)]
            })
        })
        .collect();
    let callers = match is_changed {
        true => json!(["foreman", "buyer"]),
        false => json!(["foreman"]),
    };
    json!({
        "name": format!("service-{service}"), "callers": callers, "urgency": "urgent",
        "repeatability": "idempotent", "shards": shards
    })
}
