//! What a successor does with work that it has claimed, by what the ledger says.

use crate::record::{Class, Ended, Record, Stage, MAX_ATTEMPTS};
use std::time::Duration;

/// What a successor knows beside the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// How long the record has lain in the ledger, at the least.
    pub age: Duration,
    /// The server that the attempt was for keeps receipts.
    pub receipts: bool,
    /// The old owner is known to be dead: its connections are reset, its process is replaced.
    pub owner_dead: bool,
    /// A second copy beside one that may still be out is allowed, and counted.
    pub overlap: bool,
}

/// What is done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It has ended: this is the answer for whoever asks.
    Give(Ended),
    /// An attempt of the successor's own, after its own intent is written.
    Send,
    /// The old owner's attempt may still be out: looked at again after this long.
    Wait(Duration),
    /// The server is asked to seal the id under the successor's token, and what came of it.
    Seal,
    /// It is ended so, and nothing is sent.
    End(Ended),
}

/// What a server says of an id that it has sealed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It has run, with this answer.
    Ran(Vec<u8>),
    /// It is running.
    Out,
    /// It has not run, and never will under a lower token.
    Sealed,
}

/// How long a seal that found the attempt running waits before it asks again.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

fn left(record: &Record, age: Duration) -> Duration {
    Duration::from_millis(record.left_ms.into()).saturating_sub(age)
}

fn may_send(record: &Record, age: Duration) -> bool {
    !left(record, age).is_zero() && record.attempts < MAX_ATTEMPTS
}

/// The table of the design: by state and class, within what is left of its time and attempts.
pub fn step(record: &Record, of: Situation) -> Step {
    let send = if may_send(record, of.age) { Step::Send } else { Step::End(Ended::GivenUp) };
    match (&record.stage, record.class) {
        (Stage::Outcome(ended), _) => Step::Give(ended.clone()),
        (Stage::Accepted, _) => send,
        // Read also when its time is over: whoever asks may be told what came of it.
        (Stage::Intent { .. }, _) if of.receipts => Step::Seal,
        (Stage::Intent { .. }, Class::NeverTwice) => Step::End(Ended::Unknown),
        (Stage::Intent { .. }, Class::SafeToRepeat) if of.owner_dead || of.overlap => send,
        (Stage::Intent { out_ms, .. }, Class::SafeToRepeat) => {
            let out = Duration::from_millis((*out_ms).into()).saturating_sub(of.age);
            match (out.is_zero(), out < left(record, of.age)) {
                (true, _) => send,
                (false, true) => Step::Wait(out),
                // There is no time left for another one when it is over.
                (false, false) => Step::End(Ended::GivenUp),
            }
        }
    }
}

/// What follows on a receipt.
pub fn read(record: &Record, receipt: Receipt, age: Duration) -> Step {
    match receipt {
        Receipt::Ran(answer) => Step::End(Ended::Answered(answer)),
        Receipt::Out if left(record, age).is_zero() && record.class == Class::NeverTwice => {
            Step::End(Ended::Unknown)
        }
        Receipt::Out if left(record, age).is_zero() => Step::End(Ended::GivenUp),
        Receipt::Out => Step::Wait(RECHECK_INTERVAL),
        Receipt::Sealed if may_send(record, age) => Step::Send,
        Receipt::Sealed => Step::End(Ended::GivenUp),
    }
}
