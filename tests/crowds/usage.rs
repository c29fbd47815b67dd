//! Memory and descriptors of a process, from `/proc`.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio_util::task::AbortOnDropHandle;

/// Interval at which descriptors are counted.
const INTERVAL: Duration = Duration::from_millis(20);

/// What a process holds at most since its start.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Resident memory.
    pub peak_bytes: u64,
    /// Open descriptors.
    pub peak_descriptors: u64,
}

/// Looks at a process until it is dropped.
#[derive(Debug)]
pub struct Watch {
    process: i32,
    descriptors: Arc<AtomicU64>,
    _task: AbortOnDropHandle<()>,
}

impl Watch {
    pub fn new(process: i32) -> Self {
        let descriptors = Arc::new(AtomicU64::new(0));
        let peak = descriptors.clone();
        let task = tokio::spawn(async move {
            loop {
                peak.fetch_max(count_descriptors(process).unwrap_or(0), Ordering::AcqRel);
                tokio::time::sleep(INTERVAL).await;
            }
        });
        Self { process, descriptors, _task: AbortOnDropHandle::new(task) }
    }

    /// Returns what the process held at most so far.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn usage(&self) -> Usage {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process));
        let status = status.expect("the process has ended");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("the process has ended").trim().trim_end_matches(" kB");
        let descriptors = count_descriptors(self.process).expect("the process has ended");
        let peak_descriptors = self.descriptors.fetch_max(descriptors, Ordering::AcqRel);
        Usage {
            peak_bytes: peak.parse::<u64>().unwrap() * 1_024,
            peak_descriptors: peak_descriptors.max(descriptors),
        }
    }
}

fn count_descriptors(process: i32) -> std::io::Result<u64> {
    Ok(fs::read_dir(format!("/proc/{process}/fd"))?.count() as u64)
}
