//! Guards against a faulty sheet that passes the check, and against faults without a usable place.

use std::fs;

use anvilhub_coord::sheet::{CheckedSheet, MAX_SHEET_BYTES, SheetFault, SheetStep};

use crate::sheets::{example, example_path};

fn faults_of(name: &str) -> Vec<SheetFault> {
    let bytes = fs::read(example_path(&format!("broken/{name}"))).unwrap();
    let sheet = match CheckedSheet::from_bytes(&bytes) {
        Ok(sheet) => sheet,
        Err(faults) => return faults,
    };
    let minimal = example("minimal.json");
    let step = SheetStep::new(&minimal, &sheet);
    let mut faults = step.check().err().unwrap_or_default();
    faults.extend(step.unknown_names());
    faults
}

#[test]
fn broken_examples() {
    let mut names: Vec<String> = fs::read_dir(example_path("broken"))
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    let mut report = String::new();
    for name in names {
        let faults = faults_of(&name);
        assert!(!faults.is_empty(), "{name} passes the check");
        report.push_str(&format!("{name}\n"));
        for fault in faults {
            report.push_str(&format!("  {}: {}\n", fault.place, fault.found));
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn deployment_sizes() {
    // Guards against examples that drift from the sizes of the design page.
    let sizes = |file: &str| -> Vec<String> {
        let sheet = example(file);
        let services = sheet.services.values();
        services
            .map(|service| {
                let first = &service.shards[0].replicas[0];
                assert!(
                    service
                        .shards
                        .windows(2)
                        .all(|pair| pair[0].replicas.len() == pair[1].replicas.len())
                );
                format!(
                    "{} {}x{} slots {} connections {} {} {}",
                    service.name,
                    service.shards.len(),
                    service.shards[0].replicas.len(),
                    first.slots,
                    first.connections,
                    service.urgency,
                    service.repeatability,
                )
            })
            .collect()
    };
    assert_eq!(
        sizes("bordurtas.json"),
        [
            "accounts-reports 1x3 slots 2 connections 110 deferred idempotent",
            "contractor-portal 30x2 slots 2 connections 25 standard idempotent",
            "dispatch-desk 1x5 slots 2 connections 110 urgent non_idempotent",
            "tender-stock-desk 20x2 slots 2 connections 25 urgent idempotent",
        ]
    );
    assert_eq!(
        sizes("hanbit.json"),
        [
            "counter-desk 1x15 slots 2 connections 35 standard idempotent",
            "insurer-desk 30x2 slots 2 connections 25 standard idempotent",
            "shared-ledger 1x7 slots 2 connections 35 standard non_idempotent",
            "technician-desk 20x2 slots 2 connections 25 urgent idempotent",
        ]
    );
}

#[test]
fn oversized_sheet() {
    let faults = CheckedSheet::from_bytes(&vec![b' '; MAX_SHEET_BYTES + 1]).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].found, format!("{} bytes", MAX_SHEET_BYTES + 1));
}

#[test]
fn bounded_faults() {
    // Guards against a garbled document that fills the log: 5,000 faults are cut to 1,000 and a count.
    let services: Vec<u32> = (0..5_000).collect();
    let bytes =
        serde_json::to_vec(&serde_json::json!({"version": 1, "services": services})).unwrap();
    let faults = CheckedSheet::from_bytes(&bytes).unwrap_err();
    assert_eq!(faults.len(), 1_001);
    assert_eq!(faults[1_000].found, "4000 further faults");
}

#[test]
fn deep_nesting() {
    // Guards against a document that exhausts the stack.
    let bytes = vec![b'['; MAX_SHEET_BYTES];
    assert!(CheckedSheet::from_bytes(&bytes).is_err());
}

#[test]
fn every_truncation() {
    // Guards against a partly written sheet that passes: no proper prefix does.
    let bytes = fs::read(example_path("minimal.json")).unwrap();
    let whole = bytes.trim_ascii_end().len();
    for length in 0..whole {
        assert!(
            CheckedSheet::from_bytes(&bytes[..length]).is_err(),
            "prefix of {length} bytes"
        );
    }
    assert!(CheckedSheet::from_bytes(&bytes[..whole]).is_ok());
}
