//! Checks of the customers' hard ceilings.

use super::{seconds, Checker};
use crate::deployment::{Nanos, MS, SECOND, SOCKET_SLACK};
use crate::history::Trace;

/// The slack of a ceiling is extended by the units that its rate yields in this time.
const CEILING_SLACK: Nanos = 150 * MS;

/// Token bucket of a customer's ceiling.
pub(super) struct Ceiling {
    pub(super) level: f64,
    pub(super) at: Nanos,
}

impl Checker {
    /// Takes one unit for a client attempt from the bucket of its customer's ceiling.
    pub(super) fn take_from_ceiling(&mut self, at: Nanos, trace: Trace) {
        let Some(setup) = &self.setup else { return };
        let Some(&last) = self.last_client_attempt.get(&trace) else { return };
        let Some(&(customer, _)) = self.requests.get(&self.client_attempts[last].request) else { return };
        let Some(quota) =
            setup.plans.get(customer as usize).and_then(|plan| setup.quotas.get(usize::from(*plan)))
        else {
            return;
        };
        if quota.ceiling_rate <= 0.0 {
            return;
        }
        let (rate, depth) = (quota.ceiling_rate, quota.ceiling_depth);
        let bucket = self.ceilings.entry(customer).or_insert(Ceiling { level: depth, at });
        let since = at.saturating_sub(bucket.at) as f64 / SECOND as f64;
        bucket.level = (bucket.level + since * rate).min(depth) - 1.0;
        bucket.at = at;
        let level = bucket.level;
        let late = (CEILING_SLACK + self.slack(at) - SOCKET_SLACK) as f64 / SECOND as f64;
        let least = -quota.ceiling_slack - late * rate;
        if level < least {
            self.broken("ceilings_kept", || {
                format!(
                    "{trace:016x}: customer {customer} exceeded its ceiling at {}: level {level:.2}, allowed down to {least:.2}",
                    seconds(at)
                )
            });
        }
    }
}
