use std::collections::BTreeMap;

use anvilhub_coord::border::platform::InstanceList;
use anvilhub_coord::configuration::{ExchangeMessage, ReaderElection, SheetInput};
use anvilhub_coord::ids::{InstanceId, ServiceName, ShardName};
use anvilhub_coord::membership::{GossipPlan, MemberTable, ShardOwner};
use anvilhub_coord::time::ClockTime;
use eyre::Result;

use super::{CpuMeter, FleetModel, HeapMeter, MeasuredSeries};

/// Sizes of the fleet up to the size in two years.
const MEMBERS: [usize; 5] = [100, 400, 800, 1_200, 1_900];

/// Work, memory and bytes of membership and of exchanges with peers.
#[derive(Clone, Copy, Debug)]
pub struct MemberMeasure;

impl MemberMeasure {
    /// Measures fleets of several sizes; `seed` determines the choices of peers.
    ///
    /// # Errors
    ///
    /// Fails when a message cannot be written as JSON.
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

/// A table that knows `members` instances by the list and by an answer of each.
fn table(members: usize) -> MemberTable {
    let mut table = MemberTable::new(FleetModel::instance(0), []);
    table.apply_list(&FleetModel::list(1, members), ClockTime(1));
    for index in 1..members {
        table.record_answer(&FleetModel::identity(index), false, ClockTime(1));
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
    for members in MEMBERS {
        let text = serde_json::to_vec(&FleetModel::list(2, members))?;
        bytes.add(members, text.len() as f64);
        let read = || serde_json::from_slice::<InstanceList>(&text).is_ok();
        parse.add(members, CpuMeter::micros_of(read));
        let (mut known, held) = HeapMeter::bytes_of(|| table(members));
        heap.add(members, held);
        let list = FleetModel::list(2, members);
        apply.add(
            members,
            CpuMeter::micros_of(|| known.apply_list(&list, ClockTime(2))),
        );
        let copy = || known.peers().cloned().collect::<Vec<InstanceId>>();
        peers.add(members, CpuMeter::micros_of(copy));
        let live = || {
            let live = known.live_members(ClockTime(2));
            live.filter_map(|peer| Some((peer.clone(), known.address(peer)?)))
                .collect::<BTreeMap<_, _>>()
        };
        addresses.add(members, CpuMeter::micros_of(live));
    }
    Ok(vec![bytes, parse, apply, heap, peers, addresses])
}

fn owner_series() -> Result<Vec<MeasuredSeries>> {
    let service: ServiceName = "service-7".parse()?;
    let shard: ShardName = "shard-42".parse()?;
    let mut build = series("ShardOwner: build, CPU us");
    let mut lookup = series("ShardOwner: owner of a shard, CPU us");
    let mut heap = series("ShardOwner, heap bytes");
    for members in MEMBERS {
        let ids: Vec<InstanceId> = (0..members).map(FleetModel::instance).collect();
        let (owner, held) = HeapMeter::bytes_of(|| ShardOwner::new(ids.iter().cloned()));
        heap.add(members, held);
        build.add(
            members,
            CpuMeter::micros_of(|| ShardOwner::new(ids.iter().cloned())),
        );
        lookup.add(
            members,
            CpuMeter::micros_of(|| owner.owner(&service, &shard).is_some()),
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
    for members in MEMBERS {
        let message = FleetModel::message(members - 1, false);
        let text = serde_json::to_vec(&message)?;
        bytes.add(members, text.len() as f64);
        let with_candidate = serde_json::to_vec(&FleetModel::message(members - 1, true))?;
        candidate_bytes.add(members, with_candidate.len() as f64);
        let both_ends = || {
            (0..2).all(|_| {
                let text = serde_json::to_vec(&message).unwrap_or_default();
                serde_json::from_slice::<ExchangeMessage>(&text).is_ok()
            })
        };
        json.add(members, CpuMeter::micros_of(both_ends));
        let ids: Vec<InstanceId> = (1..members).map(FleetModel::instance).collect();
        let mut plan = GossipPlan::new(seed, ClockTime::default());
        let mut now = ClockTime::default();
        let one_round = || {
            now = now + std::time::Duration::from_millis(500);
            plan.select_peers(now, &ids)
        };
        round.add(members, CpuMeter::micros_of(one_round));
        let (acceptor, held) = HeapMeter::bytes_of(|| FleetModel::acceptor(members, sheet.clone()));
        let mut acceptor = acceptor?;
        heap.add(members, held);
        let mut answer = message.clone();
        answer.accepted = acceptor.in_force().map(|sheet| sheet.stamp());
        let now = ClockTime::from_millis(500);
        let take = || {
            let message = answer.clone();
            let sent_at = Some(now);
            acceptor.handle(now, SheetInput::PeerMessage { message, sent_at })
        };
        handle.add(members, CpuMeter::micros_of(take));
        tick.add(
            members,
            CpuMeter::micros_of(|| acceptor.handle(now, SheetInput::Tick)),
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
    for members in MEMBERS {
        let known: Vec<_> = (0..members)
            .map(|index| (FleetModel::instance(index), FleetModel::domain(index)))
            .collect();
        let reads = |(own, domain): &(InstanceId, _)| {
            let others = known
                .iter()
                .filter(|(id, _)| id != own)
                .map(|(id, domain)| (id, Some(domain)));
            ReaderElection::default().is_reader(own, domain, others)
        };
        readers.add(
            members,
            known.iter().filter(|own| reads(own)).count() as f64,
        );
        election.add(members, CpuMeter::micros_of(|| reads(&known[0])));
    }
    vec![readers, election]
}
