//! The steps of a successor that has taken over the record of a request.

use crate::record::{Record, RequestClass, RequestOutcome, Stage, MAX_ATTEMPTS};
use std::time::Duration;

/// Delay before a successor repeats a seal request to a server at which the attempt was still running.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The information that a successor uses in addition to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverContext {
    /// A lower bound of the time since the record was written.
    pub age: Duration,
    /// Whether the server of the attempt stores receipts.
    pub has_receipts: bool,
    /// Whether the old owner is known to have terminated: its connections are reset, its process is replaced.
    pub is_owner_terminated: bool,
    /// Whether an attempt may be sent although an earlier one may be in flight.
    pub allows_overlap: bool,
}

/// The next step of a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// The request has ended. Report this outcome to the client.
    Report(RequestOutcome),
    /// Write an intent, and then send an attempt.
    Send,
    /// The old owner's attempt may be in flight. Determine the next step again after this delay.
    Wait(Duration),
    /// Request the server to seal the id under the successor's token. The server replies with a receipt.
    Seal,
    /// Write this outcome, without another attempt.
    Finish(RequestOutcome),
}

/// A server's reply to a request to seal an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The request was executed, with this response.
    Executed(Vec<u8>),
    /// The request is being executed.
    Running,
    /// The request was not executed, and will not be executed under a lower token.
    Sealed,
}

impl Record {
    /// Returns the time to the deadline when the record has this age.
    fn remaining(&self, age: Duration) -> Duration {
        Duration::from_millis(self.remaining_ms.into()).saturating_sub(age)
    }

    /// Returns the next step of a request without an attempt in flight: another attempt if time and attempts
    /// remain.
    fn send_or_abandon(&self, age: Duration) -> TakeoverStep {
        if !self.remaining(age).is_zero() && self.attempts < MAX_ATTEMPTS {
            TakeoverStep::Send
        } else {
            TakeoverStep::Finish(RequestOutcome::Abandoned)
        }
    }
}

/// Returns the next step of a successor that has taken over a record.
pub fn next_step(record: &Record, context: TakeoverContext) -> TakeoverStep {
    match &record.stage {
        Stage::Outcome(outcome) => TakeoverStep::Report(outcome.clone()),
        Stage::Accepted => record.send_or_abandon(context.age),
        // Also after the deadline, because the client may request the outcome.
        Stage::Intent { .. } if context.has_receipts => TakeoverStep::Seal,
        Stage::Intent { max_attempt_ms, .. } => {
            let max_attempt = Duration::from_millis((*max_attempt_ms).into());
            step_without_receipt(record, max_attempt, context)
        }
    }
}

/// Returns the next step if an attempt may be in flight at a server without receipts.
fn step_without_receipt(record: &Record, max_attempt: Duration, context: TakeoverContext) -> TakeoverStep {
    if record.class == RequestClass::NonIdempotent {
        return TakeoverStep::Finish(RequestOutcome::Unknown);
    }
    let in_flight = max_attempt.saturating_sub(context.age);
    if context.is_owner_terminated || context.allows_overlap || in_flight.is_zero() {
        record.send_or_abandon(context.age)
    } else if in_flight < record.remaining(context.age) {
        TakeoverStep::Wait(in_flight)
    } else {
        // No time remains for another attempt after the one in flight.
        TakeoverStep::Finish(RequestOutcome::Abandoned)
    }
}

/// Returns the next step after a seal request that was sent when the record had this age.
pub fn step_after_seal(record: &Record, receipt: Receipt, age: Duration) -> TakeoverStep {
    match receipt {
        Receipt::Executed(response) => TakeoverStep::Finish(RequestOutcome::Completed(response)),
        Receipt::Running if !record.remaining(age).is_zero() => TakeoverStep::Wait(RECHECK_INTERVAL),
        Receipt::Running => TakeoverStep::Finish(match record.class {
            RequestClass::NonIdempotent => RequestOutcome::Unknown,
            RequestClass::Idempotent => RequestOutcome::Abandoned,
        }),
        Receipt::Sealed => record.send_or_abandon(age),
    }
}
