//! One gateway, as the allocator knows it: its last report, and the grants that it may still apply.

use marblecroft_control_messages::published::{Instant, Stamp};
use marblecroft_control_messages::report::{Demand, Report};
use std::time::Duration;

/// Upper bound of the relative drift of two clocks, as for the lease of a session.
const MAX_CLOCK_DRIFT: f64 = 0.1;
/// Upper bound of the grants that are tracked until the gateway reports that it applies a newer decision.
const MAX_PENDING_GRANTS: usize = 64;

/// The state of a gateway.
#[derive(Clone, Debug)]
pub(super) struct Gateway {
    /// When its last report was received.
    pub(super) reported_at: Instant,
    pub(super) demand: Demand,
    incarnation: u64,
    sequence: u64,
    /// Grants that it may apply: of the decision that it last reported as applied, and of all later ones.
    grants: Vec<(Stamp, f64)>,
    /// Since when decisions do not name it, as it is unreachable.
    pub(super) omitted_since: Option<Instant>,
}

impl Gateway {
    /// Creates the state of a gateway that a former owner granted these units per second.
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

    /// Creates the state of a gateway from a report; `previous` is its state before.
    pub(super) fn from_report(now: Instant, report: &Report, previous: Option<Gateway>) -> Gateway {
        let mut grants = previous.map_or_else(Vec::new, |gateway| gateway.grants);
        // A new incarnation applies no decision yet and then the newest; what the former one applied ended with it.
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
            // The largest stands for all of them.
            let newest = self.grants[MAX_PENDING_GRANTS - 1].0;
            self.grants = vec![(newest, self.max_grant())];
        }
        self.grants.push((stamp, units));
    }

    fn max_grant(&self) -> f64 {
        self.grants.iter().map(|(_, units)| *units).fold(0.0, f64::max)
    }

    /// Returns the units per second that it may be sending at most.
    ///
    /// While it is omitted, a decision that it reads leaves it its `equal_share`; if it reads none, the last one that named it
    /// expires after `validity`, and it shrinks to its equal share within `shrink_interval`.
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
