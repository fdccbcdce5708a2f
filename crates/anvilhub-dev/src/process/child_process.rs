use std::ffi::OsString;
use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, WaitId, WaitIdOptions, kill_process, waitid};

use super::program_file::program_file;
use super::{ProcessSignal, ScratchFolder, wait_until};

/// Lines of output that an error shows.
const SHOWN_LINES: usize = 12;

/// A program of this repository that runs as a child of the test. It is killed when the value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `program` with its output in a file of `scratch` that is called `name`.
    ///
    /// # Errors
    ///
    /// Fails when the program was not built or cannot be started.
    pub fn start<A: Into<OsString>>(
        scratch: &ScratchFolder,
        name: &str,
        program: &str,
        arguments: impl IntoIterator<Item = A>,
    ) -> Result<Self> {
        let log = scratch.file(&format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program_file(program)?)
            .args(arguments.into_iter().map(Into::into))
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .wrap_err_with(|| format!("cannot start {program}"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `is_ready`.
    ///
    /// # Errors
    ///
    /// Fails with the program's output when it ends first or stays unready.
    pub fn wait_ready(&mut self, mut is_ready: impl FnMut() -> bool) -> Result<()> {
        let what = format!("readiness of {}", self.name);
        let ended = wait_until(&what, || match self.child.try_wait() {
            Ok(None) => is_ready().then_some(None),
            ended => Some(Some(ended)),
        });
        match ended {
            Ok(None) => Ok(()),
            Ok(Some(ended)) => Err(eyre!(
                "{} ended: {ended:?}\n{}",
                self.name,
                self.last_output()
            )),
            Err(error) => Err(error.wrap_err(self.last_output())),
        }
    }

    /// Sends a signal by process id.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn signal(&self, signal: ProcessSignal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal.into())
            .wrap_err_with(|| format!("cannot signal {}", self.name))
    }

    /// Pauses the process, and returns when all its threads stand still.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn pause(&self) -> Result<()> {
        self.signal(ProcessSignal::Stop)?;
        let pid = Pid::from_child(&self.child);
        waitid(WaitId::Pid(pid), WaitIdOptions::STOPPED)
            .wrap_err_with(|| format!("{} did not stop", self.name))?;
        Ok(())
    }

    /// Waits until the process ends by itself.
    ///
    /// # Errors
    ///
    /// Fails when it still runs after a bounded number of attempts.
    pub fn wait_exit(&mut self) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        let exit = wait_until(&what, || self.child.try_wait().transpose());
        Ok(exit.wrap_err_with(|| self.last_output())??)
    }

    /// Ends the process at once, as a crash of its machine would.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended already.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(ProcessSignal::Kill)?;
        self.child.wait()?;
        Ok(())
    }

    /// What the program printed so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn last_output(&self) -> String {
        let output = self.output();
        let lines: Vec<_> = output.lines().collect();
        let surplus = lines.len().saturating_sub(SHOWN_LINES);
        lines[surplus..].join("\n")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
