//! Event rates with exponential decay.

use crate::api::Time;
use serde::{Deserialize, Serialize};

/// An exponentially decaying average of an event rate. The weight of an event falls by a factor of e per time
/// constant.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Rate {
    value: f64,
    /// When `value` was computed.
    #[serde(rename = "at")]
    as_of: Time,
    /// Time constant in seconds. If it is 0 or less, the rate is always 0.
    #[serde(rename = "memory")]
    time_constant_secs: f64,
}

impl Rate {
    /// Returns a rate of 0 with the given time constant in seconds.
    pub fn new(time_constant_secs: f64, now: Time) -> Rate {
        Rate { value: 0.0, as_of: now, time_constant_secs }
    }

    /// Returns the rate in events per second.
    pub fn get(&self, now: Time) -> f64 {
        if self.time_constant_secs > 0.0 {
            self.value * (-now.since(self.as_of) / self.time_constant_secs).exp()
        } else {
            0.0
        }
    }

    /// Adds `amount` events.
    pub fn add(&mut self, now: Time, amount: f64) {
        if self.time_constant_secs > 0.0 {
            self.value = self.get(now) + amount / self.time_constant_secs;
            self.as_of = now;
        }
    }
}
