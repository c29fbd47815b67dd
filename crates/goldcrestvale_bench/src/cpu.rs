//! Processor time of a process, and the cores and load of the machine.

use std::{fmt, io, time::Duration};

/// Length of a tick of `/proc/PID/stat`: Linux reports 100 ticks per second to user space on every
/// machine.
const TICK: Duration = Duration::from_millis(10);

/// Index of the user time, counted from the field after the name of the program.
const USER_FIELD: usize = 11;

/// Returns the processor time that a process has used, in steps of 10 ms.
///
/// # Errors
///
/// Fails when the process has ended.
///
/// # Examples
///
/// ```
/// let own = i32::try_from(std::process::id()).expect("a process id");
/// assert!(goldcrestvale_bench::cpu::used(own).is_ok());
/// ```
pub fn used(process: i32) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let malformed = || io::Error::other("unexpected format of /proc/PID/stat");
    // The name is in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(") ").ok_or_else(malformed)?;
    let mut fields = fields.split(' ').skip(USER_FIELD);
    let mut ticks = || fields.next()?.parse::<u32>().ok();
    let (user, system) = ticks().zip(ticks()).ok_or_else(malformed)?;
    Ok(TICK * (user + system))
}

/// The number of cores and the load of the machine.
#[derive(Debug, Clone)]
pub struct Machine {
    cores: usize,
    load: String,
}

impl Machine {
    /// Returns the present state of the machine.
    pub fn now() -> Self {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load = load.split(' ').next().unwrap_or_default().to_owned();
        Self { cores, load }
    }
}

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cores; load average of the last minute before: {}.", self.cores, self.load)
    }
}
