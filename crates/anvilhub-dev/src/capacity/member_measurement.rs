use std::collections::BTreeMap;

use anvilhub_coord::border::platform::InstanceList;
use anvilhub_coord::configuration::{ExchangeMessage, ReaderElection, SheetInput};
use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::{GossipPlan, MemberTable, ShardOwners};
use anvilhub_coord::time::ClockTime;
use eyre::Result;

use super::{CpuMeter, FleetModel, HeapMeter, MeasuredSeries};

/// Fleet sizes, up to the size expected in two years.
const MEMBER_COUNTS: [usize; 5] = [100, 400, 800, 1_200, 1_900];

/// CPU time, memory and message bytes of membership and of exchanges with peers.
#[derive(Clone, Copy, Debug)]
pub struct MemberMeasurement;

impl MemberMeasurement {
    /// Measures fleets of several sizes; `seed` determines the choice of peers.
    ///
    /// # Errors
    ///
    /// Fails if a message cannot be serialized.
    pub fn run(seed: u64) -> Result<Vec<MeasuredSeries>> {
        let mut rows = list_series()?;
        rows.extend(owner_series()?);
        rows.extend(exchange_series(seed)?);
        rows.extend(reader_series());
        Ok(rows)
    }
}

fn series(quantity: &str) -> MeasuredSeries {
    MeasuredSeries::new(quantity, "member")
}

/// Returns a table with `members` instances, each known from the list and from an answer.
fn member_table(members: usize) -> MemberTable {
    let mut table = MemberTable::new(FleetModel::instance_id(0), []);
    table.apply_list(&FleetModel::instance_list(1, members), ClockTime(1));
    for index in 1..members {
        table.record_answer(&FleetModel::peer_identity(index), false, ClockTime(1));
    }
    table
}

fn list_series() -> Result<Vec<MeasuredSeries>> {
    let mut bytes = series("instance list, JSON, bytes");
    let mut parse = series("instance list: parse, CPU us");
    let mut apply = series("MemberTable: apply a list, CPU us");
    let mut heap = series("MemberTable, heap bytes");
    let mut peers = series("copy of all peer ids, CPU us");
    let mut addresses = series("copy of live peers with addresses, CPU us");
    for members in MEMBER_COUNTS {
        let text = serde_json::to_vec(&FleetModel::instance_list(2, members))?;
        bytes.add_point(members, text.len() as f64);
        let parse_list = || serde_json::from_slice::<InstanceList>(&text).is_ok();
        parse.add_point(members, CpuMeter::micros_per_call(parse_list));
        let (mut table, held_bytes) = HeapMeter::measure_bytes(|| member_table(members));
        heap.add_point(members, held_bytes);
        let list = FleetModel::instance_list(2, members);
        apply.add_point(
            members,
            CpuMeter::micros_per_call(|| table.apply_list(&list, ClockTime(2))),
        );
        let copy_peers = || table.peers().cloned().collect::<Vec<InstanceId>>();
        peers.add_point(members, CpuMeter::micros_per_call(copy_peers));
        let copy_addresses = || {
            let live = table.live_members(ClockTime(2));
            live.filter_map(|peer| Some((peer.clone(), table.address(peer)?)))
                .collect::<BTreeMap<_, _>>()
        };
        addresses.add_point(members, CpuMeter::micros_per_call(copy_addresses));
    }
    Ok(vec![bytes, parse, apply, heap, peers, addresses])
}

fn owner_series() -> Result<Vec<MeasuredSeries>> {
    let service: ServiceName = "service-7".parse()?;
    let shard: ShardName = "shard-42".parse()?;
    let mut build = series("ShardOwner: build, CPU us");
    let mut lookup = series("ShardOwner: owner of a shard, CPU us");
    let mut heap = series("ShardOwner, heap bytes");
    for members in MEMBER_COUNTS {
        let ids: Vec<InstanceId> = (0..members).map(FleetModel::instance_id).collect();
        let (owners, held_bytes) =
            HeapMeter::measure_bytes(|| ShardOwners::new(ids.iter().cloned()));
        heap.add_point(members, held_bytes);
        build.add_point(
            members,
            CpuMeter::micros_per_call(|| ShardOwners::new(ids.iter().cloned())),
        );
        lookup.add_point(
            members,
            CpuMeter::micros_per_call(|| owners.owner(&service, &shard).is_some()),
        );
    }
    Ok(vec![build, lookup, heap])
}

