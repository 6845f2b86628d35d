//! Expiry of load reports: an outdated report is more misleading than no report.

use crate::Timestamp;
use std::time::Duration;

/// Returns whether a report made at `reported_at` is younger than `ttl`.
pub(super) fn is_fresh(reported_at: Timestamp, ttl: Duration, now: Timestamp) -> bool {
    now.saturating_sub(reported_at) < ttl
}
