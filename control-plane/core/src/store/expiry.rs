//! Expiry of old jobs.

use super::context::Context;
use super::operations::PendingOperation;
use crate::Time;
use marblecroft_batch_state::Operation;
use marblecroft_chain_replication::storage::Storage;
use std::time::Duration;

/// Interval between expiry operations.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(20);
/// Additional time for which jobs are kept after their results need no longer be readable. It covers
/// differences between the wall clocks of machines, and jobs that take long.
const EXTRA_RETENTION: Duration = Duration::from_secs(60);

/// Schedule of the expiry.
pub(super) struct JobExpiry {
    next_at: Duration,
}

impl JobExpiry {
    pub(super) fn new(now: Duration) -> JobExpiry {
        JobExpiry { next_at: now + EXPIRY_INTERVAL }
    }

    /// Proposes, as the head, the expiry of jobs that are older than the sum of `result_retention`
    /// and [`EXTRA_RETENTION`], if an expiry is due.
    pub(super) fn propose_if_due<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        time: Time,
        result_retention: Duration,
    ) {
        if time.monotonic < self.next_at {
            return;
        }
        self.next_at = time.monotonic + EXPIRY_INTERVAL;
        if ctx.chain().is_head() {
            let retention = result_retention + EXTRA_RETENTION;
            let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
            let accepted_before_ms = time.wall_ms.saturating_sub(retention_ms);
            let operation = Operation::ExpireJobs { accepted_before_ms };
            ctx.propose(time.monotonic, operation, PendingOperation::ExpireJobs);
        }
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.next_at
    }
}
