//! Guards against an instance that serves an older sheet than the one that was in force, or no sheet.

use std::thread;
use std::time::Duration;

use anvilhub_coord::ids::PlatformRevision;
use anvilhub_dev::process::{EntryProcess, ProcessSignal, QueryCall, TestTier, wait_until};
use anvilhub_dev::standin::platform::{OutageMode, PlatformCommand};
use anvilhub_dev::standin::proxy::ProxyMode;
use eyre::Result;
use serde_json::json;

use super::answer_check::{is_complete, search, start_proxied_tier, start_tier};

/// Number of checks that an instance has not become ready. A correct instance stays unready however many there are.
const READINESS_CHECKS: usize = 50;
/// Time between two of these checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Minimum number of platform calls after its restart: two entry instances read the sheet and the list and watch both.
const MIN_CALLS_AFTER_RESTART: u64 = 8;

/// Setting `pause_limit_ms`: after a longer gap, an instance assumes that it was paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(300);

fn wait_for_version(entry: &EntryProcess, version: u64) -> Result<()> {
    wait_until("the new sheet in force", || {
        (entry.sheet_version() == Some(version)).then_some(())
    })
}

/// Kills the second entry instance and starts it again, without the state of the old process.
pub(super) fn restart_second_entry(tier: &mut TestTier) -> Result<()> {
    tier.entries[1].child.kill()?;
    start_killed_entry(tier, 1)
}

/// Starts an entry instance that was killed and waits until it is ready.
pub(super) fn start_killed_entry(tier: &mut TestTier, number: usize) -> Result<()> {
    let mut entry = tier.entries[number]
        .plan
        .start(&tier.scratch, tier.platform.address)?;
    entry.wait_ready()?;
    tier.entries[number] = entry;
    Ok(())
}

/// Makes the platform serve the first sheet again.
pub(super) fn serve_first_sheet(tier: &TestTier) -> Result<()> {
    tier.platform.send_command(&PlatformCommand {
        serve_sheet_revision: Some(PlatformRevision(1)),
        ..PlatformCommand::default()
    })
}

/// Publishes the sheet with the next version and waits until it is in force at all entry instances.
pub(super) fn publish_and_wait(tier: &mut TestTier) -> Result<u64> {
    let version = tier.publish_next_sheet()?;
    for entry in &tier.entries {
        wait_for_version(entry, version)?;
    }
    Ok(version)
}

/// The platform serves an older sheet than the one in force. Running and restarted instances must not adopt it.
#[test]
fn config_stale() -> Result<()> {
    let mut tier = start_tier(json!({}))?;
    let first_sheet = serde_json::to_string(&tier.sheet)?;
    let version = publish_and_wait(&mut tier)?;

    // The platform is restored from a backup that is older than the sheet in force.
    tier.platform.restart(&tier.scratch, &first_sheet)?;
    wait_until("new platform reads by both entry instances", || {
        let calls = tier.platform.admitted_calls().ok()?;
        (calls >= MIN_CALLS_AFTER_RESTART).then_some(())
    })?;
    assert_eq!(tier.entries[0].sheet_version(), Some(version));
    restart_second_entry(&mut tier)?;

    assert_eq!(tier.entries[1].sheet_version(), Some(version));
    assert_eq!(tier.entries[0].sheet_version(), Some(version));
    Ok(())
}

/// A starting entry instance whose only peer is paused must not adopt an older sheet from the platform.
#[test]
fn peer_paused() -> Result<()> {
    let mut tier = start_tier(json!({}))?;
    let version = publish_and_wait(&mut tier)?;
    serve_first_sheet(&tier)?;

    // The only peer that knows the newer sheet is paused, and the platform serves an older one.
    tier.entries[1].child.kill()?;
    tier.entries[0].child.pause()?;
    let mut entry = tier.entries[1]
        .plan
        .start(&tier.scratch, tier.platform.address)?;
    for _ in 0..READINESS_CHECKS {
        assert!(!entry.is_ready(), "ready although its peer did not answer");
        assert_ne!(entry.sheet_version(), Some(1), "an older sheet is in force");
        thread::sleep(CHECK_INTERVAL);
    }
    tier.entries[0].child.signal(ProcessSignal::Continue)?;
    entry.wait_ready()?;

    assert_eq!(entry.sheet_version(), Some(version));
    Ok(())
}

