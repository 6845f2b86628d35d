//! The one scale of time: module time, deadlines and the servers' `started_ms`.

use marblecroft_quota_gateway_core::Time;
use marblecroft_transport::system::monotonic_now;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time as it was at the start of the gateway's first process, carried on by the monotonic clock. Guards against a
/// wall clock that is set: module time never jumps, so that no deadline, quota or ban gains or loses by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Module time, in nanoseconds, at the machine's start.
    origin: u64,
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: nanos(unix).saturating_sub(nanos(monotonic_now())) }
    }

    /// The clock of another process on this machine, whose instants then mean the same here.
    pub fn of_origin(origin: u64) -> Clock {
        Clock { origin }
    }

    pub fn origin(&self) -> u64 {
        self.origin
    }

    pub fn now(&self) -> Time {
        Time(self.origin).after(monotonic_now())
    }
}

#[cfg(test)]
mod tests;
