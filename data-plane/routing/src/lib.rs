//! Which requests go on now, and to which model server; without I/O. All times are on one clock of the caller's that never
//! goes back.
#![forbid(unsafe_code)]

pub mod admission;
pub mod balance;
pub mod events;
pub mod prompt;
pub mod tuning;

/// Time on the caller's clock.
pub type Now = std::time::Duration;
