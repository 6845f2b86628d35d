//! Fair shares of the fleet's capacity among firms, by distributed weighted max-min sharing (`docs/fair-share.md`). No I/O, no clock.
//!
//! No process sees every pair of firm and gateway. A gateway sums its firms up into one function of the level (units a second for
//! each weight); the owner adds these up, finds the level at which they meet the capacity, and publishes it with a **grant** for
//! each gateway. A gateway works its firms' parts out of both. The sum of grants that any gateway may still go by never passes the
//! capacity by more than [`owner::SLACK`], whatever is cut, late or lost.
//!
//! - [`body`]: what is published.
//! - [`curve`]: sums of firms as a function of the level, and its inverse.
//! - [`taker`]: a gateway's side.
//! - [`owner`]: the owner's side.
#![forbid(unsafe_code)]

pub mod body;
pub mod curve;
pub mod owner;
pub mod taker;
