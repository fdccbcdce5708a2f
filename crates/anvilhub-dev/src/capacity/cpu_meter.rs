use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rustix::time::{ClockId, clock_gettime};

/// CPU time of one batch of calls: long compared to the resolution of the clock, short enough to measure many sizes.
const BATCH_TIME: Duration = Duration::from_millis(30);

/// Number of batches. The fastest one is used, since it is disturbed least by other processes.
const BATCH_COUNT: u32 = 3;

/// Clock ticks per second in `/proc/<pid>/stat`. Linux reports 100 to user space on every architecture.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures CPU time, as the sum of user and system time.
#[derive(Clone, Copy, Debug)]
pub struct CpuMeter;

impl CpuMeter {
    /// Returns the CPU time of this process, for all threads.
    pub fn own_time() -> Duration {
        let time = clock_gettime(ClockId::ProcessCPUTime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    }

    /// Returns the CPU time of another process in seconds, with a resolution of 10 ms.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn process_seconds(pid: u32) -> Result<f64> {
        let path = format!("/proc/{pid}/stat");
        let stat = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
        // The process name in parentheses may contain spaces, so the fields are counted from its end: utime and stime,
        // fields 14 and 15 of the line, have the indices 11 and 12.
        let (_, rest) = stat
            .rsplit_once(") ")
            .ok_or_else(|| eyre!("{path} has no process name"))?;
        let fields: Vec<&str> = rest.split(' ').collect();
        let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        Ok(ticks as f64 / TICKS_PER_SECOND)
    }

    /// Returns the CPU time of one call of `work` in microseconds.
    pub fn micros_per_call<T>(mut work: impl FnMut() -> T) -> f64 {
        (0..BATCH_COUNT)
            .map(|_| Self::measure_batch(&mut work))
            .fold(f64::INFINITY, f64::min)
    }

    /// Calls `work` for `BATCH_TIME` and returns the CPU time of one call in microseconds.
    fn measure_batch<T>(work: &mut impl FnMut() -> T) -> f64 {
        let start = Self::own_time();
        let mut call_count = 0_u32;
        let mut step = 1;
        loop {
            for _ in 0..step {
                std::hint::black_box(work());
            }
            call_count += step;
            let spent = Self::own_time().saturating_sub(start);
            if spent >= BATCH_TIME {
                return spent.as_secs_f64() * 1e6 / f64::from(call_count);
            }
            // Reading the clock is a system call, so short work is called more often between two readings.
            step = step.saturating_mul(2).min(10_000);
        }
    }
}
