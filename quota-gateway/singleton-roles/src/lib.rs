//! Singleton roles: named work on behalf of the fleet, each with one owner at a time (`docs/controller.md`).
//!
//! A candidate reads a [`view`] of the coordination service, [`assign`]s the roles by it, steps the state machine of each
//! [`role`], and [`run`] carries out the actions. The lock of a role, never the assignment, decides who owns it.
//!
//! - [`keys`]: the keys and values in the coordination service.
//! - [`assign`]: the assignment of roles to candidates: even, mixed over zones, and stable. No I/O.
//! - [`role`]: the state machine of one role at one candidate, from requesting its lock to releasing it. No I/O.
//! - [`view`]: what was read of the service, and as of which instant. No I/O.
//! - [`run`]: candidates and followers on the client of the coordination service.
#![forbid(unsafe_code)]

pub mod assign;
pub mod keys;
pub mod role;
pub mod run;
pub mod view;
