//! Coordination: sessions, locks with fencing tokens, small values and watches.
//!
//! - [`state`]: the state machine, pure and deterministic; commands in, results out.
//! - [`lease`]: when a session ends, for the service and, earlier, for its holder.
//! - [`fence`]: the place that takes an effect, and remembers the highest token.
#![forbid(unsafe_code)]

pub mod fence;
pub mod lease;
pub mod state;
