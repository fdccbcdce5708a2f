//! Guards against a proxy that forwards bytes although a test has commanded a partition.

use anvilhub_dev::process::ProxyProcess;
use anvilhub_dev::standin::proxy::ProxyMode;
use eyre::Result;

use super::upstream_fixture::{PersistentConnection, UpstreamFixture};

#[test]
fn proxy_modes_apply() -> Result<()> {
    let fixture = UpstreamFixture::start(1)?;
    let proxy = ProxyProcess::start(
        &fixture.scratch,
        &fixture.block,
        "proxy",
        fixture.replicas[0],
    )?;
    let connect = || PersistentConnection::open(proxy.address);
    let mut existing = connect()?;
    assert!(existing.receives_answer()?);

    proxy.set_mode(ProxyMode::SilentExisting)?;
    assert!(existing.is_silent()?);
    let mut open = connect()?;
    assert!(open.receives_answer()?);

    proxy.set_mode(ProxyMode::CloseExisting)?;
    assert!(!open.receives_answer()?);

    proxy.set_mode(ProxyMode::Refuse)?;
    assert!(!connect()?.receives_answer()?);

    proxy.set_mode(ProxyMode::Silent)?;
    assert!(connect()?.is_silent()?);

    proxy.set_mode(ProxyMode::Pass)?;
    let mut open = connect()?;
    assert!(open.receives_answer()?);

    for mode in [
        ProxyMode::Hold,
        ProxyMode::HoldToTarget,
        ProxyMode::HoldToClient,
    ] {
        proxy.set_mode(mode)?;
        assert!(connect()?.is_silent()?);
    }

    proxy.set_mode(ProxyMode::Reset)?;
    assert!(!open.receives_answer()?);
    assert!(!connect()?.receives_answer()?);

    proxy.set_mode(ProxyMode::Pass)?;
    assert!(connect()?.receives_answer()?);
    Ok(())
}
