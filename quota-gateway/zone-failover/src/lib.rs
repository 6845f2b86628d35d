//! Failover between zones and regions, decided by one owner for the fleet (`docs/zone-failover.md`). No I/O and no clock: reports,
//! operator commands and instants in, decisions out; the same inputs give the same decision, byte for byte.
//!
//! - [`settings`]: the zones, and the parameters of the decision.
//! - [`evidence`]: what several gateways observe, aggregated so that one of them has a bounded influence.
//! - [`verdict`]: what the evidence says of each zone.
//! - [`zone`]: the state machine of a zone, driven by verdicts.
//! - [`capacity`]: the estimated capacity of a server.
//! - [`allocation`]: which zone sends how much to which: to itself within its capacity, then to the nearest that has capacity.
//! - [`controller`]: all of it together, from reports to decisions.
//! - [`decision`]: what is published.
//! - [`gateway_limits`]: what one gateway applies of a decision.
#![forbid(unsafe_code)]

pub mod allocation;
pub mod capacity;
pub mod controller;
pub mod decision;
pub mod evidence;
pub mod gateway_limits;
pub mod settings;
pub mod verdict;
pub mod zone;
