//! Singleton roles: named tasks for the fleet, each with one owner at a time (`docs/controller.md`).
//!
//! A candidate reads a [`view`] of the coordination service, [`assign`]s the roles based on it, and passes
//! events to the state machine of each [`role`]; [`run`] performs the resulting actions. The lock of a role
//! determines its owner; the assignment only determines which candidate requests the lock.
//!
//! - [`keys`]: the keys and values in the coordination service.
//! - [`assign`]: the assignment of roles to candidates: even, spread over zones, and stable. No I/O.
//! - [`role`]: the state machine of one role at one candidate, from requesting to releasing the lock. No I/O.
//! - [`view`]: the entries read from the coordination service, and the instant of the read. No I/O.
//! - [`run`]: candidates and followers, which use the client of the coordination service.
#![forbid(unsafe_code)]

pub mod assign;
pub mod keys;
pub mod role;
pub mod run;
pub mod view;
