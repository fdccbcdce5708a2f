//! Guards against a relay that passes bytes when a test commands a partition.

use anvilhub_dev::process::RelayProcess;
use anvilhub_dev::standin::relay::RelayMode;
use eyre::Result;

use super::upstream_rig::{KeptConnection, UpstreamRig};

#[test]
fn relay_modes() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let relay = RelayProcess::start(&rig.scratch, &rig.block, "relay", rig.replicas[0])?;
    let connect = || KeptConnection::open(relay.address);
    let mut old = connect()?;
    assert!(old.answers()?);

    relay.set_mode(RelayMode::SilentExisting)?;
    assert!(old.is_silent()?);
    let mut kept = connect()?;
    assert!(kept.answers()?);

    relay.set_mode(RelayMode::Cut)?;
    assert!(!kept.answers()?);

    relay.set_mode(RelayMode::Refuse)?;
    assert!(!connect()?.answers()?);

    relay.set_mode(RelayMode::Silent)?;
    assert!(connect()?.is_silent()?);

    relay.set_mode(RelayMode::Pass)?;
    let mut kept = connect()?;
    assert!(kept.answers()?);

    for held in [RelayMode::Hold, RelayMode::HoldForth, RelayMode::HoldBack] {
        relay.set_mode(held)?;
        assert!(connect()?.is_silent()?);
    }

    relay.set_mode(RelayMode::Reset)?;
    assert!(!kept.answers()?);
    assert!(!connect()?.answers()?);

    relay.set_mode(RelayMode::Pass)?;
    assert!(connect()?.answers()?);
    Ok(())
}
