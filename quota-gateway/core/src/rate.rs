//! Rates of events, averaged with exponential memory.

use crate::api::Time;
use serde::{Deserialize, Serialize};

/// An average rate of events. An event weighs less by a factor of e for each time constant that has passed since.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Rate {
    value: f64,
    /// When `value` was computed.
    #[serde(rename = "at")]
    as_of: Time,
    /// Time constant in seconds; 0 or less: nothing is counted.
    #[serde(rename = "memory")]
    time_constant_secs: f64,
}

impl Rate {
    /// Returns a rate of 0, with a time constant in seconds.
    pub fn new(time_constant_secs: f64, now: Time) -> Rate {
        Rate { value: 0.0, as_of: now, time_constant_secs }
    }

    /// Returns the rate in events a second.
    pub fn get(&self, now: Time) -> f64 {
        if self.time_constant_secs > 0.0 {
            self.value * (-now.since(self.as_of) / self.time_constant_secs).exp()
        } else {
            0.0
        }
    }

    /// Counts so many events.
    pub fn add(&mut self, now: Time, amount: f64) {
        if self.time_constant_secs > 0.0 {
            self.value = self.get(now) + amount / self.time_constant_secs;
            self.as_of = now;
        }
    }
}
