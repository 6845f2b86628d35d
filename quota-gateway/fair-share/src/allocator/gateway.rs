//! The allocator's record of one gateway: its last report, and the grants that it may still apply.

use marblecroft_control_messages::published::{Instant, Stamp};
use marblecroft_control_messages::report::{Demand, Report};
use std::time::Duration;

/// Maximum relative drift between two clocks; the leases of sessions assume the same.
const MAX_CLOCK_DRIFT: f64 = 0.1;
/// Maximum number of grants that are tracked before the gateway reports that it has applied a newer decision.
const MAX_PENDING_GRANTS: usize = 64;

/// The record of a gateway.
#[derive(Clone, Debug)]
pub(super) struct Gateway {
    /// Time at which the last report was received.
    pub(super) reported_at: Instant,
    pub(super) demand: Demand,
    incarnation: u64,
    sequence: u64,
    /// Grants that it may apply: from the decision that it last reported as applied and from all later
    /// decisions.
    grants: Vec<(Stamp, f64)>,
    /// Time since which decisions have omitted it because it is unreachable.
    pub(super) omitted_since: Option<Instant>,
}

impl Gateway {
    /// Creates the record of a gateway from its grant by a former owner, in units per second.
    pub(super) fn with_grant(now: Instant, stamp: Stamp, units: f64) -> Gateway {
        Gateway {
            reported_at: now,
            demand: Demand::default(),
            incarnation: 0,
            sequence: 0,
            grants: vec![(stamp, units)],
            omitted_since: None,
        }
    }

    /// Creates the record of a gateway from a report; `previous` is its record so far.
    pub(super) fn from_report(now: Instant, report: &Report, previous: Option<Gateway>) -> Gateway {
        let mut grants = previous.map_or_else(Vec::new, |gateway| gateway.grants);
        // A new incarnation starts without a decision and then applies the newest one. The grants that its
        // predecessor applied ended with that process.
        grants.retain(|(stamp, _)| *stamp >= report.applied_decisions.shares);
        Gateway {
            reported_at: now,
            demand: report.demand.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            grants,
            omitted_since: None,
        }
    }

    /// Returns whether a report is a duplicate, or older than the last one.
    pub(super) fn is_stale(&self, report: &Report) -> bool {
        self.incarnation == report.incarnation && self.sequence >= report.sequence
    }

    /// Records the grant of a decision that is published.
    pub(super) fn add_grant(&mut self, stamp: Stamp, units: f64) {
        if self.grants.len() >= MAX_PENDING_GRANTS {
            // Replace them all with the largest, which is an upper bound for each.
            let newest = self.grants[MAX_PENDING_GRANTS - 1].0;
            self.grants = vec![(newest, self.max_grant())];
        }
        self.grants.push((stamp, units));
    }

    fn max_grant(&self) -> f64 {
        self.grants.iter().map(|(_, units)| *units).fold(0.0, f64::max)
    }

    /// Returns the maximum units per second that the gateway may be sending.
    ///
    /// If the newest decisions contain no grant for the gateway and it reads one of them, it limits itself to
    /// its `equal_share`. If it reads none of them, its last decision with a grant expires after `validity`,
    /// and the gateway then reduces its rate to its equal share within `shrink_interval`.
    pub(super) fn reserved(
        &self,
        now: Instant,
        validity: Duration,
        shrink_interval: Duration,
        equal_share: f64,
    ) -> f64 {
        let granted = self.max_grant();
        let Some(omitted_since) = self.omitted_since else { return granted };
        let omitted_seconds = now.saturating_sub(omitted_since).as_secs_f64();
        let expired_seconds = omitted_seconds - validity.as_secs_f64() * (1.0 + MAX_CLOCK_DRIFT);
        if expired_seconds <= 0.0 {
            return granted;
        }
        let shrink_seconds = shrink_interval.as_secs_f64() * (1.0 + MAX_CLOCK_DRIFT);
        let remaining = 1.0 - (expired_seconds / shrink_seconds).clamp(0.0, 1.0);
        (granted * remaining).max(equal_share.min(granted))
    }
}
