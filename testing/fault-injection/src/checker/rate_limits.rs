//! Checks of the customers' hard rate limits.

use super::{seconds, Checker};
use crate::deployment::{Nanos, MS, SECOND, SOCKET_SLACK};
use crate::history::Trace;

/// The slack of a rate limit is extended by the units that its rate yields in this time.
const RATE_LIMIT_SLACK: Nanos = 150 * MS;

/// Token bucket of a customer's hard rate limit.
pub(super) struct RateLimitBucket {
    pub(super) level: f64,
    pub(super) at: Nanos,
}

impl Checker {
    /// Takes one unit for a client attempt from the bucket of its customer's hard rate limit.
    pub(super) fn take_from_rate_limit(&mut self, at: Nanos, trace: Trace) {
        let Some(setup) = &self.setup else { return };
        let Some(&last) = self.last_client_attempt.get(&trace) else { return };
        let Some(&(customer, _)) = self.requests.get(&self.client_attempts[last].request) else { return };
        let Some(quota) =
            setup.plans.get(customer as usize).and_then(|plan| setup.quotas.get(usize::from(*plan)))
        else {
            return;
        };
        if quota.rate_limit <= 0.0 {
            return;
        }
        let (rate, depth) = (quota.rate_limit, quota.rate_limit_burst);
        let bucket = self.rate_limits.entry(customer).or_insert(RateLimitBucket { level: depth, at });
        let since = at.saturating_sub(bucket.at) as f64 / SECOND as f64;
        bucket.level = (bucket.level + since * rate).min(depth) - 1.0;
        bucket.at = at;
        let level = bucket.level;
        let late = (RATE_LIMIT_SLACK + self.slack(at) - SOCKET_SLACK) as f64 / SECOND as f64;
        let min_level = -quota.rate_limit_slack - late * rate;
        if level < min_level {
            self.add_violation("ceilings_kept", || {
                format!(
                    "{trace:016x}: customer {customer} exceeded its rate limit at {}: level {level:.2}, allowed down to {min_level:.2}",
                    seconds(at)
                )
            });
        }
    }
}
