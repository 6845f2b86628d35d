//! The time of one request, as one value: how much of what its client gave is left, what of it each wait may take, and
//! where it went.
//!
//! A [`Budget`] is made when a request begins and is the only source of every wait on its behalf. It reads no clock: the
//! caller says what time it is. A [`Ledger`] adds up what became of the budgets, for the operators.
//!
//! ```
//! use marblecroft_quota_gateway_core::Time;
//! use marblecroft_deadline::{Budget, Stage, WAY_BACK};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let at = |millis: u64| Time(millis * 1_000_000);
//! // The client waits for 500 ms from its last byte, which came 20 ms before the gateway got to read it.
//! let mut budget = Budget::reading(ms(500), at(1000));
//! budget.whole(at(1020), ms(20));
//! assert_eq!(budget.left(at(1020)), Some(ms(480) - WAY_BACK));
//! // A connect that hangs leaves as much for another server.
//! assert_eq!(budget.connecting(at(1020), ms(250)), (ms(480) - WAY_BACK) / 2);
//! // What the server is told is what is left when the bytes are written, less their way back.
//! assert_eq!(budget.sending(at(1100), at(1490), ms(1)), Some(ms(389)));
//! assert!(budget.answered(at(1150)));
//! assert_eq!(budget.spent(at(1151)).of(Stage::Attempt), ms(50));
//! ```
#![forbid(unsafe_code)]

mod budget;
mod outcome_totals;

pub use budget::{Budget, Stage, StageTimes, RESPONSE_MARGIN, STALL_TIMEOUT};
pub use outcome_totals::{End, OutcomeTotals};
