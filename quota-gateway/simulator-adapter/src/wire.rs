//! The wire: one batch of events in a line of JSON, and one reply with the actions in a line of JSON.

pub mod action;
pub mod convert;
pub mod error;
pub mod event;

use action::WireAction;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Events of one instant, in order.
#[derive(Deserialize)]
pub struct Batch {
    /// The simulated time, in nanoseconds.
    #[serde(rename = "AtTime")]
    pub at_time: u64,
    /// The events, each decoded on its own, so that a malformed one does not cost the others.
    pub items: Vec<Box<RawValue>>,
}

/// The actions that a batch caused.
#[derive(Serialize, Default)]
pub struct Reply {
    /// The actions, in order.
    pub output: Vec<WireAction>,
}
