//! Timeouts and intervals of candidates and followers.

use std::time::Duration;

/// Timeout of a call to the coordination service. Callers retry after it.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a follower waits for changes. It then polls again, which renews its view.
pub(super) const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed attempt.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which an owner checks that its lock is still valid.
pub(super) const LOCK_CHECK_INTERVAL: Duration = Duration::from_millis(50);
