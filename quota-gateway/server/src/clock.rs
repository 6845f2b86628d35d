//! The clock of the core, of deadlines and of the servers' `started_ms`.

use marblecroft_quota_gateway_core::Time;
use marblecroft_transport::system::monotonic_now;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time at the start of the gateway's first process, continued by the monotonic clock. It does not jump
/// when the wall clock is set, so that no deadline, quota or ejection is affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// This clock's time at the boot of the machine, in nanoseconds.
    origin: u64,
}

/// A duration in nanoseconds, saturating.
fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: nanos(unix).saturating_sub(nanos(monotonic_now())) }
    }

    /// Continues the clock of another process on this machine, so that instants of the two processes are
    /// comparable.
    pub fn from_origin(origin: u64) -> Clock {
        Clock { origin }
    }

    /// The origin to pass to [`Clock::from_origin`], in nanoseconds.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(self.origin).after(monotonic_now())
    }
}

#[cfg(test)]
mod tests;
