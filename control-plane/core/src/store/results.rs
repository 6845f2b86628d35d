//! Reads of a job's results. A read that finds no results is deferred and retried until its deadline.

use super::context::Context;
use super::operations::{PendingOperation, ResultsRead};
use marblecroft_batch_state::{BatchState, ItemOutcome};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_protocol::store::{NamedResult, ResultsPage, StoreReply};
use std::time::Duration;

/// Delay before a deferred read is retried.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound on the size of the results on one page. It bounds the memory and the time that one reply
/// takes; the caller requests the next page from the end of this one.
const MAX_PAGE_BYTES: usize = 900_000;

struct DeferredRead {
    retry_at: Duration,
    read: ResultsRead,
}

/// Reads that wait for results.
#[derive(Default)]
pub(super) struct DeferredReads(Vec<DeferredRead>);

impl DeferredReads {
    /// Replies with the results of a job, or defers the read until there are some. The chain must have
    /// confirmed the read.
    pub(super) fn on_readable<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration, read: ResultsRead) {
        let Some(range) = results_from(ctx.jobs(), &read.job, read.start) else {
            ctx.reply(read.token, StoreReply::NotFound);
            return;
        };
        let remaining = read.deadline.saturating_sub(now);
        if !range.page.results.is_empty() || !range.is_open || remaining < READ_RETRY_INTERVAL {
            ctx.reply(read.token, StoreReply::Results(range.page));
        } else {
            self.0.push(DeferredRead { retry_at: now + READ_RETRY_INTERVAL, read });
        }
    }

    /// Retries the deferred reads that are due.
    pub(super) fn retry<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        for deferred in std::mem::take(&mut self.0) {
            if deferred.retry_at > now {
                self.0.push(deferred);
            } else if ctx.chain().is_head() {
                ctx.read_index(now, PendingOperation::ReadResults(deferred.read));
            } else {
                ctx.reply_not_head(deferred.read.token);
            }
        }
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.0.iter().map(|deferred| deferred.retry_at).min().unwrap_or(Duration::MAX)
    }
}

struct ResultsRange {
    page: ResultsPage,
    /// Whether the job can still get more results.
    is_open: bool,
}

/// Returns the results of `job` from index `start` on, as many as fit a page; `None` if there is no such job.
fn results_from(jobs: &BatchState, job: &str, start: u64) -> Option<ResultsRange> {
    let job = jobs.job(job)?;
    let start = usize::try_from(start).unwrap_or(usize::MAX).min(job.results().len());
    let mut page = ResultsPage { total: job.total() as u64, results: Vec::new() };
    let mut bytes = 0;
    for result in &job.results()[start..] {
        bytes += match &result.outcome {
            ItemOutcome::Completed(text) => text.len(),
            ItemOutcome::DeadLettered => 0,
        };
        // A result larger than a page has a page of its own.
        if bytes > MAX_PAGE_BYTES && !page.results.is_empty() {
            break;
        }
        let id = job.item_id(result.item).unwrap_or_default().to_owned();
        page.results.push(NamedResult { id, outcome: result.outcome.clone() });
    }
    Some(ResultsRange { page, is_open: job.is_open() })
}
