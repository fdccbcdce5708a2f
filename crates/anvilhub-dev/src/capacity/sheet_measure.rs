use anvilhub_coord::configuration::FetchRequest;
use anvilhub_coord::sheet::{CheckedSheet, SheetDiff, SheetStep};
use eyre::{Result, eyre};

use super::{CpuMeter, FleetModel, HeapMeter, MeasuredSeries};

/// Sizes of whole services, 440 replicas each, up to 15,000 replicas.
const REPLICAS: [usize; 6] = [440, 1_760, 3_520, 7_040, 10_560, 14_960];

/// Work, memory and bytes of a sheet.
#[derive(Clone, Copy, Debug)]
pub struct SheetMeasure;

impl SheetMeasure {
    /// Measures sheets of several sizes.
    ///
    /// # Errors
    ///
    /// Fails when a generated sheet is refused.
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
        for replicas in REPLICAS {
            let plain = FleetModel::sheet(1, replicas, false)?;
            let packed = FleetModel::pack(&plain)?;
            plain_bytes.add(replicas, plain.len() as f64);
            packed_bytes.add(replicas, packed.len() as f64);
            let (sheet, bytes) = HeapMeter::bytes_of(|| checked(&packed));
            let sheet = sheet?;
            heap.add(replicas, bytes);
            check.add(replicas, CpuMeter::micros_of(|| checked(&packed).is_ok()));
            let next = FleetModel::pack(&FleetModel::sheet(2, replicas, true)?)?;
            let candidate = checked(&next)?;
            step.add(
                replicas,
                CpuMeter::micros_of(|| SheetStep::new(&sheet, &candidate).check()),
            );
            diff.add(
                replicas,
                CpuMeter::micros_of(|| SheetDiff::between(&sheet, &candidate)),
            );
            let wanted = FetchRequest::new(candidate.digest, Some(&sheet));
            let reply = FleetModel::acceptor(1, next)?
                .serve_fetch(&wanted)
                .ok_or_else(|| eyre!("the acceptor holds no sheet"))?;
            request.add(replicas, serde_json::to_vec(&wanted)?.len() as f64);
            let text = serde_json::to_vec(&reply)?;
            delta.add(replicas, text.len() as f64);
            packed_delta.add(replicas, FleetModel::pack(&text)?.len() as f64);
            assemble.add(
                replicas,
                CpuMeter::micros_of(|| reply.clone().assemble(Some(&sheet)).is_ok()),
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

fn checked(bytes: &[u8]) -> Result<CheckedSheet> {
    CheckedSheet::from_bytes(bytes).map_err(|faults| eyre!("a generated sheet has {faults:?}"))
}
