use anvilhub_coord::configuration::FetchRequest;
use anvilhub_coord::sheet::{CheckedSheet, SheetDiff, SheetTransition};
use eyre::{Result, eyre};

use super::{CpuMeter, FleetModel, HeapMeter, MeasuredSeries};

/// Numbers of replicas, up to 15,000, as multiples of a service's 440 replicas.
const REPLICA_COUNTS: [usize; 6] = [440, 1_760, 3_520, 7_040, 10_560, 14_960];

/// CPU time, memory and bytes of a sheet.
#[derive(Clone, Copy, Debug)]
pub struct SheetMeasurement;

impl SheetMeasurement {
    /// Measures sheets of several sizes.
    ///
    /// # Errors
    ///
    /// Fails if a generated sheet is rejected.
    pub fn run() -> Result<Vec<MeasuredSeries>> {
        let series = |quantity: &str| MeasuredSeries::new(quantity, "replica");
        let mut plain_bytes = series("sheet, JSON, bytes");
        let mut packed_bytes = series("sheet, packed, bytes");
        let mut check = series("sheet check from packed bytes, CPU us");
        let mut step = series("SheetStep, CPU us");
        let mut diff = series("SheetDiff, CPU us");
        let mut heap = series("checked sheet, heap bytes");
        let mut delta = series("fetch of one changed service: reply, bytes");
        let mut request = series("fetch of one changed service: request, bytes");
        let mut packed_delta = series("the same reply, packed, bytes");
        let mut assemble = series("fetch of one changed service: assemble, CPU us");
        for replicas in REPLICA_COUNTS {
            let plain = FleetModel::sheet(1, replicas, false)?;
            let packed = FleetModel::compress(&plain)?;
            plain_bytes.add_point(replicas, plain.len() as f64);
            packed_bytes.add_point(replicas, packed.len() as f64);
            let (sheet, bytes) = HeapMeter::measure_bytes(|| check_sheet(&packed));
            let sheet = sheet?;
            heap.add_point(replicas, bytes);
            check.add_point(
                replicas,
                CpuMeter::micros_per_call(|| check_sheet(&packed).is_ok()),
            );
            let next = FleetModel::compress(&FleetModel::sheet(2, replicas, true)?)?;
            let candidate = check_sheet(&next)?;
            step.add_point(
                replicas,
                CpuMeter::micros_per_call(|| SheetTransition::new(&sheet, &candidate).check()),
            );
            diff.add_point(
                replicas,
                CpuMeter::micros_per_call(|| SheetDiff::between(&sheet, &candidate)),
            );
            let fetch = FetchRequest::new(candidate.digest, Some(&sheet));
            let reply = FleetModel::ready_acceptor(1, next)?
                .serve_fetch(&fetch)
                .ok_or_else(|| eyre!("the acceptor holds no sheet"))?;
            request.add_point(replicas, serde_json::to_vec(&fetch)?.len() as f64);
            let text = serde_json::to_vec(&reply)?;
            delta.add_point(replicas, text.len() as f64);
            packed_delta.add_point(replicas, FleetModel::compress(&text)?.len() as f64);
            assemble.add_point(
                replicas,
                CpuMeter::micros_per_call(|| reply.clone().assemble(Some(&sheet)).is_ok()),
            );
        }
        Ok(vec![
            plain_bytes,
            packed_bytes,
            check,
            step,
            diff,
            heap,
            request,
            delta,
            packed_delta,
            assemble,
        ])
    }
}

fn check_sheet(bytes: &[u8]) -> Result<CheckedSheet> {
    CheckedSheet::from_bytes(bytes).map_err(|faults| eyre!("a generated sheet has {faults:?}"))
}
