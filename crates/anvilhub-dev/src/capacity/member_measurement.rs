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

/// Measures the CPU time, memory and message bytes of membership and of exchanges with peers.
#[derive(Clone, Copy, Debug)]
pub struct MemberMeasurement;

impl MemberMeasurement {
    /// Measures fleets of several sizes; `seed` determines the choice of peers.
    ///
    /// # Errors
    ///
    /// Returns an error if a message cannot be serialized.
    pub fn run(seed: u64) -> Result<Vec<MeasuredSeries>> {
        let mut rows = measure_lists()?;
        rows.extend(measure_owners()?);
        rows.extend(measure_exchanges(seed)?);
        rows.extend(measure_readers());
        Ok(rows)
    }
}

fn new_series(quantity: &str) -> MeasuredSeries {
    MeasuredSeries::new(quantity, "member")
}

/// Returns a table with `member_count` instances, each known from the list and from an answer.
fn build_member_table(member_count: usize) -> MemberTable {
    let mut table = MemberTable::new(FleetModel::instance_id(0), []);
    table.apply_list(&FleetModel::instance_list(1, member_count), ClockTime(1));
    for index in 1..member_count {
        table.record_answer(&FleetModel::peer_identity(index), false, ClockTime(1));
    }
    table
}

fn measure_lists() -> Result<Vec<MeasuredSeries>> {
    let mut list_bytes = new_series("instance list, JSON, bytes");
    let mut parse_time = new_series("instance list: parse, CPU us");
    let mut apply_time = new_series("MemberTable: apply a list, CPU us");
    let mut heap_bytes = new_series("MemberTable, heap bytes");
    let mut peers_time = new_series("copy of all peer ids, CPU us");
    let mut addresses_time = new_series("copy of live peers with addresses, CPU us");
    for member_count in MEMBER_COUNTS {
        let text = serde_json::to_vec(&FleetModel::instance_list(2, member_count))?;
        list_bytes.add_point(member_count, text.len() as f64);
        let parse_list = || serde_json::from_slice::<InstanceList>(&text).is_ok();
        parse_time.add_point(member_count, CpuMeter::micros_per_call(parse_list));
        let (mut table, held_bytes) = HeapMeter::measure_bytes(|| build_member_table(member_count));
        heap_bytes.add_point(member_count, held_bytes);
        let list = FleetModel::instance_list(2, member_count);
        apply_time.add_point(
            member_count,
            CpuMeter::micros_per_call(|| table.apply_list(&list, ClockTime(2))),
        );
        let copy_peers = || table.peers().cloned().collect::<Vec<InstanceId>>();
        peers_time.add_point(member_count, CpuMeter::micros_per_call(copy_peers));
        let copy_addresses = || {
            let live = table.live_members(ClockTime(2));
            live.filter_map(|peer| Some((peer.clone(), table.address(peer)?)))
                .collect::<BTreeMap<_, _>>()
        };
        addresses_time.add_point(member_count, CpuMeter::micros_per_call(copy_addresses));
    }
    Ok(vec![
        list_bytes,
        parse_time,
        apply_time,
        heap_bytes,
        peers_time,
        addresses_time,
    ])
}

fn measure_owners() -> Result<Vec<MeasuredSeries>> {
    let service: ServiceName = "service-7".parse()?;
    let shard: ShardName = "shard-42".parse()?;
    let mut build_time = new_series("ShardOwners: build, CPU us");
    let mut lookup_time = new_series("ShardOwners: owner of a shard, CPU us");
    let mut heap_bytes = new_series("ShardOwners, heap bytes");
    for member_count in MEMBER_COUNTS {
        let ids: Vec<InstanceId> = (0..member_count).map(FleetModel::instance_id).collect();
        let (owners, held_bytes) =
            HeapMeter::measure_bytes(|| ShardOwners::new(ids.iter().cloned()));
        heap_bytes.add_point(member_count, held_bytes);
        build_time.add_point(
            member_count,
            CpuMeter::micros_per_call(|| ShardOwners::new(ids.iter().cloned())),
        );
        lookup_time.add_point(
            member_count,
            CpuMeter::micros_per_call(|| owners.owner(&service, &shard).is_some()),
        );
    }
    Ok(vec![build_time, lookup_time, heap_bytes])
}

fn measure_exchanges(seed: u64) -> Result<Vec<MeasuredSeries>> {
    let mut message_bytes = new_series("exchange message, bytes");
    let mut candidate_bytes = new_series("exchange message with a candidate, bytes");
    let mut json_time = new_series("exchange: write and read both messages as JSON, CPU us");
    let mut round_time = new_series("GossipPlan: one round, CPU us");
    let mut handle_time = new_series("SheetAcceptor: handle one message, CPU us");
    let mut tick_time = new_series("SheetAcceptor: one tick, CPU us");
    let mut heap_bytes = new_series("SheetAcceptor with a sheet of 440 replicas, heap bytes");
    let sheet = FleetModel::sheet(1, 440, false)?;
    for member_count in MEMBER_COUNTS {
        let message = FleetModel::exchange_message(member_count - 1, false);
        let text = serde_json::to_vec(&message)?;
        message_bytes.add_point(member_count, text.len() as f64);
        let with_candidate =
            serde_json::to_vec(&FleetModel::exchange_message(member_count - 1, true))?;
        candidate_bytes.add_point(member_count, with_candidate.len() as f64);
        let transfer_both = || {
            (0..2).all(|_| {
                let text = serde_json::to_vec(&message).unwrap_or_default();
                serde_json::from_slice::<ExchangeMessage>(&text).is_ok()
            })
        };
        json_time.add_point(member_count, CpuMeter::micros_per_call(transfer_both));
        let ids: Vec<InstanceId> = (1..member_count).map(FleetModel::instance_id).collect();
        let mut plan = GossipPlan::new(seed, ClockTime::default());
        let mut now = ClockTime::default();
        let plan_round = || {
            now = now + std::time::Duration::from_millis(500);
            plan.select_peers(now, &ids)
        };
        round_time.add_point(member_count, CpuMeter::micros_per_call(plan_round));
        let (acceptor, held_bytes) =
            HeapMeter::measure_bytes(|| FleetModel::ready_acceptor(member_count, sheet.clone()));
        let mut acceptor = acceptor?;
        heap_bytes.add_point(member_count, held_bytes);
        let mut answer = message.clone();
        answer.accepted = acceptor.in_force().map(|sheet| sheet.stamp());
        let now = ClockTime::from_millis(500);
        let handle_message = || {
            let message = answer.clone();
            let sent_at = Some(now);
            acceptor.handle(now, SheetInput::PeerMessage { message, sent_at })
        };
        handle_time.add_point(member_count, CpuMeter::micros_per_call(handle_message));
        tick_time.add_point(
            member_count,
            CpuMeter::micros_per_call(|| acceptor.handle(now, SheetInput::Tick)),
        );
    }
    Ok(vec![
        message_bytes,
        candidate_bytes,
        json_time,
        round_time,
        handle_time,
        tick_time,
        heap_bytes,
    ])
}

fn measure_readers() -> Vec<MeasuredSeries> {
    let mut reader_counts = new_series("instances that watch the sheet");
    let mut election_time = new_series("ReaderElection: one decision, CPU us");
    for member_count in MEMBER_COUNTS {
        let identities: Vec<_> = (0..member_count)
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
        reader_counts.add_point(
            member_count,
            identities.iter().filter(|own| is_reader(own)).count() as f64,
        );
        election_time.add_point(
            member_count,
            CpuMeter::micros_per_call(|| is_reader(&identities[0])),
        );
    }
    vec![reader_counts, election_time]
}
