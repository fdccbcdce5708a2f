use std::thread;

use eyre::{Result, WrapErr};

/// Starts a controller's thread. It runs until the process ends.
pub(super) fn start(name: &str, run: impl FnOnce() + Send + 'static) -> Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .wrap_err_with(|| format!("cannot start the {name} controller"))?;
    Ok(())
}
