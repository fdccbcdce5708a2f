//! Guards against a platform stand-in without the limits, the lag and the staleness of the real one.

use std::thread;

use anvilhub_coord::border::platform::{ConfigValue, InstanceList};
use anvilhub_coord::ids::{CallRate, PlatformRevision};
use anvilhub_dev::process::{
    EntryPlan, HttpClient, LoopbackBlock, PlatformProcess, ScratchFolder, wait_until,
};
use anvilhub_dev::standin::platform::{DownMode, PlatformCommand};
use eyre::Result;

const WATCH: &str = "/config/sheet?after=1&wait_ms=20000";

fn start(scratch: &ScratchFolder) -> Result<(PlatformProcess, HttpClient)> {
    let block = LoopbackBlock::for_process();
    let platform = PlatformProcess::start(scratch, &block, "first", &[])?;
    let call = HttpClient::new(platform.address);
    Ok((platform, call))
}

fn admitted(call: &HttpClient) -> Result<u64> {
    let counts: serde_json::Value = call.get_json("/calls")?;
    Ok(counts["admitted"].as_u64().unwrap_or_default())
}

#[test]
fn call_limit() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, call) = start(&scratch)?;
    // One call in 1,000 s: the bucket holds one call, and the test ends before the next.
    platform.send_command(&PlatformCommand {
        call_rate: Some(CallRate(0.001)),
        ..PlatformCommand::default()
    })?;

    let mut answers = [0; 2];
    for _ in 0..5 {
        let (status, _) = call.get("/config/sheet")?;
        answers[usize::from(status == 429)] += 1;
    }

    assert_eq!(answers, [1, 4]);
    Ok(())
}

#[test]
fn watch_counts_once() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, call) = start(&scratch)?;

    let watch = call.clone();
    let watcher = thread::spawn(move || watch.get_json::<ConfigValue>(WATCH));
    wait_until("the watch", || {
        admitted(&call).is_ok_and(|calls| calls == 1).then_some(())
    })?;
    platform.send_command(&PlatformCommand {
        publish_sheet: Some("second".to_owned()),
        ..PlatformCommand::default()
    })?;
    let value = watcher.join().expect("the watch ends")?;

    assert_eq!(value.value, "second");
    assert_eq!(admitted(&call)?, 1);
    Ok(())
}

#[test]
fn oversized_value() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, call) = start(&scratch)?;

    let refusal = platform.send_command(&PlatformCommand {
        publish_sheet: Some("x".repeat((1 << 20) + 1)),
        ..PlatformCommand::default()
    });

    assert!(refusal.is_err());
    let value: ConfigValue = call.get_json("/config/sheet")?;
    assert_eq!(value.value, "first");
    Ok(())
}

#[test]
fn older_value() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, call) = start(&scratch)?;

    platform.send_command(&PlatformCommand {
        publish_sheet: Some("second".to_owned()),
        serve_sheet_revision: Some(PlatformRevision(1)),
        ..PlatformCommand::default()
    })?;
    let stale: ConfigValue = call.get_json("/config/sheet")?;
    let unchanged = call.get("/config/sheet?after=1&wait_ms=1")?;
    let backward: ConfigValue = call.get_json("/config/sheet?after=2&wait_ms=1")?;
    platform.send_command(&PlatformCommand {
        serve_sheet_revision: Some(PlatformRevision(0)),
        ..PlatformCommand::default()
    })?;
    let fresh: ConfigValue = call.get_json("/config/sheet")?;

    assert_eq!([stale.value, fresh.value], ["first", "second"]);
    assert_eq!(unchanged, (304, Vec::new()));
    assert_eq!(backward.revision, PlatformRevision(1));
    Ok(())
}

#[test]
fn lagging_list() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, call) = start(&scratch)?;
    let entry = EntryPlan::new("entry-1", &LoopbackBlock::for_process())?.instance_entry()?;

    platform.send_command(&PlatformCommand {
        publish_instances: Some(vec![entry]),
        instances_lag_ms: Some(3_600_000),
        ..PlatformCommand::default()
    })?;
    let lagging: InstanceList = call.get_json("/instances")?;
    platform.send_command(&PlatformCommand {
        instances_lag_ms: Some(0),
        ..PlatformCommand::default()
    })?;
    let present: InstanceList = call.get_json("/instances")?;

    assert!(lagging.instances.is_empty());
    assert_eq!(present.instances.len(), 1);
    Ok(())
}

#[test]
fn outage_ends() -> Result<()> {
    let scratch = ScratchFolder::create()?;
    let (platform, call) = start(&scratch)?;

    let mut statuses = Vec::new();
    for down in [DownMode::Refuse, DownMode::No] {
        platform.send_command(&PlatformCommand {
            down: Some(down),
            ..PlatformCommand::default()
        })?;
        statuses.push(call.get("/instances")?.0);
    }

    assert_eq!(statuses, [503, 200]);
    Ok(())
}
