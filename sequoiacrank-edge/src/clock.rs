//! The monotonic clock of the process, and the time of day.

use std::time;

use sequoiacrank_kernel::id;

/// If a timer fires later than this after it is due, the process counts as having been paused.
pub const MAX_TIMER_DELAY: time::Duration = time::Duration::from_millis(200);

/// Time of day in milliseconds since the Unix epoch. Unlike [`Clock`] it may jump.
pub fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    // A clock before 1970 counts as 0. The host raises its epoch once others report a later one, as
    // with any clock that is behind.
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Measures the time since the process started. It is not affected by changes of the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that starts at zero.
    pub fn new() -> Self {
        Clock { start: time::Instant::now() }
    }

    /// Time since the clock was created.
    pub fn now(&self) -> id::Time {
        self.start.elapsed()
    }
}

/// Converts a duration to whole milliseconds.
pub fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
