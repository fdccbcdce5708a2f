//! Guards against a proxy that forwards bytes although a test has commanded a partition.

use anvilhub_dev::process::ProxyProcess;
use anvilhub_dev::standin::proxy::ProxyMode;
use eyre::Result;

use super::upstream_rig::{KeptConnection, UpstreamRig};

#[test]
fn proxy_modes() -> Result<()> {
    let rig = UpstreamRig::start(1)?;
    let proxy = ProxyProcess::start(&rig.scratch, &rig.block, "proxy", rig.replicas[0])?;
    let connect = || KeptConnection::open(proxy.address);
    let mut old = connect()?;
    assert!(old.answers()?);

    proxy.set_mode(ProxyMode::SilentExisting)?;
    assert!(old.is_silent()?);
    let mut kept = connect()?;
    assert!(kept.answers()?);

    proxy.set_mode(ProxyMode::CloseExisting)?;
    assert!(!kept.answers()?);

    proxy.set_mode(ProxyMode::Refuse)?;
    assert!(!connect()?.answers()?);

    proxy.set_mode(ProxyMode::Silent)?;
    assert!(connect()?.is_silent()?);

    proxy.set_mode(ProxyMode::Pass)?;
    let mut kept = connect()?;
    assert!(kept.answers()?);

    for held in [
        ProxyMode::Hold,
        ProxyMode::HoldToTarget,
        ProxyMode::HoldToClient,
    ] {
        proxy.set_mode(held)?;
        assert!(connect()?.is_silent()?);
    }

    proxy.set_mode(ProxyMode::Reset)?;
    assert!(!kept.answers()?);
    assert!(!connect()?.answers()?);

    proxy.set_mode(ProxyMode::Pass)?;
    assert!(connect()?.answers()?);
    Ok(())
}
