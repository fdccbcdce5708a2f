//! Guards against a faulty sheet that passes the check, and against faults that do not name the right place.

use std::fs;
use std::io::Write;

use anvilhub_coord::sheet::{
    CheckedSheet, MAX_SHEET_BYTES, MAX_UNPACKED_BYTES, SheetFault, SheetTransition,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::write::GzEncoder;

use crate::sheets::{example_path, read_example};

/// Returns the faults of an example, alone or as the successor of the minimal example.
fn find_example_faults(name: &str) -> Vec<SheetFault> {
    let bytes = fs::read(example_path(&format!("broken/{name}"))).unwrap();
    let sheet = match CheckedSheet::from_bytes(&bytes) {
        Ok(sheet) => sheet,
        Err(faults) => return faults,
    };
    let minimal = read_example("minimal.json");
    let transition = SheetTransition::new(&minimal, &sheet);
    let mut faults = transition.check().err().unwrap_or_default();
    faults.extend(transition.unknown_removals());
    faults
}

#[test]
fn broken_examples_rejected() {
    let mut names: Vec<String> = fs::read_dir(example_path("broken"))
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    let mut report = String::new();
    for name in names {
        let faults = find_example_faults(&name);
        assert!(!faults.is_empty(), "{name} passes the check");
        report.push_str(&format!("{name}\n"));
        for fault in faults {
            report.push_str(&format!("  {}: {}\n", fault.place, fault.found));
        }
    }
    insta::assert_snapshot!(report);
}

/// Guards against examples whose sizes differ from those in the design document.
#[test]
fn example_sizes_match() {
    let sizes = |file: &str| -> Vec<String> {
        let sheet = read_example(file);
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
                    first.max_connections,
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
fn oversized_sheet_rejected() {
    let faults = CheckedSheet::from_bytes(&vec![b' '; MAX_SHEET_BYTES + 1]).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].found, format!("{} bytes", MAX_SHEET_BYTES + 1));
}

/// Guards against a garbled document that fills the log. Of 5,000 faults, 1,000 and a count of the rest are kept.
#[test]
fn fault_count_limited() {
    let services: Vec<u32> = (0..5_000).collect();
    let bytes =
        serde_json::to_vec(&serde_json::json!({"version": 1, "services": services})).unwrap();
    let faults = CheckedSheet::from_bytes(&bytes).unwrap_err();
    assert_eq!(faults.len(), 1_001);
    assert_eq!(faults[1_000].found, "4000 further faults");
}

/// Guards against a deeply nested document that exhausts the stack.
#[test]
fn deep_nesting_rejected() {
    let bytes = vec![b'['; MAX_SHEET_BYTES];
    assert!(CheckedSheet::from_bytes(&bytes).is_err());
}

/// Returns the packed form of `bytes`.
fn pack(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes).unwrap();
    STANDARD.encode(encoder.finish().unwrap()).into_bytes()
}

/// Guards against a partly written value that passes the check: no proper prefix of a packed sheet may pass.
#[test]
fn packed_prefix_rejected() {
    let bytes = fs::read(example_path("bordurtas.json")).unwrap();
    let packed = pack(&bytes);
    assert!(packed.len() < bytes.len());
    let sheet = CheckedSheet::from_bytes(&packed).unwrap();
    assert_eq!(sheet.digest, read_example("bordurtas.json").digest);
    for length in 0..packed.len() {
        assert!(
            CheckedSheet::from_bytes(&packed[..length]).is_err(),
            "prefix of {length} bytes"
        );
    }
}

/// Guards against a small packed value that exhausts the memory when it is unpacked.
#[test]
fn unpacked_size_limited() {
    let packed = pack(&vec![b' '; 50_000_000]);
    assert!(packed.len() < MAX_SHEET_BYTES);
    let faults = CheckedSheet::from_bytes(&packed).unwrap_err();
    assert!(
        faults[0].found.contains(&MAX_UNPACKED_BYTES.to_string()),
        "{faults:?}"
    );
}

/// Guards against a format in which a sheet of 15,000 replicas exceeds the platform's value size limit.
#[test]
fn target_size_accepted() {
    let replica = |service: usize, shard: usize, index: usize| {
        let number = (service * 107 + shard) * 2 + index;
        serde_json::json!({
            "id": format!("service-{service}-{shard}-{index}"),
            "address": format!("10.{}.{}.{}:7301", number / 50_000 + 1, number / 200 % 250, number % 200 + 1),
            "failure_domain": format!("region-{}-{}", number % 3, number % 7), "slots": 2, "connections": 25
        })
    };
    let shard = |service: usize, index: usize| {
        let start = (index << 32) / 107;
        serde_json::json!({
            "name": format!("shard-{index}"), "start": start, "end": ((index + 1) << 32) / 107,
            "replicas": [replica(service, index, 0), replica(service, index, 1)]
        })
    };
    let service = |index: usize| {
        let shards: Vec<_> = (0..107).map(|number| shard(index, number)).collect();
        serde_json::json!({
            "name": format!("service-{index}"), "callers": ["foreman"], "urgency": "urgent",
            "repeatability": "idempotent", "shards": shards
        })
    };
    let services: Vec<_> = (0..71).map(service).collect();
    let bytes =
        serde_json::to_vec(&serde_json::json!({"version": 1, "services": services})).unwrap();
    let packed = pack(&bytes);
    println!("{} bytes, {} packed", bytes.len(), packed.len());
    assert!(bytes.len() > MAX_SHEET_BYTES);
    let sheet = CheckedSheet::from_bytes(&packed).unwrap();
    assert_eq!(
        sheet
            .services
            .values()
            .map(|service| service.replicas().count())
            .sum::<usize>(),
        15_194
    );
}

/// Guards against a partly written sheet that passes the check: no proper prefix of a sheet may pass.
#[test]
fn truncated_sheet_rejected() {
    let bytes = fs::read(example_path("minimal.json")).unwrap();
    let document_length = bytes.trim_ascii_end().len();
    for length in 0..document_length {
        assert!(
            CheckedSheet::from_bytes(&bytes[..length]).is_err(),
            "prefix of {length} bytes"
        );
    }
    assert!(CheckedSheet::from_bytes(&bytes[..document_length]).is_ok());
}
