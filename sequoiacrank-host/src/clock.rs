//! The clock of a host, which never runs backward.

use std::time;

use sequoiacrank_kernel::id;

/// A clock that starts at the wall clock and advances with the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: id::Time,
    start: time::Instant,
}

impl Clock {
    /// A clock set to the wall clock.
    pub fn new() -> Self {
        let base = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Clock { base, start: time::Instant::now() }
    }

    /// Time since the Unix epoch.
    pub fn now(&self) -> id::Time {
        self.base + self.start.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
