use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rustix::time::{ClockId, clock_gettime};

/// CPU time of one batch of runs. Long against the resolution of the clock and short enough for many sizes.
const BATCH_TIME: Duration = Duration::from_millis(30);

/// Batches of which the fastest counts: the others contain more cache misses of other processes.
const BATCHES: u32 = 3;

/// Ticks per second of `/proc/<pid>/stat`. Linux gives user space 100 on every architecture.
const PROC_TICKS: f64 = 100.0;

/// CPU time, user and system together.
#[derive(Clone, Copy, Debug)]
pub struct CpuMeter;

impl CpuMeter {
    /// CPU time of this process, all threads.
    pub fn own() -> Duration {
        let time = clock_gettime(ClockId::ProcessCPUTime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    }

    /// CPU time of another process in seconds, in steps of 10 ms.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn of_process(pid: u32) -> Result<f64> {
        let path = format!("/proc/{pid}/stat");
        let stat = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
        // The name in brackets may contain spaces; utime and stime are fields 14 and 15.
        let (_, rest) = stat
            .rsplit_once(") ")
            .ok_or_else(|| eyre!("{path} has no process name"))?;
        let fields: Vec<&str> = rest.split(' ').collect();
        let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        Ok(ticks as f64 / PROC_TICKS)
    }

    /// Microseconds of CPU time of one call of `work`.
    pub fn micros_of<T>(mut work: impl FnMut() -> T) -> f64 {
        (0..BATCHES)
            .map(|_| Self::batch(&mut work))
            .fold(f64::INFINITY, f64::min)
    }

    fn batch<T>(work: &mut impl FnMut() -> T) -> f64 {
        let start = Self::own();
        let mut runs = 0_u32;
        let mut step = 1;
        loop {
            for _ in 0..step {
                std::hint::black_box(work());
            }
            runs += step;
            let spent = Self::own().saturating_sub(start);
            if spent >= BATCH_TIME {
                return spent.as_secs_f64() * 1e6 / f64::from(runs);
            }
            // Reading the clock costs a system call, so short work runs more often between two readings.
            step = step.saturating_mul(2).min(10_000);
        }
    }
}
