//! The history of a run: its events, timed by one monotonic clock, and the file that holds them.

mod event;
mod file;
mod setup;

pub use event::{
    CallResult, DecisionKind, Event, Outcome, ProcessChange, ServerOutcome, ServerState, ShardRecord,
    ShardStep, TimedEvent, Trace, ZoneState,
};
pub use file::{Damage, Reader, Writer, MAGIC, MAX_FRAME_BYTES, VERSION};
pub use setup::Setup;
