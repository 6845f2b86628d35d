//! Duties: named work on behalf of the fleet, each with one owner at a time (`docs/controller.md`).
//!
//! - [`keys`]: where all of it stands in the coordination service.
//! - [`assign`]: who should own what: spread evenly, zones mixed, and the loss of one moves only its own. No I/O.
//! - [`duty`]: one duty at one candidate, from wishing for its lock to giving it back. No I/O.
//! - [`view`]: what was read of the service, and as of when. No I/O.
//! - [`run`]: the shell: a candidate on the coordination client, and whoever only follows.
#![forbid(unsafe_code)]

pub mod assign;
pub mod keys;
pub mod role;
pub mod run;
pub mod view;
