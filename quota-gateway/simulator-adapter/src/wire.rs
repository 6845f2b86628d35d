//! The simulator's protocol. A batch of events and the reply with the actions are one line of JSON each.

pub mod action;
pub mod convert;
pub mod error;
pub mod event;

use action::WireAction;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The events of one instant of simulated time, in order.
#[derive(Deserialize)]
pub struct Batch {
    /// The simulated time, in nanoseconds.
    #[serde(rename = "AtTime")]
    pub at_time: u64,
    /// The events. Each is decoded separately, so that a malformed one does not affect the others.
    pub items: Vec<Box<RawValue>>,
}

/// The actions that a batch caused.
#[derive(Serialize, Default)]
pub struct Reply {
    /// The actions, in order.
    pub output: Vec<WireAction>,
}
