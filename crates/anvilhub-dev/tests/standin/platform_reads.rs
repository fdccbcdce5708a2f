//! Guards against a platform stand-in that lacks the limits, the lag or the stale reads of the real platform.

use std::thread;

use anvilhub_coord::border::platform::{ConfigValue, InstanceList};
use anvilhub_coord::ids::{CallRate, PlatformRevision};
use anvilhub_dev::process::{
    EntryPlan, HttpClient, LoopbackBlock, PlatformProcess, ScratchFolder, wait_until,
};
use anvilhub_dev::standin::platform::{OutageMode, PlatformCommand};
use eyre::Result;

const WATCH_PATH: &str = "/config/sheet?after=1&wait_ms=20000";

fn start_platform(scratch: &ScratchFolder) -> Result<(PlatformProcess, HttpClient)> {
    let block = LoopbackBlock::for_process();
    let platform = PlatformProcess::start(scratch, &block, "first", &[])?;
    let client = HttpClient::new(platform.address);
    Ok((platform, client))
}

fn admitted_calls(client: &HttpClient) -> Result<u64> {
    let counts: serde_json::Value = client.get_json("/calls")?;
    Ok(counts["admitted"].as_u64().unwrap_or_default())
}

#[test]
fn call_limit_applies() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, client) = start_platform(&scratch)?;
    // At one call per 1,000 s, the bucket holds one call, and the test ends before it is refilled.
    platform.send_command(&PlatformCommand {
        call_rate: Some(CallRate(0.001)),
        ..PlatformCommand::default()
    })?;

    let mut answer_counts = [0; 2];
    for _ in 0..5 {
        let (status, _) = client.get("/config/sheet")?;
        answer_counts[usize::from(status == 429)] += 1;
    }

    assert_eq!(answer_counts, [1, 4]);
    Ok(())
}

#[test]
fn watch_counts_once() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, client) = start_platform(&scratch)?;

    let watch_client = client.clone();
    let watcher = thread::spawn(move || watch_client.get_json::<ConfigValue>(WATCH_PATH));
    wait_until("the admitted watch", || {
        admitted_calls(&client)
            .is_ok_and(|calls| calls == 1)
            .then_some(())
    })?;
    platform.send_command(&PlatformCommand {
        publish_sheet: Some("second".to_owned()),
        ..PlatformCommand::default()
    })?;
    let value = watcher.join().expect("the watch ends")?;

    assert_eq!(value.value, "second");
    assert_eq!(admitted_calls(&client)?, 1);
    Ok(())
}

#[test]
fn oversized_value_rejected() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, client) = start_platform(&scratch)?;

    let refusal = platform.send_command(&PlatformCommand {
        publish_sheet: Some("x".repeat((1 << 20) + 1)),
        ..PlatformCommand::default()
    });

    assert!(refusal.is_err());
    let value: ConfigValue = client.get_json("/config/sheet")?;
    assert_eq!(value.value, "first");
    Ok(())
}

#[test]
fn older_revision_served() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, client) = start_platform(&scratch)?;

    platform.send_command(&PlatformCommand {
        publish_sheet: Some("second".to_owned()),
        serve_sheet_revision: Some(PlatformRevision(1)),
        ..PlatformCommand::default()
    })?;
    let stale: ConfigValue = client.get_json("/config/sheet")?;
    let unchanged = client.get("/config/sheet?after=1&wait_ms=1")?;
    let requested_later: ConfigValue = client.get_json("/config/sheet?after=2&wait_ms=1")?;
    platform.send_command(&PlatformCommand {
        serve_sheet_revision: Some(PlatformRevision(0)),
        ..PlatformCommand::default()
    })?;
    let fresh: ConfigValue = client.get_json("/config/sheet")?;

    assert_eq!([stale.value, fresh.value], ["first", "second"]);
    assert_eq!(unchanged, (304, Vec::new()));
    assert_eq!(requested_later.revision, PlatformRevision(1));
    Ok(())
}

#[test]
fn lagging_list_hidden() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, client) = start_platform(&scratch)?;
    let entry = EntryPlan::new("entry-1", &LoopbackBlock::for_process())?.instance_entry()?;

    platform.send_command(&PlatformCommand {
        publish_instances: Some(vec![entry]),
        instances_lag_ms: Some(3_600_000),
        ..PlatformCommand::default()
    })?;
    let lagging: InstanceList = client.get_json("/instances")?;
    platform.send_command(&PlatformCommand {
        instances_lag_ms: Some(0),
        ..PlatformCommand::default()
    })?;
    let present: InstanceList = client.get_json("/instances")?;

    assert!(lagging.instances.is_empty());
    assert_eq!(present.instances.len(), 1);
    Ok(())
}

#[test]
fn outage_ends() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, client) = start_platform(&scratch)?;

    let mut statuses = Vec::new();
    for down in [OutageMode::Refuse, OutageMode::None] {
        platform.send_command(&PlatformCommand {
            down: Some(down),
            ..PlatformCommand::default()
        })?;
        statuses.push(client.get("/instances")?.0);
    }

    assert_eq!(statuses, [503, 200]);
    Ok(())
}
