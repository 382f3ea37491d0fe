//! Token bucket that limits a rate.

use std::time;

/// Tokens that are refilled at a rate, up to a capacity.
pub(crate) struct Bucket {
    capacity: f64,
    tokens: f64,
    refilled_at: time::Instant,
    rate: f64,
}

impl Bucket {
    pub(crate) fn new(rate: f64, capacity: f64) -> Bucket {
        Bucket { capacity, tokens: capacity, refilled_at: time::Instant::now(), rate }
    }

    /// Takes one token, or returns the number of whole seconds after which there is one.
    ///
    /// `rate` is in tokens per second. If it changes, the bucket keeps at most the tokens of one
    /// second at the new rate.
    pub(crate) fn take(&mut self, now: time::Instant, rate: f64) -> Result<(), u64> {
        if rate != self.rate {
            self.rate = rate;
            self.tokens = self.tokens.min(rate);
        }
        let gained = now.saturating_duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let after = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(after.ceil().clamp(1.0, 3600.0) as u64)
    }
}
