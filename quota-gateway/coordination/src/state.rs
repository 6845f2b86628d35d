//! The replicated state machine: sessions, locks and values, on which all replicas agree by applying the same commands in the
//! same order.
//!
//! It is deterministic: no clock, no randomness, no I/O, no order that depends on a hash. Time enters only as the leader's
//! command that ends sessions. The same commands give the same state, byte for byte, whether or not it was written to a
//! snapshot in between.
//!
//! A command takes this way through the modules:
//!
//! 1. A replica applies it (`apply`); a client's call takes effect once (`calls`).
//! 2. Its operation is carried out (`operations`) on `sessions`, `locks` or `values`; a batch that fails is rolled back
//!    (`undo`).
//! 3. Each change is recorded for watches (`history`).
//!
//! The tables that all of them work on are in `tables`, their format is in `snapshot`.

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
pub use command::{ClientId, Command, Done, Op, Outcome, Owner, Refused, Revision, SessionId, Token};
pub use snapshot::{SnapshotError, VERSION};
pub use tables::{Lock, Session, State, Value};
