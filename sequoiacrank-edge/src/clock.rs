//! The clock of the process, which no change of the time of day moves.

use std::time;

use sequoiacrank_kernel::id;

/// Tells the time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Clock { start: time::Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> id::Time {
        self.start.elapsed()
    }
}
