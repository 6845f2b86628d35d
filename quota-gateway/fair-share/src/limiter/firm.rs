//! One firm at one gateway: its estimated demand, and its token bucket.

use crate::demand_curve::LocalFirm;
use crate::token_bucket::TokenBucket;
use marblecroft_control_messages::published::Instant;
use std::time::Duration;

/// Time constant of the exponential decay of a firm's estimated demand, in seconds.
const DEMAND_DECAY_SECONDS: f64 = 1.0;

/// Weight, traffic fractions and rate limit of a firm at this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirmQuota {
    /// Its weight among all firms.
    pub weight: f64,
    /// Fraction of its traffic that passes through this gateway, as metered.
    pub local_fraction: f64,
    /// The same fraction if its traffic were spread evenly over its gateways.
    pub equal_fraction: f64,
    /// Units per second that its quota admits here; demand above it does not count.
    pub rate_limit: f64,
}

/// The state of a firm at this gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Firm {
    pub(super) quota: FirmQuota,
    /// Units per second that may be sent for it.
    pub(super) allowed_rate: f64,
    pub(super) bucket: TokenBucket,
    /// Decaying average of the requested units per second, as of the last request.
    requested_rate: f64,
    requested_at: Instant,
}

impl Firm {
    /// Creates the state of a firm whose first request has these units. Until a decision is applied to the
    /// firm, its limit is that many units per second.
    pub(super) fn new(now: Instant, quota: FirmQuota, units: f64) -> Firm {
        let bucket = TokenBucket::empty(now);
        Firm { quota, allowed_rate: units, bucket, requested_rate: 0.0, requested_at: now }
    }

    /// Records a request of `units`, of which `demand_units` count as demand.
    pub(super) fn record_request(&mut self, now: Instant, quota: FirmQuota, units: f64, demand_units: f64) {
        self.quota = quota;
        self.requested_rate = self.requested_rate_at(now) + demand_units / DEMAND_DECAY_SECONDS;
        self.requested_at = now;
        self.bucket.refill(now, self.allowed_rate, units);
    }

    fn requested_rate_at(&self, now: Instant) -> f64 {
        let idle_seconds = now.saturating_sub(self.requested_at).as_secs_f64();
        self.requested_rate * (-idle_seconds / DEMAND_DECAY_SECONDS).exp()
    }

    /// Returns the time since its last request.
    pub(super) fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_sub(self.requested_at)
    }

    /// Returns its demand and weight at this gateway.
    pub(super) fn local(&self, now: Instant) -> LocalFirm {
        LocalFirm {
            demand: self.requested_rate_at(now).min(self.quota.rate_limit),
            weight: self.quota.weight * self.quota.local_fraction,
        }
    }

    /// Returns its weight at this gateway if its traffic were spread evenly.
    pub(super) fn equal_weight(&self) -> f64 {
        self.quota.weight * self.quota.equal_fraction
    }
}
