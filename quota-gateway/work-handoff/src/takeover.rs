//! What a successor does with a request whose record it has claimed.

use crate::record::{Record, RequestClass, RequestOutcome, Stage, MAX_ATTEMPTS};
use std::time::Duration;

/// How long a successor waits before it repeats a seal that found the attempt running.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a successor knows besides the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverContext {
    /// How long ago the record was written, at the least.
    pub age: Duration,
    /// Whether the server of the attempt stores receipts.
    pub has_receipts: bool,
    /// Whether the old owner is known to be dead: its connections are reset, its process is replaced.
    pub is_owner_dead: bool,
    /// Whether an attempt may be sent while an earlier one may be in flight.
    pub allows_overlap: bool,
}

/// The next step of a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// The request has ended: report this outcome to its client.
    Report(RequestOutcome),
    /// Write an intent, and then send an attempt.
    Send,
    /// The old owner's attempt may be in flight: decide again after this delay.
    Wait(Duration),
    /// Request the server to seal the id under the successor's token, and read the receipt.
    Seal,
    /// Write this outcome, without another attempt.
    Finish(RequestOutcome),
}

/// A server's receipt for an id that it was requested to seal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It was executed, with this response.
    Executed(Vec<u8>),
    /// It is being executed.
    Running,
    /// It was not executed, and will not be under a lower token.
    Sealed,
}

impl Record {
    /// Time to the deadline, `age` after the record was written.
    fn remaining(&self, age: Duration) -> Duration {
        Duration::from_millis(self.remaining_ms.into()).saturating_sub(age)
    }

    /// The step of a request that no attempt is in flight of: another attempt while time and attempts remain.
    fn send_or_abandon(&self, age: Duration) -> TakeoverStep {
        if !self.remaining(age).is_zero() && self.attempts < MAX_ATTEMPTS {
            TakeoverStep::Send
        } else {
            TakeoverStep::Finish(RequestOutcome::Abandoned)
        }
    }
}

/// Returns the next step of a successor with a record.
pub fn next_step(record: &Record, context: TakeoverContext) -> TakeoverStep {
    match &record.stage {
        Stage::Outcome(outcome) => TakeoverStep::Report(outcome.clone()),
        Stage::Accepted => record.send_or_abandon(context.age),
        // Also after the deadline, as the client may ask for the outcome.
        Stage::Intent { .. } if context.has_receipts => TakeoverStep::Seal,
        Stage::Intent { max_attempt_ms, .. } => {
            let max_attempt = Duration::from_millis((*max_attempt_ms).into());
            step_without_receipt(record, max_attempt, context)
        }
    }
}

/// Returns the next step with an attempt that may be in flight, at a server without receipts.
fn step_without_receipt(record: &Record, max_attempt: Duration, context: TakeoverContext) -> TakeoverStep {
    if record.class == RequestClass::NonIdempotent {
        return TakeoverStep::Finish(RequestOutcome::Unknown);
    }
    let in_flight = max_attempt.saturating_sub(context.age);
    if context.is_owner_dead || context.allows_overlap || in_flight.is_zero() {
        record.send_or_abandon(context.age)
    } else if in_flight < record.remaining(context.age) {
        TakeoverStep::Wait(in_flight)
    } else {
        // No time remains for another attempt after that one.
        TakeoverStep::Finish(RequestOutcome::Abandoned)
    }
}

/// Returns the next step after a seal that was requested `age` after the record was written.
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
