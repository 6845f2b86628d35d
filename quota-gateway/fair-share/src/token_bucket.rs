//! A token bucket whose rate may change between any two calls.

use marblecroft_control_messages::published::Instant;

/// Capacity of a bucket, in seconds of its rate.
const CAPACITY_SECONDS: f64 = 1.0;

/// A token bucket; one token admits one unit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) fn empty(now: Instant) -> TokenBucket {
        TokenBucket { tokens: 0.0, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill, at `rate` units per second. Whatever the rate, the
    /// capacity is at least the `units` of the current request, because a request cannot be split.
    pub(crate) fn refill(&mut self, now: Instant, rate: f64, units: f64) {
        let capacity = (rate * CAPACITY_SECONDS).max(units);
        let gained = rate * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled_at = now;
    }

    /// Moves the time of the last refill to `now` without adding tokens.
    pub(crate) fn skip_to(&mut self, now: Instant) {
        self.refilled_at = now;
    }

    /// Returns whether there are enough tokens for `units`.
    pub(crate) fn has(&self, units: f64) -> bool {
        self.tokens >= units
    }

    /// Consumes tokens for `units`, down to an empty bucket.
    pub(crate) fn consume(&mut self, units: f64) {
        self.tokens = (self.tokens - units).max(0.0);
    }
}
