//! Recent failure rate, by which failing servers are avoided.
//!
//! The rate decays with time, so that a failing server that gets no traffic is tried again after a while.

use crate::api::Time;
use crate::arithmetic::ewma;
use serde::{Deserialize, Serialize};

/// Weight of one attempt in the failure rate. A single failure reaches [`FAILING_SHARE`].
const FAILURE_WEIGHT: f64 = 0.5;
/// Failure rate from which a server counts as failing.
const FAILING_SHARE: f64 = FAILURE_WEIGHT;

/// An exponentially decaying average of the share of attempts that failed, from 0 to 1.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, Time)", into = "(f64, Time)")]
pub struct FailureRate {
    share: f64,
    /// When `share` was computed.
    as_of: Time,
}

impl From<(f64, Time)> for FailureRate {
    fn from((share, as_of): (f64, Time)) -> FailureRate {
        FailureRate { share, as_of }
    }
}

impl From<FailureRate> for (f64, Time) {
    fn from(rate: FailureRate) -> (f64, Time) {
        (rate.share, rate.as_of)
    }
}

impl FailureRate {
    /// Returns the current rate. It halves every `half_life` seconds without attempts.
    pub fn get(&self, now: Time, half_life: f64) -> f64 {
        self.share * 0.5_f64.powf(now.since(self.as_of) / half_life)
    }

    /// Records the result of an attempt. Returns whether the rate has reached [`FAILING_SHARE`] with it.
    pub fn record(&mut self, failed: bool, now: Time, half_life: f64) -> bool {
        let before = self.get(now, half_life);
        let share = ewma(before, f64::from(u8::from(failed)), FAILURE_WEIGHT);
        *self = FailureRate { share, as_of: now };
        before < FAILING_SHARE && self.share >= FAILING_SHARE
    }
}
