//! Failover between zones and regions, decided in common (`docs/zone-failover.md`). Nothing here does I/O or reads a clock: reports,
//! orders and instants in, decisions out; the same inputs give the same decision, byte for byte.
//!
//! - [`body`]: what is published, and what a gateway makes of it.
//! - [`evidence`]: what several gateways see, summed up so that one of them moves it by no more than its part.
//! - [`capacity`]: what each zone is known to bear.
//! - [`state`]: serving, suspect, out, returning, held out; and the rules between them.
//! - [`flow`]: who sends where: near while it is borne there, then to the nearest room.
//! - [`core`]: all of it together.
#![forbid(unsafe_code)]

pub mod body;
pub mod capacity;
pub mod core;
pub mod evidence;
pub mod flow;
pub mod settings;
pub mod state;
