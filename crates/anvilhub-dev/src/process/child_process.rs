use std::ffi::OsString;
use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, WaitId, WaitIdOptions, kill_process, waitid};

use super::program_path::program_path;
use super::{ProcessSignal, ScratchFolder, wait_until};

/// Maximum number of output lines that an error contains. The last ones are shown.
const MAX_SHOWN_LINES: usize = 12;

/// A program of this workspace that runs as a child process of the test. It is killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log_path: PathBuf,
}

impl ChildProcess {
    /// Starts `program` and appends its output to the file `NAME.log` in `scratch`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program was not built or cannot be started.
    pub fn start<A: Into<OsString>>(
        scratch: &ScratchFolder,
        name: &str,
        program: &str,
        arguments: impl IntoIterator<Item = A>,
    ) -> Result<Self> {
        let log_path = scratch.file_path(&format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log_path)?;
        let child = Command::new(program_path(program)?)
            .args(arguments.into_iter().map(Into::into))
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .wrap_err_with(|| format!("cannot start {program}"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log_path,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `is_ready` returns `true`.
    ///
    /// # Errors
    ///
    /// Returns an error with the last output lines if the process ends first or does not become ready.
    pub fn wait_ready(&mut self, mut is_ready: impl FnMut() -> bool) -> Result<()> {
        let description = format!("readiness of {}", self.name);
        let early_end = wait_until(&description, || match self.child.try_wait() {
            Ok(None) => is_ready().then_some(None),
            end => Some(Some(end)),
        });
        match early_end {
            Ok(None) => Ok(()),
            Ok(Some(end)) => Err(eyre!(
                "{} ended before it was ready: {end:?}\n{}",
                self.name,
                self.last_output()
            )),
            Err(error) => Err(error.wrap_err(self.last_output())),
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn signal(&self, signal: ProcessSignal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal.into())
            .wrap_err_with(|| format!("cannot signal {}", self.name))
    }

    /// Pauses the process and waits until all its threads are stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn pause(&self) -> Result<()> {
        self.signal(ProcessSignal::Stop)?;
        let pid = Pid::from_child(&self.child);
        waitid(WaitId::Pid(pid), WaitIdOptions::STOPPED)
            .wrap_err_with(|| format!("{} did not stop", self.name))?;
        Ok(())
    }

    /// Waits until the process exits on its own.
    ///
    /// # Errors
    ///
    /// Returns an error if it is still running after the maximum number of attempts.
    pub fn wait_exit(&mut self) -> Result<ExitStatus> {
        let description = format!("the end of {}", self.name);
        let exit = wait_until(&description, || self.child.try_wait().transpose());
        Ok(exit.wrap_err_with(|| self.last_output())??)
    }

    /// Kills the process at once, as a crash of its machine would.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has already ended.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(ProcessSignal::Kill)?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns everything that the program has printed so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    fn last_output(&self) -> String {
        let output = self.output();
        let lines: Vec<_> = output.lines().collect();
        let skipped = lines.len().saturating_sub(MAX_SHOWN_LINES);
        lines[skipped..].join("\n")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Both calls fail if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
