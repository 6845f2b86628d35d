//! Reports of load count for a limited time: what is older says less of the present than nothing at all does.

use crate::Now;
use std::time::Duration;

/// Whether a report of `reported_at` is younger than `ttl`.
pub(super) fn is_fresh(reported_at: Now, ttl: Duration, now: Now) -> bool {
    now.saturating_sub(reported_at) < ttl
}