/// An entry instance that restarts while the platform is down must get the sheet in force from its peer.
#[test]
fn config_down() -> Result<()> {
    let mut tier = start_tier(json!({}))?;
    let version = publish_and_wait(&mut tier)?;
    // The platform cannot serve the instance list, so the restarted instance gets its peer from the settings.
    let peer = tier.entries[0].plan.peer_address.to_string();
    tier.entries[1]
        .plan
        .settings
        .insert("peers".to_owned(), json!({ "entry-1": peer }));
    for down in [OutageMode::Refuse, OutageMode::Hang] {
        tier.platform.send_command(&PlatformCommand {
            down: Some(down),
            ..PlatformCommand::default()
        })?;
        restart_second_entry(&mut tier)?;
        assert_eq!(tier.entries[1].sheet_version(), Some(version));
        assert!(is_complete(&search(&tier, 1)?));
    }
    Ok(())
}

/// An entry instance that was paused during a change must adopt the new sheet, although the platform serves the
/// old one.
#[test]
fn process_paused() -> Result<()> {
    let mut tier = start_tier(json!({}))?;
    tier.entries[1].child.pause()?;
    let version = tier.publish_next_sheet()?;
    wait_for_version(&tier.entries[0], version)?;
    serve_first_sheet(&tier)?;

    tier.entries[1].child.signal(ProcessSignal::Continue)?;

    wait_for_version(&tier.entries[1], version)
}

/// A request that waits for a paused instance must not be served under the sheet that the instance had before the
/// pause, even if a stale platform still serves that sheet.
#[test]
fn paused_request() -> Result<()> {
    let settings = json!({ "pause_limit_ms": PAUSE_LIMIT.as_millis() as u64 });
    let mut tier = start_tier(settings)?;
    let paused = tier.entries[1].plan.caller_address;
    tier.entries[1].child.pause()?;
    for service in &mut tier.sheet.services {
        service.callers = vec!["successor".parse()?];
    }
    let version = tier.publish_next_sheet()?;
    wait_for_version(&tier.entries[0], version)?;
    serve_first_sheet(&tier)?;

    let call = QueryCall::search("stock", "foreman")?;
    let waiting = thread::spawn(move || call.send(paused));
    thread::sleep(2 * PAUSE_LIMIT);
    tier.entries[1].child.signal(ProcessSignal::Continue)?;
    let (status, answer) = waiting.join().expect("the call ends")?;
    wait_for_version(&tier.entries[1], version)?;

    assert_eq!(status, 403, "{answer:?}");
    Ok(())
}

/// A starting entry instance that cannot reach its peer must not adopt an older sheet from the platform.
#[test]
fn entry_partition() -> Result<()> {
    let mut tier = start_proxied_tier()?;
    let version = publish_and_wait(&mut tier)?;
    serve_first_sheet(&tier)?;

    tier.entries[1].child.kill()?;
    tier.set_proxy_mode(ProxyMode::Silent)?;
    let mut entry = tier.entries[1]
        .plan
        .start(&tier.scratch, tier.platform.address)?;
    for _ in 0..READINESS_CHECKS {
        assert!(!entry.is_ready(), "ready although its peer did not answer");
        assert_ne!(entry.sheet_version(), Some(1), "an older sheet is in force");
        thread::sleep(CHECK_INTERVAL);
    }
    tier.set_proxy_mode(ProxyMode::Pass)?;
    entry.wait_ready()?;

    assert_eq!(entry.sheet_version(), Some(version));
    Ok(())
}
