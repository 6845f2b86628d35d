//! The replicated state machine of sessions, locks and values. All replicas reach the same state by applying
//! the same commands in the same order.
//!
//! The state machine is deterministic: it uses no clock, no randomness, no I/O and no iteration order that
//! depends on a hash. Time enters only through the leader's command that ends sessions. The same commands
//! produce the same state, byte for byte, whether or not a snapshot was written and restored in between.
//!
//! A command passes through these modules:
//!
//! 1. A replica applies it (`apply`); a client's call takes effect once (`calls`).
//! 2. Its operation runs (`operations`) on `sessions`, `locks` or `values`; a batch that fails is rolled back
//!    (`undo`).
//! 3. Each change is recorded for watches (`history`).
//!
//! The tables that all modules work on are in `tables`; their encoding is in `snapshot`.

mod apply;
pub mod bounds;
mod calls;
mod change;
mod command;
mod history;
mod locks;
mod operations;
mod sessions;
mod snapshot;
mod tables;
mod undo;
mod validate;
mod values;

pub use change::{Change, Changes};
pub use command::{ClientId, Command, Done, Op, OperationError, Outcome, Owner, Revision, SessionId, Token};
pub use snapshot::{SnapshotError, VERSION};
pub use tables::{Lock, Session, State, Value};
