//! Counts of how attempts at model servers ended, for the log. They tell apart why a request was sent to
//! another server or was answered with a rejection.

use std::cell::Cell;
use tracing::info;

/// How an attempt of a live request or of a batch item ended, up to the head of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing was sent to the server.
    NotSent,
    /// The request was sent, and no head of a response arrived.
    NoResponse,
    /// The server rejected this request.
    NotExecuted,
    /// The response belongs to another request and is no rejection.
    OtherRequest,
    /// The response is a rejection of another request.
    OtherRequestRejected,
    /// The response cannot be relied on for another reason.
    Untrusted,
    /// A success.
    Success,
    /// Any other response of the server itself.
    Error,
}

/// Number of attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    pub not_sent: u64,
    pub no_response: u64,
    pub not_executed: u64,
    pub other_request: u64,
    pub other_request_rejected: u64,
    pub untrusted: u64,
    pub success: u64,
    pub error: u64,
}

/// Counts the attempts of a gateway since its start.
#[derive(Default)]
pub struct AttemptCounters {
    counts: Cell<AttemptCounts>,
    logged: Cell<AttemptCounts>,
}

impl AttemptCounters {
    /// Counts an attempt.
    pub fn record(&self, end: AttemptEnd) {
        let mut counts = self.counts.get();
        let count = match end {
            AttemptEnd::NotSent => &mut counts.not_sent,
            AttemptEnd::NoResponse => &mut counts.no_response,
            AttemptEnd::NotExecuted => &mut counts.not_executed,
            AttemptEnd::OtherRequest => &mut counts.other_request,
            AttemptEnd::OtherRequestRejected => &mut counts.other_request_rejected,
            AttemptEnd::Untrusted => &mut counts.untrusted,
            AttemptEnd::Success => &mut counts.success,
            AttemptEnd::Error => &mut counts.error,
        };
        *count += 1;
        self.counts.set(counts);
    }

    /// Logs the counts if they have changed since they were last logged.
    pub fn log_changes(&self) {
        let counts = self.counts.get();
        if self.logged.replace(counts) == counts {
            return;
        }
        info!(
            not_sent = counts.not_sent,
            no_response = counts.no_response,
            not_executed = counts.not_executed,
            other_request = counts.other_request,
            other_request_rejected = counts.other_request_rejected,
            untrusted = counts.untrusted,
            success = counts.success,
            error = counts.error,
            "attempts at servers"
        );
    }
}
