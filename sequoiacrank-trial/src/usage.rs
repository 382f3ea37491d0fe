//! CPU time and memory of a process, read from `/proc`.

use std::fs;
use std::time;

/// Clock ticks per second in `/proc`, fixed by the Linux interface.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time since its start.
    pub cpu_time: time::Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Usage of process `pid`; `None` if it can't be read.
pub fn read(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name in parentheses may contain spaces. The first field after it is the third of
    // the file.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let number = |index: usize| fields.get(index)?.parse::<u64>().ok();
    let ticks = number(11)? + number(12)?;
    Some(Usage {
        cpu_time: time::Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND),
        resident_bytes: number(21)? * PAGE_BYTES,
        threads: number(17)?,
    })
}
