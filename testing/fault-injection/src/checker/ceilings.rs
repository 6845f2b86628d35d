//! The customers' hard ceilings.

use super::{seconds, Checker};
use crate::deployment::{Nanos, MS, SECOND, SOCKET_SLACK};
use crate::history::Trace;

/// The ceiling's slack is widened by what its rate gives in this time.
const CEILING_SLACK: Nanos = 150 * MS;

/// What is left of a customer's ceiling, as a token bucket.
pub(super) struct Ceiling {
    pub(super) level: f64,
    pub(super) at: Nanos,
}

impl Checker {
    /// A try takes its unit from its customer's ceiling.
    pub(super) fn take_from_ceiling(&mut self, at: Nanos, trace: Trace) {
        let Some(setup) = &self.setup else { return };
        let Some(&last) = self.last_try.get(&trace) else { return };
        let Some(&(customer, _)) = self.requests.get(&self.tries[last].request) else { return };
        let Some(quota) =
            setup.plans.get(customer as usize).and_then(|plan| setup.quotas.get(usize::from(*plan)))
        else {
            return;
        };
        if quota.ceiling_rate <= 0.0 {
            return;
        }
        let (rate, depth) = (quota.ceiling_rate, quota.ceiling_depth);
        let store = self.ceilings.entry(customer).or_insert(Ceiling { level: depth, at });
        let since = at.saturating_sub(store.at) as f64 / SECOND as f64;
        store.level = (store.level + since * rate).min(depth) - 1.0;
        store.at = at;
        let level = store.level;
        let late = (CEILING_SLACK + self.slack(at) - SOCKET_SLACK) as f64 / SECOND as f64;
        let least = -quota.ceiling_slack - late * rate;
        if level < least {
            self.broken("ceilings_kept", || {
                format!(
                    "{trace:016x}: customer {customer} was at {level:.2} of its ceiling at {}, under {least:.2}",
                    seconds(at)
                )
            });
        }
    }
}
