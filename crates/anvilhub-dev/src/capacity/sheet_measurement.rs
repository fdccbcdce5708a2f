use anvilhub_coord::configuration::FetchRequest;
use anvilhub_coord::sheet::{CheckedSheet, SheetDiff, SheetTransition};
use eyre::{Result, eyre};

use super::{CpuMeter, FleetModel, HeapMeter, MeasuredSeries};

/// Numbers of replicas, up to 15,000. Each is a multiple of the 440 replicas of a service.
const REPLICA_COUNTS: [usize; 6] = [440, 1_760, 3_520, 7_040, 10_560, 14_960];

/// Measures the CPU time, memory and bytes of a sheet.
#[derive(Clone, Copy, Debug)]
pub struct SheetMeasurement;

impl SheetMeasurement {
    /// Measures sheets of several sizes.
    ///
    /// # Errors
    ///
    /// Returns an error if a generated sheet is rejected.
    pub fn run() -> Result<Vec<MeasuredSeries>> {
        let series = |quantity: &str| MeasuredSeries::new(quantity, "replica");
        let mut plain_bytes = series("sheet, JSON, bytes");
        let mut packed_bytes = series("sheet, packed, bytes");
        let mut check_time = series("sheet check from packed bytes, CPU us");
        let mut transition_time = series("SheetTransition, CPU us");
        let mut diff_time = series("SheetDiff, CPU us");
        let mut heap_bytes = series("checked sheet, heap bytes");
        let mut reply_bytes = series("fetch of one changed service: reply, bytes");
        let mut request_bytes = series("fetch of one changed service: request, bytes");
        let mut packed_reply_bytes = series("the same reply, packed, bytes");
        let mut assemble_time = series("fetch of one changed service: assemble, CPU us");
        for replica_count in REPLICA_COUNTS {
            let plain = FleetModel::sheet(1, replica_count, false)?;
            let packed = FleetModel::pack(&plain)?;
            plain_bytes.add_point(replica_count, plain.len() as f64);
            packed_bytes.add_point(replica_count, packed.len() as f64);
            let (sheet, held_bytes) = HeapMeter::measure_bytes(|| check_sheet(&packed));
            let sheet = sheet?;
            heap_bytes.add_point(replica_count, held_bytes);
            check_time.add_point(
                replica_count,
                CpuMeter::micros_per_call(|| check_sheet(&packed).is_ok()),
            );
            let next = FleetModel::pack(&FleetModel::sheet(2, replica_count, true)?)?;
            let candidate = check_sheet(&next)?;
            transition_time.add_point(
                replica_count,
                CpuMeter::micros_per_call(|| SheetTransition::new(&sheet, &candidate).check()),
            );
            diff_time.add_point(
                replica_count,
                CpuMeter::micros_per_call(|| SheetDiff::between(&sheet, &candidate)),
            );
            let fetch = FetchRequest::new(candidate.digest, Some(&sheet));
            let reply = FleetModel::ready_acceptor(1, next)?
                .serve_fetch(&fetch)
                .ok_or_else(|| eyre!("the acceptor holds no sheet"))?;
            request_bytes.add_point(replica_count, serde_json::to_vec(&fetch)?.len() as f64);
            let reply_json = serde_json::to_vec(&reply)?;
            reply_bytes.add_point(replica_count, reply_json.len() as f64);
            packed_reply_bytes
                .add_point(replica_count, FleetModel::pack(&reply_json)?.len() as f64);
            assemble_time.add_point(
                replica_count,
                CpuMeter::micros_per_call(|| reply.clone().assemble(Some(&sheet)).is_ok()),
            );
        }
        Ok(vec![
            plain_bytes,
            packed_bytes,
            check_time,
            transition_time,
            diff_time,
            heap_bytes,
            request_bytes,
            reply_bytes,
            packed_reply_bytes,
            assemble_time,
        ])
    }
}

fn check_sheet(bytes: &[u8]) -> Result<CheckedSheet> {
    CheckedSheet::from_bytes(bytes)
        .map_err(|faults| eyre!("a generated sheet has faults: {faults:?}"))
}
