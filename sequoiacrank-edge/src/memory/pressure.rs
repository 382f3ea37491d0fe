//! Counts of what was refused or closed for lack of memory or descriptors.

use std::cell;
use std::rc;
use std::time;

use crate::memory;

/// Time between two log lines.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// What was given up, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A request was refused, as there was no memory for its body.
    BodyRefused,
    /// An incomplete body was given up, as it stalled while others waited for memory.
    BodyEvicted,
    /// A body was refused, as it is over the limit of the configuration.
    BodyTooLarge,
    /// An answer was given up, as there was no memory for it.
    AnswerLost,
    /// A stream waited for memory before more of it was read.
    StreamPaused,
    /// A message of another host was given up.
    MessageLost,
    /// An idle connection was closed to make room for a new one.
    IdleClosed,
    /// A connection was closed, as its caller did not read its answers while others waited for
    /// memory.
    BlockedClosed,
    /// A new connection was closed, as none of the open ones was idle.
    ConnectionRefused,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 9] = [
        Cause::BodyRefused,
        Cause::BodyEvicted,
        Cause::BodyTooLarge,
        Cause::AnswerLost,
        Cause::StreamPaused,
        Cause::MessageLost,
        Cause::IdleClosed,
        Cause::BlockedClosed,
        Cause::ConnectionRefused,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::BodyRefused => "body_refused",
            Cause::BodyEvicted => "body_evicted",
            Cause::BodyTooLarge => "body_too_large",
            Cause::AnswerLost => "answer_lost",
            Cause::StreamPaused => "stream_paused",
            Cause::MessageLost => "message_lost",
            Cause::IdleClosed => "idle_closed",
            Cause::BlockedClosed => "blocked_closed",
            Cause::ConnectionRefused => "connection_refused",
        }
    }
}

/// Counts since the start, and those that were logged.
#[derive(Default)]
pub struct Pressure {
    counts: cell::Cell<[u64; Cause::ALL.len()]>,
    logged: cell::Cell<[u64; Cause::ALL.len()]>,
}

impl Pressure {
    /// Counts one event.
    pub fn record(&self, cause: Cause) {
        let mut counts = self.counts.get();
        counts[cause as usize] += 1;
        self.counts.set(counts);
    }

    /// Counts since the start, by cause.
    pub fn counts(&self) -> impl Iterator<Item = (Cause, u64)> {
        Cause::ALL.into_iter().zip(self.counts.get())
    }

    /// Logs the counts since the last line, if there are any.
    fn log(&self, memory: &memory::Memory) {
        let (counts, logged) = (self.counts.get(), self.logged.replace(self.counts.get()));
        if counts == logged {
            return;
        }
        let new = Cause::ALL.into_iter().zip(counts.iter().zip(logged));
        let new: Vec<_> = new
            .map(|(cause, (count, logged))| (cause.name(), count - logged))
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        let (held, budget, callers) = (memory.held(), memory.budget(), memory.callers.open());
        log::warn!(target: "front", counts = new.join(" ").as_str(), held, budget, callers; "bodies or connections given up");
    }
}

/// Logs what was given up, for as long as the host runs.
pub async fn follow(memory: rc::Rc<memory::Memory>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        memory.pressure.log(&memory);
    }
}
