//! Deadline propagation for one request: how much of the client's timeout remains, how much of it each wait
//! may use, and where it was spent.
//!
//! A [`Budget`] starts with the request, and all timeouts on behalf of the request are derived from it. It
//! reads no clock: the caller passes the current time. [`OutcomeTotals`] exports metrics of how requests used
//! their budgets.
//!
//! ```
//! use marblecroft_deadline::{Budget, Stage, RESPONSE_MARGIN};
//! use marblecroft_quota_gateway_core::Time;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let at = |millis: u64| Time(millis * 1_000_000);
//! // The client waits for 500 ms from its last byte, which arrived 20 ms before the gateway read it.
//! let mut budget = Budget::new(ms(500), at(1000));
//! budget.on_complete(at(1020), ms(20));
//! assert_eq!(budget.remaining(at(1020)), Some(ms(480) - RESPONSE_MARGIN));
//! // A connect may use half of the remaining time, so that the other half is left for another server.
//! assert_eq!(budget.begin_connect(at(1020), ms(250)), (ms(480) - RESPONSE_MARGIN) / 2);
//! // The advertised timeout is the time remaining at the write, less the response's transit time.
//! assert_eq!(budget.begin_attempt(at(1100), at(1490), ms(1)), Some(ms(389)));
//! assert!(budget.decide(at(1150)));
//! assert_eq!(budget.spent(at(1151)).of(Stage::Attempt), ms(50));
//! ```
#![forbid(unsafe_code)]

mod budget;
mod outcome_totals;
mod stage;

pub use budget::{Budget, RESPONSE_MARGIN, STALL_TIMEOUT};
pub use outcome_totals::{Outcome, OutcomeTotals};
pub use stage::{Stage, StageTimes};