fn exchange_series(seed: u64) -> Result<Vec<MeasuredSeries>> {
    let mut bytes = series("exchange message, bytes");
    let mut candidate_bytes = series("exchange message with a candidate, bytes");
    let mut json = series("exchange: write and read both messages as JSON, CPU us");
    let mut round = series("GossipPlan: one round, CPU us");
    let mut handle = series("SheetAcceptor: take one message, CPU us");
    let mut tick = series("SheetAcceptor: one tick, CPU us");
    let mut heap = series("SheetAcceptor with a sheet of 440 replicas, heap bytes");
    let sheet = FleetModel::sheet(1, 440, false)?;
    for members in MEMBER_COUNTS {
        let message = FleetModel::exchange_message(members - 1, false);
        let text = serde_json::to_vec(&message)?;
        bytes.add_point(members, text.len() as f64);
        let with_candidate = serde_json::to_vec(&FleetModel::exchange_message(members - 1, true))?;
        candidate_bytes.add_point(members, with_candidate.len() as f64);
        let transfer_both = || {
            (0..2).all(|_| {
                let text = serde_json::to_vec(&message).unwrap_or_default();
                serde_json::from_slice::<ExchangeMessage>(&text).is_ok()
            })
        };
        json.add_point(members, CpuMeter::micros_per_call(transfer_both));
        let ids: Vec<InstanceId> = (1..members).map(FleetModel::instance_id).collect();
        let mut plan = GossipPlan::new(seed, ClockTime::default());
        let mut now = ClockTime::default();
        let plan_round = || {
            now = now + std::time::Duration::from_millis(500);
            plan.select_peers(now, &ids)
        };
        round.add_point(members, CpuMeter::micros_per_call(plan_round));
        let (acceptor, held_bytes) =
            HeapMeter::measure_bytes(|| FleetModel::ready_acceptor(members, sheet.clone()));
        let mut acceptor = acceptor?;
        heap.add_point(members, held_bytes);
        let mut answer = message.clone();
        answer.accepted = acceptor.in_force().map(|sheet| sheet.stamp());
        let now = ClockTime::from_millis(500);
        let handle_message = || {
            let message = answer.clone();
            let sent_at = Some(now);
            acceptor.handle(now, SheetInput::PeerMessage { message, sent_at })
        };
        handle.add_point(members, CpuMeter::micros_per_call(handle_message));
        tick.add_point(
            members,
            CpuMeter::micros_per_call(|| acceptor.handle(now, SheetInput::Tick)),
        );
    }
    Ok(vec![
        bytes,
        candidate_bytes,
        json,
        round,
        handle,
        tick,
        heap,
    ])
}

fn reader_series() -> Vec<MeasuredSeries> {
    let mut readers = series("instances that watch the sheet");
    let mut election = series("ReaderElection: one decision, CPU us");
    for members in MEMBER_COUNTS {
        let identities: Vec<_> = (0..members)
            .map(|index| {
                (
                    FleetModel::instance_id(index),
                    FleetModel::failure_domain(index),
                )
            })
            .collect();
        let is_reader = |(own, domain): &(InstanceId, _)| {
            let others = identities
                .iter()
                .filter(|(id, _)| id != own)
                .map(|(id, domain)| (id, Some(domain)));
            ReaderElection::default().is_reader(own, domain, others)
        };
        readers.add_point(
            members,
            identities.iter().filter(|own| is_reader(own)).count() as f64,
        );
        election.add_point(
            members,
            CpuMeter::micros_per_call(|| is_reader(&identities[0])),
        );
    }
    vec![readers, election]
}
